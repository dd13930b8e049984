"""Client connections to targets: one request at a time, kept for reuse."""

import fcntl
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from io import BytesIO
from ipaddress import IPv4Address

from gevent import Greenlet, Timeout, socket, spawn
from gevent.event import Event

from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.event_loop import poll_event_loop
from verbenamux_http.headers import Headers, read_whole_number
from verbenamux_http.parsing import ResponseHead, ResponseParser

RECEIVE_BYTES = 65536
MAX_PORT = 65535
# Digits of a malformed port that an error shows.
MAX_PORT_DIGITS = 5
# A body up to this size fits the socket's buffer and needs no sender task.
MAX_INLINE_BODY_BYTES = 8192
# Used for a peer that states no idle limit of its own.
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=4)
# No idle connection is kept for longer, whatever its peer states.
MAX_IDLE_TIMEOUT = timedelta(minutes=1)
# Subtracted from a peer's stated idle limit, to allow for transit time.
IDLE_MARGIN = timedelta(milliseconds=900)
# A connection knows the ids of all its requests, and carries this many at most.
MAX_NAMED_REQUESTS = 256
# The kernel gives up on data that stays unacknowledged for this long.
ACKNOWLEDGEMENT_TIMEOUT = timedelta(seconds=3)
# All whole bodies that are being read hold this many bytes together: eight
# times a caller's largest request by default, a sixth of the memory of the
# smallest machine (200 MB), as an answer is copied once when it is sent.
BODY_MEMORY_BYTES = 32 * 1024 * 1024
# What each body may hold however much memory is in use: a page of the store.
RESERVED_BODY_BYTES = 1024 * 1024
# Linux: how many bytes of a connection the kernel has not sent yet.
SIOCOUTQNSD = 0x894B
# Makes a close discard such bytes and reset the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# How long the whole body of a call's answer may take: three times what a
# page of the store (1 MB) needs on the slowest link (5 Mbit/s).
BODY_TIMEOUT = timedelta(seconds=5)

Address = tuple[str, int]
Elapsed = Callable[[], timedelta]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is sent; answers name it by `request_id`, if it has one.

    No connection carries two requests of one id.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    request_id: str | None = None

    def encoded_head(self) -> bytes:
        """Return the request line and the headers."""
        start = f'{self.method} {self.target} HTTP/1.1\r\n'.encode('latin-1')
        return b''.join((start, *self.headers.encoded(), b'\r\n'))


def parse_address(text: str) -> Address:
    """Return the host and port of an `ip:port` text.

    Raises ValueError when the text is malformed.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'not an address: {text!r}')
    # `inet_aton` takes any text behind a space, and short forms of addresses.
    IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f'not a port: {port[:MAX_PORT_DIGITS]!r}')
    return host, int(port)


class BodyMemory:
    """Memory that bodies share while they are read.

    It limits each body too: an endless one fails, and the others go on.
    """

    def __init__(self, max_bytes: int = BODY_MEMORY_BYTES) -> None:
        """Start with all memory free."""
        self.held_bytes = 0
        self._max_bytes = max_bytes

    def reserve(
        self, so_far: int, more: int, reserved_bytes: int | None = None
    ) -> None:
        """Reserve memory for more bytes of a body that holds `so_far`.

        It may hold `reserved_bytes` however much memory is in use, by default
        RESERVED_BODY_BYTES. Raises ExchangeFailure when there is no memory,
        and reserves none then.
        """
        if reserved_bytes is None:
            reserved_bytes = RESERVED_BODY_BYTES
        is_large = so_far + more > reserved_bytes
        if is_large and self.held_bytes + more > self._max_bytes:
            raise ExchangeFailure(
                Fault.TOO_LARGE,
                f'no room for a body of over {so_far} bytes',
            )
        self.held_bytes += more

    def keep(self, size: int) -> None:
        """Count a body that was read and is still held."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Release the memory of a body of that size."""
        self.held_bytes -= size


@dataclass(frozen=True, slots=True)
class ReadContext:
    """What reading answers needs: a monotonic clock, memory for bodies."""

    elapsed: Elapsed
    body_memory: BodyMemory


def connect(
    address: Address,
    timeout: timedelta,
    context: ReadContext,
) -> 'Connection':
    """Open a connection; raises ExchangeFailure, with nothing sent."""
    if timeout <= timedelta():
        raise ExchangeFailure(Fault.UNSENT, 'no time left to connect')
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
    return Connection(opened, context)


def _establish(
    opened: socket.socket,
    address: Address,
    timeout: timedelta,
) -> None:
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        ACKNOWLEDGEMENT_TIMEOUT // timedelta(milliseconds=1),
    )
    opened.settimeout(timeout.total_seconds())
    opened.connect(address)
    opened.settimeout(None)


def _reset_if_unsent(opened: socket.socket) -> None:
    """Make a close reset the connection, if it has unsent bytes."""
    unsent_count = bytearray(struct.calcsize('i'))
    try:
        fcntl.ioctl(opened.fileno(), SIOCOUTQNSD, unsent_count)
        if any(unsent_count):
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
    except OSError:
        # It is broken, or the kernel can't say: a plain close must suffice.
        return


class Connection:
    """One connection to a peer."""

    def __init__(self, opened: socket.socket, context: ReadContext) -> None:
        """Take over an open socket."""
        self.idle_since = timedelta()
        self.max_idle = DEFAULT_IDLE_TIMEOUT
        self._socket = opened
        self._context = context
        # Hashes: an id may be as long as a caller's headers.
        self._carried_ids: set[int] = set()

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether a request of that id was sent here."""
        return request_id is not None and hash(request_id) in self._carried_ids

    def may_carry_more(self) -> bool:
        """Return whether another request may be sent here."""
        return len(self._carried_ids) < MAX_NAMED_REQUESTS

    def close(self) -> None:
        """Close the socket, which makes the peer drop its work."""
        self._socket.close()

    def abort(self) -> None:
        """Close the socket so that the peer is notified immediately.

        A close queues behind bytes that the peer does not read, a reset does
        not. Without such bytes a close is better: it is retransmitted when
        it is lost, and a reset is not.
        """
        if not self._socket.closed:
            _reset_if_unsent(self._socket)
        self._socket.close()

    def is_idle_and_open(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes."""
        try:
            self._socket.setblocking(False)
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._socket.setblocking(True)
            return True
        except OSError:
            return False
        return False

    def start(
        self,
        outgoing: Outgoing,
        timeout: timedelta = ACKNOWLEDGEMENT_TIMEOUT,
    ) -> 'Exchange':
        """Send a request; `timeout` is for all that precedes a long body.

        Raises ExchangeFailure: some bytes may have arrived. The connection
        is closed when this ends without an exchange.
        """
        if outgoing.request_id is not None:
            self._carried_ids.add(hash(outgoing.request_id))
        try:
            return Exchange(
                self,
                self._socket,
                self._context,
                outgoing,
                timeout,
            )
        except BaseException:
            self.abort()
            raise


class Exchange:
    """A request that was sent, and its answer as it arrives."""

    def __init__(
        self,
        connection: Connection,
        opened: socket.socket,
        context: ReadContext,
        outgoing: Outgoing,
        timeout: timedelta,
    ) -> None:
        """Send the request; a long body is sent while the answer is read."""
        self.connection = connection
        self._socket = opened
        self._context = context
        self._request_id = outgoing.request_id
        self._parser = ResponseParser()
        self._bytes_since_yield = 0
        self._may_be_reused = True
        self._sent = Event()
        self._sender: Greenlet | None = None
        self._send_error: OSError | None = None
        if len(outgoing.body) <= MAX_INLINE_BODY_BYTES:
            self._send(outgoing.encoded_head() + outgoing.body, timeout)
            self._sent.set()
        else:
            self._send(outgoing.encoded_head(), timeout)
            self._sender = spawn(self._send_body, outgoing.body)

    def skip_extra_answers(
        self, read_id: Callable[[ResponseHead], str | None]
    ) -> None:
        """Skip answers that name an earlier request of this connection.

        A peer may send an answer once more where the next one is due. Call
        it before the first read; `read_id` returns the id that a head names.
        A connection that carried such an answer is not kept.
        """

        def is_extra(head: ResponseHead) -> bool:
            named_id = read_id(head)
            is_own = named_id == self._request_id
            return not is_own and self.connection.has_carried(named_id)

        self._parser.is_extra = is_extra

    @property
    def extra_answers(self) -> int:
        """Return how many answers to earlier requests were skipped."""
        return self._parser.extra_answers

    def read_head(self, timeout: timedelta) -> ResponseHead:
        """Wait for the answer's head; raises ExchangeFailure.

        Bytes of an incomplete head do not extend the time.
        """
        deadline = self._context.elapsed() + timeout
        while self._parser.head is None:
            self._receive(deadline)
        return self._parser.head

    def read_piece(self, timeout: timedelta) -> bytes | None:
        """Wait for more of the body, and return all of it that was received.

        None is its end. Bytes that are not part of the body do not extend the
        time. Raises ExchangeFailure when the body is truncated.
        """
        deadline = self._context.elapsed() + timeout
        while not self._parser.pieces:
            if self._parser.is_complete:
                return None
            self._receive(deadline)
        return self._parser.take_body()

    def read_body(
        self,
        remaining: Callable[[], timedelta],
        reserved_bytes: int | None = None,
    ) -> bytes:
        """Return the whole body; raises ExchangeFailure.

        `remaining` returns the time for each piece; it has to reach zero.
        `reserved_bytes` is as for BodyMemory.reserve.
        """
        body = BytesIO()
        try:
            for piece in self._pieces(remaining):
                self._context.body_memory.reserve(
                    body.tell(), len(piece), reserved_bytes
                )
                body.write(piece)
        finally:
            self._context.body_memory.release(body.tell())
        return body.getvalue()

    def skip_body(self, timeout: timedelta, max_bytes: int) -> None:
        """Read the whole body and discard it.

        Raises ExchangeFailure when it takes longer or is larger.
        """
        deadline = self._context.elapsed() + timeout

        def remaining() -> timedelta:
            return deadline - self._context.elapsed()

        skipped = 0
        for piece in self._pieces(remaining):
            skipped += len(piece)
            if skipped > max_bytes:
                raise ExchangeFailure(
                    Fault.TOO_LARGE,
                    f'more than {max_bytes} bytes',
                )

    def forbid_reuse(self) -> None:
        """Let the connection carry no other request."""
        self._may_be_reused = False

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request.

        Not before the whole request was sent, and not when bytes follow
        the answer: they belong to no request.
        """
        head = self._parser.head
        if head is None or not self._parser.is_complete:
            return False
        if self.extra_answers or not self._may_be_reused:
            return False
        if not self.connection.may_carry_more():
            return False
        is_clean = self._sent.is_set() and not self._parser.has_surplus
        return is_clean and head.keeps_connection

    def stated_idle_timeout(self) -> timedelta:
        """Return how long the peer keeps the idle connection."""
        head = self._parser.head
        stated = head.headers.get('keep-alive') if head else None
        for parameter in (stated or '').split(','):
            name, _, seconds = parameter.strip().partition('=')
            limit = read_whole_number(seconds)
            if name.lower() == 'timeout' and limit is not None:
                return (
                    min(timedelta(seconds=limit), MAX_IDLE_TIMEOUT)
                    - IDLE_MARGIN
                )
        return DEFAULT_IDLE_TIMEOUT

    def close(self) -> None:
        """End the exchange at once."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self.connection.abort()

    def _pieces(self, remaining: Callable[[], timedelta]) -> Iterator[bytes]:
        piece = self.read_piece(remaining())
        while piece is not None:
            yield piece
            piece = self.read_piece(remaining())

    def _send(self, encoded: bytes, timeout: timedelta) -> None:
        seconds = timeout.total_seconds()
        try:
            self._socket.settimeout(max(seconds, 0))
            self._socket.sendall(encoded)
            self._socket.settimeout(None)
        except TimeoutError as error:
            raise ExchangeFailure(
                Fault.TIMED_OUT,
                f'not sent within {seconds} s',
            ) from error
        except OSError as error:
            raise ExchangeFailure(
                Fault.BROKEN,
                f'sending failed: {error!r}',
            ) from error

    def _send_body(self, body: bytes) -> None:
        try:
            self._socket.sendall(body)
        except BrokenPipeError:
            # Linux reports a reset this way if an orderly end precedes it:
            # the answer may be complete.
            return
        except OSError as error:
            # A socket reports an error once; to the reader it then looks like
            # an orderly end.
            self._send_error = error
            return
        self._sent.set()

    def _yield_to_other_tasks(self, received_bytes: int) -> None:
        """Yield now and then: with a fast peer this task never waits."""
        self._bytes_since_yield += received_bytes
        if self._bytes_since_yield >= RECEIVE_BYTES:
            self._bytes_since_yield = 0
            poll_event_loop()

    def _receive_within(self, seconds: float) -> bytes:
        if self._sender is None:
            self._socket.settimeout(seconds)
            return self._socket.recv(RECEIVE_BYTES)
        # The socket's own timeout would also end the sending of the body.
        with Timeout(seconds, TimeoutError(seconds)):
            received: bytes = self._socket.recv(RECEIVE_BYTES)
            return received

    def _receive(self, deadline: timedelta) -> None:
        seconds = (deadline - self._context.elapsed()).total_seconds()
        if seconds <= 0:
            raise ExchangeFailure(Fault.TIMED_OUT, 'no time left to wait')
        try:
            received = self._receive_within(seconds)
        except OSError as error:
            raise _receive_failure(error, seconds) from error
        if received:
            self._parser.feed(received)
            self._yield_to_other_tasks(len(received))
            return
        self._end_with_connection()

    def _end_with_connection(self) -> None:
        """End the answer with its connection, if that ended in good order."""
        if self._send_error is not None:
            raise _broken_connection(self._send_error)
        self._parser.finish()
        if not self._parser.is_complete:
            raise ExchangeFailure(
                Fault.BROKEN, 'closed before the answer ended'
            )


def _receive_failure(
    error: OSError,
    seconds: float,
) -> ExchangeFailure:
    if isinstance(error, TimeoutError):
        return ExchangeFailure(Fault.TIMED_OUT, f'no answer for {seconds} s')
    return _broken_connection(error)


def _broken_connection(error: OSError) -> ExchangeFailure:
    return ExchangeFailure(Fault.BROKEN, f'connection lost: {error!r}')


class ConnectionPool:
    """Idle connections by address, newest first."""

    def __init__(
        self,
        elapsed: Elapsed,
        body_memory: BodyMemory | None = None,
    ) -> None:
        """Start without connections; `elapsed` is a monotonic clock."""
        self.elapsed = elapsed
        self.body_memory = body_memory or BodyMemory()
        self._read_context = ReadContext(elapsed, self.body_memory)
        self._idle_by_address: dict[Address, deque[Connection]] = {}

    def take(
        self,
        address: Address,
        connect_timeout: timedelta,
        max_idle: timedelta | None = None,
        request_id: str | None = None,
    ) -> Connection:
        """Return an idle connection that still works, or a new one.

        `max_idle` skips connections that were idle for longer, `request_id`
        those that carried it: an earlier answer to it may come once more there.
        Raises ExchangeFailure, with nothing sent.
        """
        idle = self._idle_by_address.get(address, deque())
        while idle:
            connection = idle.pop()
            idle_for = self.elapsed() - connection.idle_since
            limit = connection.max_idle
            if max_idle is not None:
                limit = min(limit, max_idle)
            is_usable = idle_for < limit and connection.is_idle_and_open()
            if is_usable and not connection.has_carried(request_id):
                return connection
            connection.close()
        return connect(address, connect_timeout, self._read_context)

    def return_connection(self, address: Address, exchange: Exchange) -> None:
        """Keep the connection of a finished exchange, if it is reusable."""
        if not exchange.is_reusable():
            exchange.close()
            return
        exchange.connection.max_idle = exchange.stated_idle_timeout()
        self.keep(address, exchange.connection)

    def keep(self, address: Address, connection: Connection) -> None:
        """Keep an open connection that carried no request lately."""
        connection.idle_since = self.elapsed()
        self._idle_by_address.setdefault(address, deque()).append(connection)

    def idle_count(self) -> int:
        """Return how many idle connections are kept."""
        return sum(map(len, self._idle_by_address.values()))

    def drop(self, address: Address) -> None:
        """Close every idle connection to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def drop_idle(self) -> None:
        """Close connections whose idle timeout expired."""
        now = self.elapsed()
        for address, idle in list(self._idle_by_address.items()):
            while idle and now - idle[0].idle_since >= idle[0].max_idle:
                idle.popleft().close()
            if not idle:
                self._idle_by_address.pop(address)


def call(
    pool: ConnectionPool,
    address: Address,
    outgoing: Outgoing,
    timeout: timedelta,
    *,
    body_time: timedelta = BODY_TIMEOUT,
    max_idle: timedelta | None = None,
) -> tuple[ResponseHead, bytes]:
    """Make one call within a time limit and return its whole answer.

    `timeout` is for the head, then for each piece of the body, and
    `body_time` for the whole body; `max_idle` skips connections that were
    idle for longer. Raises ExchangeFailure. The peer may have acted
    unless it is UNSENT.
    """
    connection = pool.take(address, timeout, max_idle)
    exchange = connection.start(outgoing, timeout)
    try:
        head = exchange.read_head(timeout)
        body_deadline = pool.elapsed() + body_time
        body = exchange.read_body(
            lambda: min(timeout, body_deadline - pool.elapsed()),
        )
    except BaseException:
        exchange.close()
        raise
    pool.return_connection(address, exchange)
    return head, body
