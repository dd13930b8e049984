"""The requests that a stand-in ran, in order, with all headers."""

from typing import Any

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import Reply, Request


class History:
    """Events of one stand-in, returned as JSON lines."""

    def __init__(self, name: str, clock: Clock) -> None:
        """Start with no events."""
        self.running = 0
        self._name = name
        self._clock = clock
        self._lines: list[bytes] = []

    def write(self, event: str, **fields: Any) -> None:
        """Add one event."""
        line = {
            'time': self._clock.now().isoformat(),
            'standin': self._name,
            'event': event,
        }
        self._lines.append(msgspec.json.encode(line | fields))

    def start(self, attempt: str, request: Request) -> None:
        """Record the start of a request with everything the caller sent."""
        self.running += 1
        self.write(
            'run',
            attempt=attempt,
            path=request.path,
            headers=request.header_by_name,
            query=request.query_by_name,
            body=request.body.decode(errors='replace'),
        )

    def finish(self, attempt: str) -> None:
        """Record the end of a request."""
        self.running -= 1
        self.write('done', attempt=attempt)

    def reply(self) -> Reply:
        """Return all events as JSON lines."""
        body = b''.join(line + b'\n' for line in self._lines)
        return Reply(body=body)
