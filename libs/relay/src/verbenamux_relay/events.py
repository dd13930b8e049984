"""Splits the bytes of a stream into complete events with their ids."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from verbenamux_http.errors import ExchangeFailure, Fault

LINE_ENDS = b'\r\n'
# A blank line ends an event only after a line that is not blank.
EVENT_END = re.compile(rb'[^\r\n]\r?\n\r?\n')
MAX_EVENT_END_BYTES = 5
# An event holds a few tokens of some bytes each; this limit is a quarter of a
# caller's largest request by default.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, with the blank lines ahead of it.

    `event_id` is None if it has no id.
    """

    encoded: bytes
    event_id: str | None


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._buffer = bytearray()
        # Length of the buffered prefix that holds no boundary.
        self._searched_bytes = 0

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield every event that is complete now.

        Raises ExchangeFailure if the incomplete one exceeds the limit.
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
