"""A TCP relay between processes, whose connections can be cut."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
from gevent import joinall, sleep, socket, spawn
from gevent.server import StreamServer

from verbenamux_standin.web import BAD_REQUEST, Reply, Request, json_reply

READ_BYTES = 65536
MILLISECONDS = 1000


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relayed address: where it listens and where it leads."""

    name: str
    listen: str
    to: str


class Cuts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The lines that are cut now, and the delay of all others."""

    lines: tuple[str, ...] = ()
    delay_ms: int = 0


@dataclass(slots=True)
class Relay:
    """All lines of one relay process."""

    lines: tuple[Line, ...]
    cuts: Cuts = field(default_factory=Cuts)
    open_by_line: dict[str, set[socket.socket]] = field(default_factory=dict)

    def start(self) -> None:
        """Listen on every line."""
        for line in self.lines:
            self.open_by_line[line.name] = set()
            StreamServer(parse(line.listen), self._accept_on(line)).start()

    def route(self, request: Request) -> Reply:
        """Take new cuts over HTTP; connections of cut lines break."""
        try:
            self.cuts = msgspec.json.decode(request.body, type=Cuts)
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        for name in self.cuts.lines:
            for each in list(self.open_by_line.get(name, ())):
                _close(each)
        return json_reply(self.cuts)

    def _accept_on(
        self,
        line: Line,
    ) -> Callable[[socket.socket, object], None]:
        def accept(caller: socket.socket, _address: object) -> None:
            if line.name in self.cuts.lines:
                _close(caller)
                return
            self._join(line, caller)

        return accept

    def _join(self, line: Line, caller: socket.socket) -> None:
        try:
            callee = socket.create_connection(parse(line.to), timeout=2)
        except OSError:
            _close(caller)
            return
        callee.settimeout(None)
        pair = {caller, callee}
        self.open_by_line[line.name] |= pair
        joinall(
            [
                spawn(self._copy, caller, callee),
                spawn(self._copy, callee, caller),
            ]
        )
        self.open_by_line[line.name] -= pair

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        # Either side may be cut at any time; both close below.
        with suppress(OSError):
            while piece := source.recv(READ_BYTES):
                if self.cuts.delay_ms:
                    sleep(self.cuts.delay_ms / MILLISECONDS)
                sink.sendall(piece)
        _close(source)
        _close(sink)


def parse(address: str) -> tuple[str, int]:
    """Return host and port of an `ip:port` text."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _close(each: socket.socket) -> None:
    with suppress(OSError):
        each.shutdown(socket.SHUT_RDWR)
    each.close()
