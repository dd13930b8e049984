"""Events of a stream: whole ones cut out of its bytes, with their ids."""

from collections.abc import Iterator
from dataclasses import dataclass

from verbenamux_http.errors import ExchangeFailure, Fault

BOUNDARIES = (b'\n\n', b'\r\n\r\n')
BOUNDARY_BYTES_MOST = max(map(len, BOUNDARIES))
# The most bytes of one event. It holds a few tokens of some bytes each; this
# is a quarter of a caller's largest request by default.
EVENT_BYTES_MOST = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event; `event_id` is None when it has no id."""

    encoded: bytes
    event_id: str | None


class EventSplitter:
    """Holds back the bytes of an event until it is whole."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = bytearray()
        # How many bytes of the rest hold no boundary.
        self._searched = 0

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield every event that is whole now.

        Raises ExchangeFailure when the one behind them has no end.
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
        """Return the bytes behind the last whole event."""
        rest = bytes(self._rest)
        self._rest.clear()
        self._searched = 0
        return rest


def _first_boundary(encoded: bytearray, start: int) -> int | None:
    """Return where the first boundary behind `start` ends."""
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
