"""Connections to targets: one request at a time on each, kept for reuse."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from gevent import Greenlet, socket, spawn
from gevent.event import Event

from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.headers import Headers
from verbenamux_http.parsing import ResponseHead, ResponseParser

RECEIVE_BYTES = 65536
# A body up to this many bytes fits the socket's buffer and needs no task.
DIRECT_BODY_BYTES = 8192
# Idle time at a peer that states no limit of its own.
DEFAULT_IDLE = timedelta(seconds=4)
# What a peer's stated idle limit is shortened by, for time on the way.
IDLE_MARGIN = timedelta(milliseconds=900)
# The kernel gives up on data that stays unacknowledged for this long.
UNACKNOWLEDGED_MOST = timedelta(seconds=3)

Address = tuple[str, int]
Elapsed = Callable[[], timedelta]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is sent."""

    method: str
    target: str
    headers: Headers
    body: bytes = b''

    def encoded_head(self) -> bytes:
        """Return the request line and the headers."""
        start = f'{self.method} {self.target} HTTP/1.1\r\n'.encode('latin-1')
        return b''.join((start, *self.headers.encoded(), b'\r\n'))


def parse_address(text: str) -> Address:
    """Return the host and port of an `ip:port` text.

    Raises ValueError when the text is none.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'not an address: {text!r}')
    socket.inet_aton(host)
    return host, int(port)


def connect(address: Address, timeout: timedelta) -> 'Connection':
    """Open a connection; raises ExchangeFailure, with nothing sent."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _establish(opened, address, timeout)
    except OSError as error:
        opened.close()
        raise ExchangeFailure(
            Fault.UNSENT,
            f'no connection to {address[0]}:{address[1]}: {error!r}',
        ) from error
    except BaseException:
        opened.close()
        raise
    return Connection(opened)


def _establish(
    opened: socket.socket,
    address: Address,
    timeout: timedelta,
) -> None:
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MOST // timedelta(milliseconds=1),
    )
    opened.settimeout(timeout.total_seconds())
    opened.connect(address)
    opened.settimeout(None)


class Connection:
    """One connection to a peer."""

    def __init__(self, opened: socket.socket) -> None:
        """Take over an open socket."""
        self.idle_since = timedelta()
        self.idle_most = DEFAULT_IDLE
        self._socket = opened

    def close(self) -> None:
        """Close the socket, which tells the peer to drop its work."""
        self._socket.close()

    def is_quiet(self) -> bool:
        """Tell whether an idle connection is still open and in order."""
        try:
            self._socket.setblocking(False)
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._socket.setblocking(True)
            return True
        except OSError:
            return False
        return False

    def start(self, outgoing: Outgoing) -> 'Exchange':
        """Send a request.

        Raises ExchangeFailure; BROKEN when bytes may have arrived.
        """
        return Exchange(self, self._socket, outgoing)


class Exchange:
    """A request that was sent, and its answer as it comes in."""

    def __init__(
        self,
        connection: Connection,
        opened: socket.socket,
        outgoing: Outgoing,
    ) -> None:
        """Send the request; a long body goes out beside the answer."""
        self.connection = connection
        self._socket = opened
        self._parser = ResponseParser()
        self._sent = Event()
        self._sender: Greenlet | None = None
        if len(outgoing.body) <= DIRECT_BODY_BYTES:
            self._send(outgoing.encoded_head() + outgoing.body)
            self._sent.set()
        else:
            self._send(outgoing.encoded_head())
            self._sender = spawn(self._send_body, outgoing.body)

    def read_head(self, timeout: timedelta | None) -> ResponseHead:
        """Wait for the answer's head; raises ExchangeFailure."""
        while self._parser.head is None:
            self._receive(timeout)
        return self._parser.head

    def read_piece(self, timeout: timedelta | None) -> bytes | None:
        """Wait for more of the body; None is its end.

        Raises ExchangeFailure when the body breaks off.
        """
        while not self._parser.pieces:
            if self._parser.is_complete:
                return None
            self._receive(timeout)
        return self._parser.pieces.popleft()

    def read_body(self, remaining: Callable[[], timedelta]) -> bytes:
        """Return the whole body; raises ExchangeFailure."""
        return b''.join(self._pieces(remaining))

    def is_reusable(self) -> bool:
        """Tell whether the connection may carry another request.

        Not before the whole request went out, and not when bytes follow
        the answer: they belong to no request.
        """
        head = self._parser.head
        if head is None or not self._parser.is_complete:
            return False
        is_clean = self._sent.is_set() and not self._parser.has_surplus
        return is_clean and head.keeps_connection

    def stated_idle(self) -> timedelta:
        """Return for how long the peer keeps the idle connection."""
        head = self._parser.head
        stated = head.headers.get('keep-alive') if head else None
        for parameter in (stated or '').split(','):
            name, _, seconds = parameter.strip().partition('=')
            if name.lower() == 'timeout' and seconds.isdigit():
                return timedelta(seconds=int(seconds)) - IDLE_MARGIN
        return DEFAULT_IDLE

    def close(self) -> None:
        """End the exchange at once."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self.connection.close()

    def _pieces(self, remaining: Callable[[], timedelta]) -> Iterator[bytes]:
        piece = self.read_piece(remaining())
        while piece is not None:
            yield piece
            piece = self.read_piece(remaining())

    def _send(self, encoded: bytes) -> None:
        try:
            self._socket.sendall(encoded)
        except OSError as error:
            raise ExchangeFailure(
                Fault.BROKEN,
                f'sending failed: {error!r}',
            ) from error

    def _send_body(self, body: bytes) -> None:
        try:
            self._socket.sendall(body)
        except OSError:
            # The reader of the answer sees the same broken connection.
            return
        self._sent.set()

    def _receive(self, timeout: timedelta | None) -> None:
        seconds = None if timeout is None else timeout.total_seconds()
        if seconds is not None and seconds <= 0:
            raise ExchangeFailure(Fault.TIMED_OUT, 'no time left to wait')
        self._socket.settimeout(seconds)
        try:
            received = self._socket.recv(RECEIVE_BYTES)
        except OSError as error:
            raise _receive_failure(error, seconds) from error
        if received:
            self._parser.feed(received)
            return
        self._parser.finish()
        if not self._parser.is_complete:
            raise ExchangeFailure(
                Fault.BROKEN, 'closed before the answer ended'
            )


def _receive_failure(
    error: OSError,
    seconds: float | None,
) -> ExchangeFailure:
    if isinstance(error, TimeoutError):
        return ExchangeFailure(Fault.TIMED_OUT, f'no answer for {seconds} s')
    return ExchangeFailure(Fault.BROKEN, f'connection lost: {error!r}')


class ConnectionPool:
    """Idle connections by address, newest first."""

    def __init__(self, elapsed: Elapsed) -> None:
        """Start without connections; `elapsed` is a monotonic clock."""
        self._elapsed = elapsed
        self._idle_by_address: dict[Address, deque[Connection]] = {}

    def take(
        self,
        address: Address,
        connect_timeout: timedelta,
        idle_most: timedelta | None = None,
    ) -> Connection:
        """Return an idle connection that still works, or a new one.

        `idle_most` passes over connections that were idle for longer.
        Raises ExchangeFailure, with nothing sent.
        """
        idle = self._idle_by_address.get(address, deque())
        while idle:
            connection = idle.pop()
            idle_for = self._elapsed() - connection.idle_since
            limit = connection.idle_most
            if idle_most is not None:
                limit = min(limit, idle_most)
            if idle_for < limit and connection.is_quiet():
                return connection
            connection.close()
        return connect(address, connect_timeout)

    def give_back(self, address: Address, exchange: Exchange) -> None:
        """Keep the connection of a finished exchange, if it is in order."""
        if not exchange.is_reusable():
            exchange.close()
            return
        connection = exchange.connection
        connection.idle_since = self._elapsed()
        connection.idle_most = exchange.stated_idle()
        self._idle_by_address.setdefault(address, deque()).append(connection)

    def idle_count(self) -> int:
        """Return how many idle connections are kept."""
        return sum(map(len, self._idle_by_address.values()))

    def drop(self, address: Address) -> None:
        """Close every idle connection to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def drop_idle(self) -> None:
        """Close connections whose idle time ran out."""
        now = self._elapsed()
        for address, idle in list(self._idle_by_address.items()):
            while idle and now - idle[0].idle_since >= idle[0].idle_most:
                idle.popleft().close()
            if not idle:
                self._idle_by_address.pop(address)


def call(
    pool: ConnectionPool,
    address: Address,
    outgoing: Outgoing,
    timeout: timedelta,
    idle_most: timedelta | None = None,
) -> tuple[ResponseHead, bytes]:
    """Make one bounded call and return its whole answer.

    `idle_most` passes over connections that were idle for longer. Raises
    ExchangeFailure. The peer may have acted unless it is UNSENT.
    """
    connection = pool.take(address, timeout, idle_most)
    try:
        exchange = connection.start(outgoing)
    except ExchangeFailure:
        connection.close()
        raise
    try:
        head = exchange.read_head(timeout)
        body = exchange.read_body(lambda: timeout)
    except BaseException:
        exchange.close()
        raise
    pool.give_back(address, exchange)
    return head, body
