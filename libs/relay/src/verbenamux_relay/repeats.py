"""The retry budget of a service, shared by all gateways.

Load pattern: targets fail or refuse at the same time, and every request would
be retried. Each gateway spends the ratio of its own requests and an equal share
of the fixed extra, so no message is needed.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

# Fraction of the budget that is spent: the gateways' windows are not aligned.
SAFE_PART = 0.8


class RepeatBudget:
    """Counts first sends and retries of one service in a sliding window."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta,
        ratio: float,
        extra: float,
        extra_from: timedelta = timedelta(),
    ) -> None:
        """Start empty; `extra` is this gateway's share of the fixed extra.

        It may be spent from `extra_from` on: the previous process may have
        spent it until just before this one started.
        """
        self.extra = extra
        self._extra_from = extra_from
        self._elapsed = elapsed
        self._window = window
        self._ratio = ratio
        self._firsts: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def note_first(self) -> None:
        """Count the first send of a request."""
        self._firsts.append(self._elapsed())

    def take(self) -> bool:
        """Spend one retry, if one is left."""
        if self.left() < 1:
            return False
        self._repeats.append(self._elapsed())
        return True

    def left(self) -> float:
        """Return how many retries are left."""
        self._expire()
        is_free = self._elapsed() >= self._extra_from
        extra = self.extra if is_free else 0
        allowed = self._ratio * len(self._firsts) + extra
        return allowed * SAFE_PART - len(self._repeats)

    def _expire(self) -> None:
        oldest = self._elapsed() - self._window
        for stamps in (self._firsts, self._repeats):
            while stamps and stamps[0] < oldest:
                stamps.popleft()
