"""Learns how fast targets are: lastingly, and at this moment.

Load pattern: targets of one service run on hosts of several kinds, which they
share with others. Some read prompts at half the speed of the rest for good, and
each is slowed down several times a second for a moment. A target that is taken
for average gets more than it can begin in time. Only targets that state how
their host fares are told apart; the others of a service count as alike.
"""

from dataclasses import dataclass
from datetime import timedelta

# Prompt tokens per second assumed for an engine before any measurement.
DEFAULT_READ_RATE = 38000.0
# Bounds of the learned read rate, in tokens per second.
MIN_READ_RATE = 4000.0
MAX_READ_RATE = 1_000_000.0
READ_RATE_WEIGHT = 0.1
# The first measurements of a target count more: it has few.
MIN_RELATIVE_WEIGHT = 0.15
# Bounds of a target's speed relative to the others of its model.
MIN_RELATIVE_SPEED = 0.3
MAX_RELATIVE_SPEED = 3.0
# What a target states of its host is half as likely to hold after this time:
# it changes many times a second.
PACE_HALF_LIFE = timedelta(milliseconds=250)
# Weight of the newest statement in a target's usual pace.
PACE_WEIGHT = 0.05


@dataclass(slots=True)
class Pace:
    """How long work takes on a target's host, as a factor on the usual time."""

    usual: float = 1
    stated: float = 1
    stated_at: timedelta = timedelta()

    def record(self, stated: float, now: timedelta) -> None:
        """Record what the target states now."""
        self.usual += (stated - self.usual) * PACE_WEIGHT
        self.stated = stated
        self.stated_at = now

    def expected(self, now: timedelta) -> float:
        """Return the factor to expect, by the age of the last statement."""
        age = now - self.stated_at
        still_holds = 0.5 ** (age / PACE_HALF_LIFE)
        return self.usual + (self.stated - self.usual) * still_holds


@dataclass(slots=True)
class _Relative:
    speed: float = 1
    count: int = 0


class ReadRateTable:
    """Learned prompt read rate of each model, and of targets relative to it."""

    def __init__(self) -> None:
        """Start from the default rate, with all targets alike."""
        self._rate_by_model: dict[str, float] = {}
        self._relative_by_target: dict[str, _Relative] = {}

    def rate_for(self, model: str | None, target_id: str = '') -> float:
        """Return prompt tokens per second."""
        rate = self._rate_by_model.get(model or '', DEFAULT_READ_RATE)
        relative = self._relative_by_target.get(target_id)
        return rate * relative.speed if relative else rate

    def learn(
        self,
        model: str | None,
        tokens: int,
        took: timedelta,
    ) -> None:
        """Update the rate with a prompt that was read without queueing."""
        observed = _observed_rate(tokens, took)
        if model is None or observed is None:
            return
        current = self.rate_for(model)
        self._rate_by_model[model] = (
            current + (observed - current) * READ_RATE_WEIGHT
        )

    def learn_target(
        self,
        model: str | None,
        target_id: str,
        tokens: int,
        took: timedelta,
    ) -> None:
        """Update how fast a target is, relative to the others of a model."""
        observed = _observed_rate(tokens, took)
        if observed is None:
            return
        relative = self._relative_by_target.setdefault(target_id, _Relative())
        relative.count += 1
        weight = max(1 / (relative.count + 1), MIN_RELATIVE_WEIGHT)
        ratio = observed / self.rate_for(model)
        bounded = min(max(ratio, MIN_RELATIVE_SPEED), MAX_RELATIVE_SPEED)
        relative.speed += (bounded - relative.speed) * weight

    def forget(self, target_id: str) -> None:
        """Drop what was learned of a target that ended."""
        self._relative_by_target.pop(target_id, None)


def _observed_rate(tokens: int, took: timedelta) -> float | None:
    seconds = took.total_seconds()
    if seconds <= 0:
        return None
    return min(max(tokens / seconds, MIN_READ_RATE), MAX_READ_RATE)
