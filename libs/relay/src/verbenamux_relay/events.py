"""Splits the bytes of a stream into complete events with their ids."""

from collections.abc import Iterator
from dataclasses import dataclass

from verbenamux_http.errors import ExchangeFailure, Fault

BOUNDARIES = (b'\n\n', b'\r\n\r\n')
BOUNDARY_BYTES_MOST = max(map(len, BOUNDARIES))
# An event holds a few tokens of some bytes each; this limit is a quarter of a
# caller's largest request by default.
EVENT_BYTES_MOST = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event; `event_id` is None if it has no id."""

    encoded: bytes
    event_id: str | None


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = bytearray()
        # Length of the buffered prefix that holds no boundary.
        self._searched = 0

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield every event that is complete now.

        Raises ExchangeFailure if the incomplete one exceeds the limit.
        """
        self._rest += piece
        end = _first_boundary(self._rest, self._searched)
        while end is not None:
            encoded = bytes(self._rest[:end])
            del self._rest[:end]
            yield StreamEvent(encoded, _event_id(encoded))
            end = _first_boundary(self._rest, 0)
        self._searched = max(0, len(self._rest) - BOUNDARY_BYTES_MOST)
        if len(self._rest) > EVENT_BYTES_MOST:
            raise ExchangeFailure(
                Fault.TOO_LARGE,
                f'an event of over {EVENT_BYTES_MOST} bytes',
            )

    def take_rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        rest = bytes(self._rest)
        self._rest.clear()
        self._searched = 0
        return rest


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
