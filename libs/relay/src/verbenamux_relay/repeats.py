"""The budget of repeated sends, one sum a service over all gateways.

Load pattern: targets fail or refuse at once, and every request would be
sent a second time. Each gateway spends a part of the ratio from its own
requests and an equal part of the fixed extra, so no message is needed.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

# The part of the stated budget that is spent, for windows that end apart.
SAFE_PART = 0.8


class RepeatBudget:
    """Counts first sends and repeats of one service in a sliding window."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta,
        ratio: float,
        extra: float,
    ) -> None:
        """Start empty; `extra` is this gateway's part of the fixed sum."""
        self.extra = extra
        self._elapsed = elapsed
        self._window = window
        self._ratio = ratio
        self._firsts: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def note_first(self) -> None:
        """Count a request that is sent for the first time."""
        self._firsts.append(self._elapsed())

    def take(self) -> bool:
        """Spend one repeat, if one is left."""
        self._expire()
        allowed = self._ratio * len(self._firsts) + self.extra
        if len(self._repeats) + 1 > allowed * SAFE_PART:
            return False
        self._repeats.append(self._elapsed())
        return True

    def left(self) -> float:
        """Return how many repeats are left."""
        self._expire()
        allowed = self._ratio * len(self._firsts) + self.extra
        return allowed * SAFE_PART - len(self._repeats)

    def _expire(self) -> None:
        oldest = self._elapsed() - self._window
        for stamps in (self._firsts, self._repeats):
            while stamps and stamps[0] < oldest:
                stamps.popleft()
