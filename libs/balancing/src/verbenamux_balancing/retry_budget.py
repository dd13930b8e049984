"""The retry budget of a service, shared by all gateways.

Load pattern: targets fail or refuse at the same time, and every request would
be retried. Each gateway spends the ratio of its own requests and an equal share
of the fixed extra, so no message is needed. A process that has just started
does not know what the one before it spent, and takes as spent all that it
could have: restarts, however many, add nothing.

The bound holds in every window. It counts the requests of the window, of the
one before it, or of the one half a window before it, whichever has most; so a
retry has to be within the bound of each window that may still contain it.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from itertools import accumulate

# Parts of a window by which requests and retries are counted.
BUCKETS = 20
# Ends of the windows that are looked at, in buckets from now on.
WINDOW_ENDS = range(0, BUCKETS, 2)
# How far before a window requests count for it, in buckets.
REQUEST_WINDOWS = (0, BUCKETS // 2, BUCKETS)
# Fraction of the budget that is spent: the gateways' windows are not aligned.
SAFE_FRACTION = 0.8
# Fraction of the ratio that is spent in the first window after a restart: most
# of what the previous process left.
RESTARTED_FRACTION = (1 - SAFE_FRACTION) * 0.75


@dataclass(frozen=True, slots=True)
class BudgetState:
    """What a budget counts in the window that binds, and what that leaves.

    `extra` is the part of the fixed extra that may be spent now.
    """

    first_sends: int
    retries: int
    extra: float
    left: float


class RetryBudget:
    """Counts first sends and retries of one service in a sliding window."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        window: timedelta,
        ratio: float,
        extra: float,
        restarted_at: timedelta | None = None,
    ) -> None:
        """Start empty; `extra` is this gateway's share of the fixed extra.

        `restarted_at` is when this process took over from a previous one, which
        may have spent its whole part until then.
        """
        self.extra = extra
        self._whole_from = (
            timedelta() if restarted_at is None else restarted_at + window
        )
        self._elapsed = elapsed
        self._window = window
        self._ratio = ratio
        self._bucket_time = window / BUCKETS
        self._first_sends_by_bucket: Counter[int] = Counter()
        self._retries_by_bucket: Counter[int] = Counter()
        self._changes = 0
        # What the last state was determined from.
        self._counted: tuple[int, bool, float, int] | None = None
        self._state = BudgetState(0, 0, 0, 0)

    def record_first_send(self) -> None:
        """Count the first send of a request."""
        self._changes += 1
        self._first_sends_by_bucket[self._bucket_at(self._elapsed())] += 1

    def take(self) -> bool:
        """Spend one retry, if one is left."""
        return self.reserve() is not None

    def reserve(self) -> timedelta | None:
        """Spend one retry ahead of its send; return when, None if none is left.

        It is named by that time until it is sent or given back.
        """
        if self.left() < 1:
            return None
        return self._spend()

    def renew(self, reserved_at: timedelta) -> timedelta:
        """Count a reserved retry from now on, as it is about to be sent."""
        self.give_back(reserved_at)
        return self._spend()

    def give_back(self, reserved_at: timedelta) -> None:
        """Take back a reserved retry that was not sent."""
        bucket = self._bucket_at(reserved_at)
        if self._retries_by_bucket[bucket]:
            self._changes += 1
            self._retries_by_bucket[bucket] -= 1

    def left(self) -> float:
        """Return how many retries are left."""
        return self.state().left

    def state(self) -> BudgetState:
        """Return what is counted now, and how many retries are left."""
        now = self._elapsed()
        is_whole = now >= self._whole_from
        newest = self._bucket_at(now)
        counted = (newest, is_whole, self.extra, self._changes)
        if self._counted != counted:
            self._counted = counted
            self._state = min(
                self._states(newest, is_whole=is_whole), key=_left
            )
        return self._state

    def _states(self, newest: int, *, is_whole: bool) -> Iterator[BudgetState]:
        """Yield the state of each window that may contain a retry of now."""
        extra = self.extra if is_whole else 0
        fraction = SAFE_FRACTION if is_whole else RESTARTED_FRACTION
        first_sends = _Sums(self._first_sends_by_bucket, newest)
        retries = _Sums(self._retries_by_bucket, newest)
        for end in WINDOW_ENDS:
            requests = max(
                first_sends.since(end - back - BUCKETS + 1, end - back)
                for back in REQUEST_WINDOWS
            )
            spent = retries.since(end - BUCKETS, end)
            allowed = self._ratio * requests + extra
            yield BudgetState(
                requests, spent, extra, allowed * fraction - spent
            )

    def _spend(self) -> timedelta:
        now = self._elapsed()
        self._changes += 1
        self._retries_by_bucket[self._bucket_at(now)] += 1
        return now

    def _bucket_at(self, time: timedelta) -> int:
        return time // self._bucket_time


class _Sums:
    """Sums of counts over buckets, which are named relative to the newest."""

    def __init__(self, by_bucket: Counter[int], newest: int) -> None:
        """Forget the counts that no window contains any more."""
        oldest = newest - 2 * BUCKETS
        for bucket in tuple(by_bucket):
            if bucket < oldest:
                by_bucket.pop(bucket)
        counts = (by_bucket[bucket] for bucket in range(oldest, newest + 1))
        self._sums = (0, *accumulate(counts))

    def since(self, first: int, last: int) -> int:
        """Return the sum of the buckets from `first` to `last`."""
        begin = max(first + 2 * BUCKETS, 0)
        end = min(last, 0) + 2 * BUCKETS + 1
        return self._sums[end] - self._sums[min(begin, end)]


def _left(state: BudgetState) -> float:
    return state.left
