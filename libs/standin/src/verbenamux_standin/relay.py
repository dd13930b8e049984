"""A TCP relay between processes, whose connections can be cut."""

import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
from gevent import joinall, sleep, socket, spawn
from gevent.server import StreamServer

from verbenamux_standin.web import BAD_REQUEST, Reply, Request, json_reply

READ_BYTES = 65536
MILLISECONDS = 1000
# A silent line looks this often whether it may pass on again.
SILENT_SECONDS = 0.025
# Lingering for no time makes a close a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relayed address: where it listens and where it leads."""

    name: str
    listen: str
    to: str


class Cuts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with the lines now.

    `lines` are cut: their connections break and no new one opens. On lines
    in `silent_to` nothing passes towards the callee, on those in
    `silent_from` nothing comes back, until that ends; connections stay open.
    `delay_ms` holds for all lines, `delay_ms_by_line` for one.
    """

    lines: tuple[str, ...] = ()
    silent_to: tuple[str, ...] = ()
    silent_from: tuple[str, ...] = ()
    delay_ms: int = 0
    delay_ms_by_line: dict[str, int] = {}


@dataclass(slots=True)
class Relay:
    """All lines of one relay process."""

    lines: tuple[Line, ...]
    cuts: Cuts = field(default_factory=Cuts)
    open_by_line: dict[str, set[socket.socket]] = field(default_factory=dict)
    listeners: list[StreamServer] = field(default_factory=list)

    def start(self) -> None:
        """Listen on every line."""
        for line in self.lines:
            self.open_by_line[line.name] = set()
            listener = StreamServer(
                parse(line.listen),
                self._accept_on(line),
            )
            listener.start()
            self.listeners.append(listener)

    def stop(self) -> None:
        """Listen no more, and reset all connections."""
        for listener in self.listeners:
            listener.stop()
        for name in self.open_by_line:
            self.reset(name)

    def route(self, request: Request) -> Reply:
        """Take new cuts over HTTP; connections of cut lines break."""
        try:
            self.apply(msgspec.json.decode(request.body, type=Cuts))
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        return json_reply(self.cuts)

    def apply(self, cuts: Cuts) -> None:
        """Set what is wrong from now on, and break what is cut."""
        self.cuts = cuts
        for name in cuts.lines:
            self.reset(name)

    def reset(self, name: str) -> None:
        """Reset the connections that a line has now."""
        for each in list(self.open_by_line.get(name, ())):
            with suppress(OSError):
                each.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    RESET_ON_CLOSE,
                )
            each.close()

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
        towards = spawn(
            self._copy,
            caller,
            callee,
            line.name,
            lambda: self.cuts.silent_to,
        )
        back = spawn(
            self._copy,
            callee,
            caller,
            line.name,
            lambda: self.cuts.silent_from,
        )
        joinall([towards, back])
        self.open_by_line[line.name] -= pair

    def _hold(self, name: str, silent: Callable[[], tuple[str, ...]]) -> None:
        """Wait while a line is slow or silent in one direction."""
        delay_ms = self.cuts.delay_ms_by_line.get(name, self.cuts.delay_ms)
        sleep(delay_ms / MILLISECONDS)
        while name in silent():
            sleep(SILENT_SECONDS)

    def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        name: str,
        silent: Callable[[], tuple[str, ...]],
    ) -> None:
        # Either side may be cut at any time; both close below.
        with suppress(OSError):
            while piece := source.recv(READ_BYTES):
                self._hold(name, silent)
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
