"""Call histories: JSON lines with every invocation and completion."""

from pathlib import Path

import msgspec


class Invocation(msgspec.Struct, frozen=True, tag='invoke', tag_field='event'):
    """A request about to be sent; times in seconds since the run began."""

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

    `text` is the answer text received and `done` whether the stream's
    [DONE] was received. Status 0 means that there was no response.
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
    """Collects lines in memory and writes them to a file at the end."""

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
