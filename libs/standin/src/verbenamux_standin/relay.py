"""A TCP relay between processes that can break their connections."""

import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
from gevent import joinall, sleep, socket, spawn
from gevent.server import StreamServer

from verbenamux_standin.web import BAD_REQUEST, Reply, Request, json_reply

RECEIVE_BYTES = 65536
MILLISECONDS_PER_SECOND = 1000
# How often a silent line checks whether it may forward data again.
SILENT_POLL_SECONDS = 0.025
# SO_LINGER with a timeout of 0 makes close() send a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relayed address: where it listens and where it connects to."""

    name: str
    listen: str
    to: str


class Cuts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force on the lines.

    `lines` are cut: their connections are reset and new ones refused. Lines
    in `silent_to` hold back data towards the callee, lines in `silent_from`
    data from it, until the fault ends; connections stay open. `delay_ms`
    applies to all lines, `delay_ms_by_line` to single lines.
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
                parse_address(line.listen),
                self._accept_on(line),
            )
            listener.start()
            self.listeners.append(listener)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        for listener in self.listeners:
            listener.stop()
        for name in self.open_by_line:
            self.reset(name)

    def route(self, request: Request) -> Reply:
        """Apply cuts received over HTTP."""
        try:
            self.apply(msgspec.json.decode(request.body, type=Cuts))
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        return json_reply(self.cuts)

    def apply(self, cuts: Cuts) -> None:
        """Replace the faults in force and reset connections of cut lines."""
        self.cuts = cuts
        for name in cuts.lines:
            self.reset(name)

    def reset(self, name: str) -> None:
        """Reset the open connections of a line."""
        for connection in list(self.open_by_line.get(name, ())):
            with suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    RESET_ON_CLOSE,
                )
            connection.close()

    def _accept_on(
        self,
        line: Line,
    ) -> Callable[[socket.socket, object], None]:
        def accept(caller: socket.socket, _address: object) -> None:
            if line.name in self.cuts.lines:
                _close(caller)
                return
            self._connect(line, caller)

        return accept

    def _connect(self, line: Line, caller: socket.socket) -> None:
        try:
            callee = socket.create_connection(parse_address(line.to), timeout=2)
        except OSError:
            _close(caller)
            return
        callee.settimeout(None)
        connections = {caller, callee}
        self.open_by_line[line.name] |= connections
        to_callee = spawn(
            self._copy,
            caller,
            callee,
            line.name,
            lambda: self.cuts.silent_to,
        )
        from_callee = spawn(
            self._copy,
            callee,
            caller,
            line.name,
            lambda: self.cuts.silent_from,
        )
        joinall([to_callee, from_callee])
        self.open_by_line[line.name] -= connections

    def _wait_for_line(
        self, name: str, silent_lines: Callable[[], tuple[str, ...]]
    ) -> None:
        """Wait for the delay of a line, and while it is silent one way."""
        delay_ms = self.cuts.delay_ms_by_line.get(name, self.cuts.delay_ms)
        sleep(delay_ms / MILLISECONDS_PER_SECOND)
        while name in silent_lines():
            sleep(SILENT_POLL_SECONDS)

    def _copy(
        self,
        source: socket.socket,
        destination: socket.socket,
        name: str,
        silent_lines: Callable[[], tuple[str, ...]],
    ) -> None:
        # Either side may be reset at any time; both are closed below.
        with suppress(OSError):
            while piece := source.recv(RECEIVE_BYTES):
                self._wait_for_line(name, silent_lines)
                destination.sendall(piece)
        _close(source)
        _close(destination)


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of an `ip:port` text."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _close(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
