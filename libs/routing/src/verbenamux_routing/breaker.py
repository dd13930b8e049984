"""A circuit breaker for each target, with one probe when half open."""

import enum
from dataclasses import dataclass
from datetime import timedelta

FAILURES_TO_OPEN = 3
FIRST_COOLDOWN = timedelta(seconds=1)
LONGEST_COOLDOWN = timedelta(seconds=30)


class BreakerState(enum.Enum):
    """Whether a target gets work."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclass(slots=True)
class Breaker:
    """Opens after failures in a row; cooldowns double up to a limit."""

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    cooldown: timedelta = FIRST_COOLDOWN
    opened_at: timedelta = timedelta()

    def allows(self, now: timedelta) -> bool:
        """Tell whether an attempt may be sent now.

        While half open only the probe that `begin` noted is out.
        """
        if self.state is BreakerState.OPEN:
            return now - self.opened_at >= self.cooldown
        return self.state is BreakerState.CLOSED

    def begin(self) -> None:
        """Note that an attempt leaves; the first after a cooldown probes."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.HALF_OPEN

    def succeed(self) -> None:
        """Note an answer; the breaker closes."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown = FIRST_COOLDOWN

    def fail(self, now: timedelta) -> None:
        """Note a failure of the target itself."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown = min(2 * self.cooldown, LONGEST_COOLDOWN)
            self._open(now)
        elif self.failures >= FAILURES_TO_OPEN:
            self._open(now)

    def abandon(self, now: timedelta) -> None:
        """Note that an attempt ended without telling anything."""
        if self.state is BreakerState.HALF_OPEN:
            self._open(now)

    def _open(self, now: timedelta) -> None:
        self.state = BreakerState.OPEN
        self.opened_at = now
