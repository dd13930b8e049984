"""Client of the append-only log service."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from verbenamux_platform.errors import PlatformFailure, PlatformFault
from verbenamux_platform.http import (
    GONE,
    Answer,
    Endpoint,
    exchange,
    open_client,
)

DEFAULT_TIMEOUT = timedelta(seconds=3)
DEFAULT_LIMIT = 500


class AppendAnswer(msgspec.Struct, frozen=True):
    """The offset that the log gave a record."""

    offset: int


class ReadAnswer(msgspec.Struct, frozen=True):
    """Records as the log returns them, as text bodies."""

    first_offset: int
    next_offset: int
    records: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """A run of record bodies that starts at an offset.

    `next_offset` follows the last record; `end_offset` follows the last
    record the log holds.
    """

    first_offset: int
    next_offset: int
    bodies: tuple[bytes, ...]


class LogClient:
    """Appends to and reads from streams of the platform's log."""

    def __init__(
        self,
        endpoint: Endpoint,
        timeout: timedelta = DEFAULT_TIMEOUT,
    ) -> None:
        """Prepare a client; nothing is sent yet."""
        self._client = open_client(endpoint, timeout)

    def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[int, PlatformFailure]:
        """Append a record and return its offset.

        After an UNREACHABLE failure the record may be on the log: read
        to find out.
        """
        answer = exchange(
            self._client,
            'POST',
            f'/streams/{stream}/records',
            body,
        )
        return answer.bind(_decode_append)

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int = DEFAULT_LIMIT,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, PlatformFailure]:
        """Read records from an offset on, waiting a while for the first.

        An EXPIRED failure carries the first offset still kept.
        """
        wait_ms = wait // timedelta(milliseconds=1)
        query = f'from={from_offset}&limit={limit}&wait_ms={wait_ms}'
        answer = exchange(
            self._client,
            'GET',
            f'/streams/{stream}/records?{query}',
        )
        return answer.bind(_decode_read)


def _decode_append(answer: Answer) -> Result[int, PlatformFailure]:
    try:
        decoded = msgspec.json.decode(answer.body, type=AppendAnswer)
    except msgspec.MsgspecError as error:
        return _unreadable(error)
    return Success(decoded.offset)


def _decode_read(answer: Answer) -> Result[RecordBatch, PlatformFailure]:
    try:
        decoded = msgspec.json.decode(answer.body, type=ReadAnswer)
    except msgspec.MsgspecError as error:
        return _unreadable(error)
    if answer.status == GONE:
        return Failure(
            PlatformFailure(
                PlatformFault.EXPIRED,
                'records before the first offset have expired',
                decoded.first_offset,
            ),
        )
    bodies = tuple(record.encode() for record in decoded.records)
    return Success(
        RecordBatch(decoded.first_offset, decoded.next_offset, bodies),
    )


def _unreadable(error: msgspec.MsgspecError) -> Failure[PlatformFailure]:
    return Failure(
        PlatformFailure(PlatformFault.UNREADABLE, str(error)),
    )
