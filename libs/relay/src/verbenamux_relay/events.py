"""Splits the bytes of a stream into complete events with their ids."""

from collections.abc import Iterator
from dataclasses import dataclass

from verbenamux_http.errors import ExchangeFailure, Fault

BOUNDARIES = (b'\n\n', b'\r\n\r\n')
MAX_BOUNDARY_BYTES = max(map(len, BOUNDARIES))
# An event holds a few tokens of some bytes each; this limit is a quarter of a
# caller's largest request by default.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event; `event_id` is None if it has no id."""

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
        end = _first_boundary(self._buffer, self._searched_bytes)
        while end is not None:
            encoded = bytes(self._buffer[:end])
            del self._buffer[:end]
            yield StreamEvent(encoded, _event_id(encoded))
            end = _first_boundary(self._buffer, 0)
        self._searched_bytes = max(0, len(self._buffer) - MAX_BOUNDARY_BYTES)
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


def _first_boundary(encoded: bytearray, start: int) -> int | None:
    """Return the end of the first boundary after `start`."""
    end = None
    for boundary in BOUNDARIES:
        found = encoded.find(boundary, start, end)
        if found >= 0:
            end = found + len(boundary)
    return end


def _event_id(encoded: bytes) -> str | None:
    for line in encoded.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('latin-1')
    return None
