"""The append-only log as the product uses it, whoever keeps it."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from returns.result import Result


class LogFault(enum.Enum):
    """The kinds of failure, by what they say of the effect.

    REFUSED: nothing was done. UNANSWERED: the call may have been done, or
    may be done later. EXPIRED: the records asked for were deleted.
    UNREADABLE: the answer is none.
    """

    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    EXPIRED = 'expired'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A call to the log without a usable answer.

    `first_offset` is the first one still kept, after EXPIRED; `began_at` is
    the monotonic time of the call, where it was noted.
    """

    fault: LogFault
    message: str
    first_offset: int = 0
    began_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """A run of record bodies that starts at an offset.

    `next_offset` follows the last record; `end_offset` follows the last
    record the log holds.
    """

    first_offset: int
    next_offset: int
    bodies: tuple[bytes, ...]
    end_offset: int = 0

    @property
    def reaches_end(self) -> bool:
        """Tell whether nothing is left to read behind the batch."""
        return self.next_offset >= self.end_offset


class Log(Protocol):
    """Appends to and reads from named streams."""

    def append(self, stream: str, *bodies: bytes) -> Result[int, LogFailure]:
        """Append records, all or none; return the first one's offset."""

    def read(
        self,
        stream: str,
        from_offset: int,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, LogFailure]:
        """Read records from an offset on, waiting a while for the first."""
