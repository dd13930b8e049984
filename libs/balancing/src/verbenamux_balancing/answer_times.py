"""How long answers take now, by route and by target.

Load pattern: all targets of a service become slow together, or a machine is
slower than another. What is late follows from what answers take, not from the
objective alone.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

# Answers of a route that are remembered, and for how long.
MAX_ANSWERS = 15
RETENTION = timedelta(seconds=30)
MAX_ROUTES = 4000
MAX_PAIRS = 20_000


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer: when its first part came, and how long after the send."""

    at: timedelta
    took: timedelta


class AnswerTimes:
    """The times from sends to the first part of their answers."""

    def __init__(self, elapsed: Callable[[], timedelta]) -> None:
        """Start without answers."""
        self._elapsed = elapsed
        self._recent_by_route: OrderedDict[str, deque[Answered]] = OrderedDict()
        self._last_by_pair: OrderedDict[tuple[str, str], Answered] = (
            OrderedDict()
        )

    def record(self, route: str, target_id: str, took: timedelta) -> None:
        """Record the first part of an answer, which came just now."""
        answered = Answered(self._elapsed(), took)
        recent = self._recent_by_route.setdefault(
            route, deque(maxlen=MAX_ANSWERS)
        )
        recent.append(answered)
        self._recent_by_route.move_to_end(route)
        if len(self._recent_by_route) > MAX_ROUTES:
            self._recent_by_route.popitem(last=False)
        self._last_by_pair[route, target_id] = answered
        self._last_by_pair.move_to_end((route, target_id))
        if len(self._last_by_pair) > MAX_PAIRS:
            self._last_by_pair.popitem(last=False)

    def usual(self, route: str) -> timedelta | None:
        """Return the median of recent answers, None without one."""
        oldest = self._elapsed() - RETENTION
        recent: Iterable[Answered] = self._recent_by_route.get(route, ())
        times = sorted(
            answered.took for answered in recent if answered.at >= oldest
        )
        return times[len(times) // 2] if times else None

    def last(self, route: str, target_id: str) -> Answered | None:
        """Return the last answer of a target on a route, None without one."""
        return self._last_by_pair.get((route, target_id))
