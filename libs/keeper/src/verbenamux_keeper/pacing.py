"""One engine's share of the weight store's rate limit.

Load pattern: many engines lose their models at once and all load from the
store. An equal fixed share for each engine needs no messages, and holds while
engines can't reach each other.
"""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from random import Random

WINDOW = timedelta(seconds=5)
# Windows are extended by this factor, since loads begin a little after their
# orders.
WINDOW_MARGIN_FACTOR = 1.04
# Fraction of the rate that engines use when each gets less than one load a
# window: how many of their loads fall into one window is then random.
SPARSE_RATE_FRACTION = 0.7
# Bounds the interval between two loads of one engine.
MIN_LOADS_PER_WINDOW = 0.01


class StoreLoadLimiter:
    """Limits how often this engine loads from the weight store."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta = WINDOW,
        overage: float = 1.0,
        random: Random | None = None,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Start with an unused share when all engines start for the first time.

        Otherwise an earlier process may just have used the share, so it
        counts as used for one window.

        In any `window` all engines together may begin as many loads as the
        rate allows times `overage`. Where that is less than one for each,
        the first load waits for a random fraction of the interval.
        """
        self._elapsed = elapsed
        self._window = window
        self._overage = overage
        self._available_at = elapsed()
        if not is_first_start:
            self._available_at += window * WINDOW_MARGIN_FACTOR
        self._phase = (random or Random()).random()
        self._load_starts: deque[timedelta] = deque(maxlen=64)

    def is_ready(self, loads_per_second: float, targets: int) -> bool:
        """Return whether a load may begin now."""
        seconds = self._window.total_seconds()
        fleet_loads_per_window = loads_per_second * seconds * self._overage
        loads_per_window = fleet_loads_per_window / max(targets, 1)
        now = self._elapsed()
        if now < self._available_at:
            return False
        if loads_per_window >= 1:
            window_start = now - self._window * WINDOW_MARGIN_FACTOR
            return sum(
                start > window_start for start in self._load_starts
            ) < int(loads_per_window)
        interval = (
            self._window
            * WINDOW_MARGIN_FACTOR
            / max(loads_per_window * SPARSE_RATE_FRACTION, MIN_LOADS_PER_WINDOW)
        )
        if now - self._available_at < interval * self._phase:
            return False
        return not self._load_starts or now - self._load_starts[-1] >= interval

    def record_load_start(self) -> None:
        """Count a load that begins."""
        self._load_starts.append(self._elapsed())
