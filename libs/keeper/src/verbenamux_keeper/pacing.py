"""One engine's part of the weight store's pace.

Load pattern: many engines lose their models at once and all load from the
store. An equal fixed part for each engine needs no message, and holds while
engines can't hear each other.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from random import Random

WINDOW = timedelta(seconds=5)
# A window is kept longer by this factor, since loads begin a little after
# their orders.
SPAN_FACTOR = 1.04
# Part of the pace that engines use when each gets less than a load a window:
# their loads then fall into a window by chance.
CHANCE_PART = 0.7
# Bounds the time between two loads of one engine.
LEAST_PART = 0.01


class StorePace:
    """Tells when this engine may load from the weight store again."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta = WINDOW,
        overage: float = 1.0,
        random: Random | None = None,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Start with the part unspent in the first start of all engines.

        Else a process before this one may have spent it until a moment ago,
        so it counts as spent for one window.

        In any `window` all engines together may begin as many loads as the
        pace allows times `overage`. Where that is less than one for each,
        the first load waits for a random part of its time.
        """
        self._elapsed = elapsed
        self._window = window
        self._overage = overage
        self._begins_at = elapsed()
        if not is_first_start:
            self._begins_at += window * SPAN_FACTOR
        self._phase = (random or Random()).random()
        self._starts: deque[timedelta] = deque(maxlen=64)

    def is_ready(self, loads_per_second: float, targets: int) -> bool:
        """Tell whether a load may begin now."""
        seconds = self._window.total_seconds()
        budget = loads_per_second * seconds * self._overage
        part = budget / max(targets, 1)
        now = self._elapsed()
        if now < self._begins_at:
            return False
        if part >= 1:
            oldest = now - self._window * SPAN_FACTOR
            return sum(start > oldest for start in self._starts) < int(part)
        span = self._window * SPAN_FACTOR / max(part * CHANCE_PART, LEAST_PART)
        if now - self._begins_at < span * self._phase:
            return False
        return not self._starts or now - self._starts[-1] >= span

    def note_start(self) -> None:
        """Count a load that begins."""
        self._starts.append(self._elapsed())
