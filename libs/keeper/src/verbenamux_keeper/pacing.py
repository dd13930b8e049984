"""One engine's part of the weight store's pace.

Load pattern: many engines lose their models at once and all load from the
store. An equal fixed part for each engine needs no message, and holds while
engines can't hear each other.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

# Loads that a window may hold beyond the pace, as a part of the stated
# allowance, so that keepers that restart do not exceed it together.
WINDOW = timedelta(seconds=5)


class StorePace:
    """Tells when this engine may load from the weight store again."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta = WINDOW,
        overage: float = 1.0,
        extra: float = 0,
    ) -> None:
        """Start with the part unspent.

        In any `window` all engines together may begin as many loads as the
        pace allows times `overage`, and `extra` more.
        """
        self._elapsed = elapsed
        self._window = window
        self._overage = overage
        self._extra = extra
        self._starts: deque[timedelta] = deque(maxlen=64)

    def is_ready(self, loads_per_second: float, targets: int) -> bool:
        """Tell whether a load may begin now."""
        seconds = self._window.total_seconds()
        budget = loads_per_second * seconds * self._overage + self._extra
        part = budget / max(targets, 1)
        if part >= 1:
            span, most = self._window, int(part)
        else:
            span, most = self._window / max(part, 0.01), 1
        oldest = self._elapsed() - span
        return sum(start > oldest for start in self._starts) < most

    def note_start(self) -> None:
        """Count a load that begins."""
        self._starts.append(self._elapsed())
