"""Interface of the append-only log, independent of its backend."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from returns.result import Result


class LogFault(enum.Enum):
    """The kinds of failure, by the effect that the call may have had.

    REFUSED: it had no effect. UNANSWERED: it may have taken effect, or may
    do so later. EXPIRED: the requested records were deleted.
    UNREADABLE: the answer could not be decoded.
    """

    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    EXPIRED = 'expired'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A call to the log without a usable answer.

    After EXPIRED, `first_offset` is the first offset still stored.
    `began_at` is the monotonic time of the call, if it was recorded.
    """

    fault: LogFault
    message: str
    first_offset: int = 0
    began_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Consecutive record bodies that start at an offset.

    `next_offset` follows the last record of the batch; `end_offset` follows
    the last record of the log. `era` rises each time the log loses its newest
    records: offsets of different eras have nothing in common.
    """

    first_offset: int
    next_offset: int
    bodies: tuple[bytes, ...]
    end_offset: int = 0
    era: int = 0

    @property
    def reaches_end(self) -> bool:
        """Return whether the log has no records after the batch."""
        return self.next_offset >= self.end_offset


class Log(Protocol):
    """Appends to and reads from named streams."""

    def append(self, stream: str, *bodies: bytes) -> Result[int, LogFailure]:
        """Append records atomically; return the first one's offset."""

    def read(
        self,
        stream: str,
        from_offset: int,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, LogFailure]:
        """Read records from an offset on; wait up to `wait` for the first."""
