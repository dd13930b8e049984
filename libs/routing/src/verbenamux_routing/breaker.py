"""A circuit breaker for each target, with one probe when half open."""

import enum
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

FAILURES_TO_OPEN = 3
INITIAL_COOLDOWN = timedelta(seconds=1)
MAX_COOLDOWN = timedelta(seconds=30)
MAX_SAMPLES = 10
FORECAST_HORIZON = timedelta(seconds=1)
MAX_QUEUE_WAIT = timedelta(seconds=1)


class BreakerPolicy(enum.Enum):
    """When a breaker opens."""

    PLAIN = 'plain'
    PREDICTIVE = 'predictive'


class BreakerState(enum.Enum):
    """Whether attempts may be sent to a target."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclass(slots=True)
class Breaker:
    """Opens after consecutive failures; cooldowns double up to a limit."""

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    cooldown: timedelta = INITIAL_COOLDOWN
    opened_at: timedelta = timedelta()

    def observe(self, wait: timedelta, now: timedelta) -> None:
        """Record a target's queue; a plain breaker ignores it."""

    def can_send(self, now: timedelta) -> bool:
        """Return whether an attempt may be sent now.

        While half open only the probe recorded by `record_send` is in flight.
        """
        if self.state is BreakerState.OPEN:
            return now - self.opened_at >= self.cooldown
        return self.state is BreakerState.CLOSED

    def record_send(self) -> None:
        """Record that an attempt is sent; after a cooldown it is a probe."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.HALF_OPEN

    def record_success(self) -> None:
        """Record a success and close the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown = INITIAL_COOLDOWN

    def record_failure(self, now: timedelta) -> None:
        """Record a failure of the target itself."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown = min(2 * self.cooldown, MAX_COOLDOWN)
            self._open(now)
        elif self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def record_inconclusive_end(self, now: timedelta) -> None:
        """Record that an attempt ended without success or failure."""
        if self.state is BreakerState.HALF_OPEN:
            self._open(now)

    def _open(self, now: timedelta) -> None:
        self.state = BreakerState.OPEN
        self.opened_at = now


@dataclass(slots=True)
class PredictiveBreaker(Breaker):
    """Also opens when a target's queue is about to grow too long.

    It extrapolates the oldest and the newest of the last few samples, as
    "Building Resilient Agents: Circuit Breaker Pattern in Squad" does with
    the quota of a rate-limited service.
    """

    samples: deque[tuple[timedelta, timedelta]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES),
    )

    def observe(self, wait: timedelta, now: timedelta) -> None:
        """Record a target's queue, and open if it soon exceeds the limit."""
        self.samples.append((now, wait))
        if self.state is BreakerState.CLOSED and self._is_filling():
            self._open(now)
            self.samples.clear()

    def _is_filling(self) -> bool:
        first_at, first_wait = self.samples[0]
        last_at, last_wait = self.samples[-1]
        elapsed = last_at - first_at
        if len(self.samples) < MAX_SAMPLES or not elapsed:
            return False
        growth = (last_wait - first_wait) / elapsed
        return last_wait + FORECAST_HORIZON * growth > MAX_QUEUE_WAIT


BREAKER_BY_POLICY: dict[BreakerPolicy, type[Breaker]] = {
    BreakerPolicy.PLAIN: Breaker,
    BreakerPolicy.PREDICTIVE: PredictiveBreaker,
}
