"""Shares memory between the requests that arrive from callers.

Load pattern: many clients send large bodies at once, and most stop just short
of their end and stay open. Memory is taken as bytes arrive, not as they are
announced. When it is used up, the unfinished request that has brought least
lately gives way, and of equal ones that which has brought least of what it
announced, so that those that make progress end and free theirs. Small requests
have a part of the memory to themselves. A large one that is alone is always
served, however little memory there is.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

# A request up to this size is small: a prompt of ten thousand tokens.
SMALL_BYTES = 65536
# Fraction of the memory that large requests leave to small ones.
SMALL_FRACTION = 0.25
# What a request brought counts half after this time.
PROGRESS_HALF_LIFE = timedelta(milliseconds=500)

# Cause of the refusal of a request that gave way.
GAVE_WAY = 'the request gave way to others'

Elapsed = Callable[[], timedelta]


class NoRoomError(Exception):
    """There is no memory for more bytes of a request."""


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds.

    `announced` is the length of the body that arrives, 0 if it is not known.
    `give_way` drops an unfinished request, which is refused, and `leave` closes
    its connection at once; nothing more is read of it once `has_given_way` is
    set.
    """

    give_way: Callable[[], None]
    leave: Callable[[], None]
    held_bytes: int = 0
    announced: int = 0
    is_unfinished: bool = False
    has_given_way: bool = False
    _recent_bytes: float = 0
    _brought_at: timedelta = field(default_factory=timedelta)

    @property
    def is_large(self) -> bool:
        """Return whether it holds more than a small request."""
        return self.held_bytes > SMALL_BYTES

    def record_brought(self, count: int, now: timedelta) -> None:
        """Record that bytes of its request have arrived."""
        self._recent_bytes = self.recent_bytes(now) + count
        self._brought_at = now

    def recent_bytes(self, now: timedelta) -> float:
        """Return what it has brought, the latest bytes most."""
        age = now - self._brought_at
        return self._recent_bytes * 0.5 ** (age / PROGRESS_HALF_LIFE)

    @property
    def fraction(self) -> float:
        """Return how much of the announced body has arrived."""
        return self.held_bytes / self.announced if self.announced else 0


class EdgeMemory:
    """The memory of all requests that arrive or are being answered."""

    def __init__(self, max_bytes: int, elapsed: Elapsed) -> None:
        """Start with all memory free."""
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.gave_way_count = 0
        self.refused_count = 0
        self._elapsed = elapsed
        self._holdings: dict[Holding, None] = {}

    def open(
        self, give_way: Callable[[], None], leave: Callable[[], None]
    ) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(give_way, leave)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Free all that a connection holds."""
        self.settle(holding, 0)
        self._holdings.pop(holding, None)

    def take(self, holding: Holding, count: int) -> None:
        """Take memory for bytes that have arrived.

        Raises NoRoomError if this request has to give way itself.
        """
        now = self._elapsed()
        holding.record_brought(count, now)
        holding.is_unfinished = True
        while not self._has_room(holding, count):
            worst = self._worst(now)
            if worst is None or worst is holding:
                self.refused_count += 1
                raise NoRoomError(
                    f'{self.held_bytes} bytes of requests are held'
                )
            self._evict(worst, worst.give_way)
        if holding.has_given_way:
            raise NoRoomError(GAVE_WAY)
        self.settle(holding, holding.held_bytes + count)

    def settle(self, holding: Holding, held_bytes: int) -> None:
        """Record what a connection holds by now."""
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def close_worst(self) -> bool:
        """Close the connection whose unfinished request brought least lately.

        Return false if no request is unfinished.
        """
        worst = self._worst(self._elapsed())
        if worst is None:
            return False
        self._evict(worst, worst.leave)
        return True

    def _has_room(self, holding: Holding, count: int) -> bool:
        wanted = self.held_bytes + count
        if holding.held_bytes + count <= SMALL_BYTES:
            return wanted <= self.max_bytes
        if wanted <= self.max_bytes * (1 - SMALL_FRACTION):
            return True
        return not any(
            other.is_large for other in self._holdings if other is not holding
        )

    def _worst(self, now: timedelta) -> Holding | None:
        """Return the unfinished request that gives way first, large ones first.

        What has given way already holds nothing.
        """
        return min(
            self._unfinished(),
            key=lambda holding: (
                not holding.is_large,
                round(holding.recent_bytes(now)),
                holding.fraction,
            ),
            default=None,
        )

    def _unfinished(self) -> Iterator[Holding]:
        for holding in self._holdings:
            if holding.is_unfinished and not holding.has_given_way:
                yield holding

    def _evict(self, holding: Holding, end: Callable[[], None]) -> None:
        self.gave_way_count += 1
        holding.has_given_way = True
        end()
        self.settle(holding, 0)
