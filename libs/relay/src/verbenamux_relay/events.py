"""Splits the bytes of a stream into complete events with their ids."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from verbenamux_http.errors import ExchangeFailure, Fault

LINE_ENDS = b'\r\n'
# A blank line ends an event only after a line that is not blank.
EVENT_END = re.compile(rb'[^\r\n]\r?\n\r?\n')
MAX_EVENT_END_BYTES = 5
# An event holds a few tokens of some bytes each; this limit is a quarter of a
# caller's largest request by default.
MAX_EVENT_BYTES = 1024 * 1024
# What each answer may hold however much memory is in use: requests that a
# gateway has at targets are many, and all their answers may have no end.
RESERVED_ANSWER_BYTES = 65536


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, with the blank lines ahead of it.

    `event_id` is None if it has no id.
    """

    encoded: bytes
    event_id: str | None


class AnswerMemory(Protocol):
    """Memory that all answers share while they are read."""

    def reserve(
        self, so_far: int, more: int, reserved_bytes: int | None
    ) -> None:
        """Reserve more memory; raises ExchangeFailure when there is none."""

    def release(self, size: int) -> None:
        """Release memory."""


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    They count in `memory` until it is closed.
    """

    def __init__(self, memory: AnswerMemory | None = None) -> None:
        """Start before the first event."""
        self._memory = memory
        self._reserved_bytes = 0
        self._buffer = bytearray()
        # Length of the buffered prefix that holds no boundary.
        self._searched_bytes = 0

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield every event that is complete now.

        Raises ExchangeFailure if the incomplete one exceeds the limit, or all
        answers together exceed theirs.
        """
        self._buffer += piece
        found = EVENT_END.search(self._buffer, self._searched_bytes)
        while found is not None:
            encoded = bytes(self._buffer[: found.end()])
            del self._buffer[: len(encoded)]
            yield StreamEvent(encoded, _event_id(encoded))
            found = EVENT_END.search(self._buffer)
        self._searched_bytes = max(0, len(self._buffer) - MAX_EVENT_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ExchangeFailure(
                Fault.TOO_LARGE,
                f'an event of over {MAX_EVENT_BYTES} bytes',
            )
        self._reserve(len(self._buffer))

    def close(self) -> None:
        """Release the memory of an event that is not complete."""
        self._reserve(0)

    def _reserve(self, size: int) -> None:
        more = size - self._reserved_bytes
        if self._memory is not None and more > 0:
            self._memory.reserve(
                self._reserved_bytes, more, RESERVED_ANSWER_BYTES
            )
        elif self._memory is not None:
            self._memory.release(-more)
        self._reserved_bytes = size

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        self._searched_bytes = 0
        return remainder


def _event_id(encoded: bytes) -> str | None:
    for line in encoded.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('latin-1')
    return None
