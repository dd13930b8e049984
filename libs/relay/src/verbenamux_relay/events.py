"""Events of a stream: whole ones cut out of its bytes, with their ids."""

from collections.abc import Iterator
from dataclasses import dataclass

BOUNDARIES = (b'\n\n', b'\r\n\r\n')


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event; `event_id` is None when it has no id."""

    encoded: bytes
    event_id: str | None


class EventSplitter:
    """Holds back the bytes of an event until it is whole."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b''

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield every event that is whole now."""
        self._rest += piece
        while True:
            end = _first_boundary(self._rest)
            if end is None:
                return
            encoded = self._rest[:end]
            self._rest = self._rest[end:]
            yield StreamEvent(encoded, _event_id(encoded))

    def take_rest(self) -> bytes:
        """Return the bytes behind the last whole event."""
        rest = self._rest
        self._rest = b''
        return rest


def _first_boundary(encoded: bytes) -> int | None:
    ends = [
        found + len(boundary)
        for boundary in BOUNDARIES
        if (found := encoded.find(boundary)) >= 0
    ]
    return min(ends, default=None)


def _event_id(encoded: bytes) -> str | None:
    for line in encoded.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('latin-1')
    return None
