"""Histories: JSON lines with every invocation and its completion."""

from pathlib import Path

import msgspec


class Invocation(msgspec.Struct, frozen=True, tag='invoke', tag_field='event'):
    """A request that is about to leave; times in seconds of the run."""

    call_id: str
    caller: str
    time: float
    kind: str
    model: str
    prompt_digest: str
    output_tokens: int
    idempotent: bool
    gateway: str
    idempotency_key: str = ''


class Completion(
    msgspec.Struct,
    frozen=True,
    tag='complete',
    tag_field='event',
):
    """How a request ended for its caller.

    `text` is the whole answer as received and `done` tells whether the
    stream's [DONE] came. A status of zero means that no answer came.
    """

    call_id: str
    time: float
    status: int
    first_token: float | None = None
    text: str = ''
    done: bool = False
    run: str = ''
    code: str = ''
    request_id: str = ''
    retry_after: str = ''
    tokens: int = 0
    failure: str = ''


HistoryLine = Invocation | Completion


class HistoryWriter:
    """Keeps lines in memory and writes them out at the end."""

    def __init__(self) -> None:
        """Start empty."""
        self.lines: list[HistoryLine] = []

    def add(self, line: HistoryLine) -> None:
        """Add one line."""
        self.lines.append(line)

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        encoded = (msgspec.json.encode(line) + b'\n' for line in self.lines)
        path.write_bytes(b''.join(encoded))


def read_history(path: Path) -> list[HistoryLine]:
    """Return the lines of a history file."""
    return [
        msgspec.json.decode(line, type=HistoryLine)
        for line in path.read_bytes().splitlines()
    ]
