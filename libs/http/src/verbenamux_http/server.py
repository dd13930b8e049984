"""A listener for callers: one task per connection."""

import socket as native_socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from typing import Any

from gevent import Timeout, get_hub, getcurrent, sleep, socket
from gevent.event import Event
from gevent.server import StreamServer

from verbenamux_http.close_watch import CloseWatch, has_closed, peek
from verbenamux_http.edge_memory import GAVE_WAY, EdgeMemory, NoRoomError
from verbenamux_http.errors import (
    AnswerStartedError,
    CallerDisconnected,
    ListenerStopping,
    RequestError,
)
from verbenamux_http.event_loop import poll_event_loop
from verbenamux_http.headers import Headers
from verbenamux_http.parsing import Request, RequestParser, SizeLimits

RECEIVE_BYTES = 65536
# How long a caller may keep sending after its last answer, before the reset.
LINGER_TIMEOUT = timedelta(milliseconds=500)
# How long a caller may accept no bytes before it counts as disconnected.
WRITE_STALL_TIMEOUT = timedelta(seconds=5)
# Memory for callers' requests, and connections, of a process that states no
# limits: sixteen of the largest bodies by default.
DEFAULT_EDGE_BYTES = 64 * 1024 * 1024
DEFAULT_CONNECTIONS = 8192
# An answer up to this size is written with its head.
MAX_JOINED_BODY_BYTES = 65536
# How many times the last open requests are interrupted as the process ends.
MAX_INTERRUPTS = 5
REQUEST_TIMEOUT = 408
BAD_GATEWAY = 502
UNAVAILABLE = 503
REASON_BY_STATUS = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
# Makes a close reset the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(frozen=True, slots=True)
class EdgeLimits:
    """What a caller may send, and how long it may take or be idle."""

    sizes: SizeLimits
    header_timeout: timedelta
    idle_timeout: timedelta
    connections: int = DEFAULT_CONNECTIONS


class Reply:
    """The answer to one request, written as it becomes available.

    Raises CallerDisconnected when the caller accepts no more bytes, and
    AnswerStartedError when a head would follow another one.
    """

    def __init__(
        self,
        opened: socket.socket,
        may_keep_connection: Callable[[], bool],
        before_whole: Callable[[], None],
        accepts_chunks: bool = True,
    ) -> None:
        """Prepare an answer; nothing is written yet.

        `before_whole` is called before a whole answer is written. Without
        chunks a streamed answer ends with the connection.
        """
        self.is_started = False
        self.is_complete = False
        self._socket = opened
        self._may_keep_connection = may_keep_connection
        self._before_whole = before_whole
        self._accepts_chunks = accepts_chunks

    def check_connected(self) -> None:
        """Raise CallerDisconnected if the caller closed, even if not reported.

        A request may have been read together with its caller's close.
        """
        if has_closed(self._socket):
            raise CallerDisconnected('closed before')

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer.

        A `Content-Length` among the headers is replaced by the actual one.
        """
        framed = headers.replaced((('Content-Length', str(len(body))),))
        self._before_whole()
        head = self._encode_head(status, framed)
        if len(body) > MAX_JOINED_BODY_BYTES:
            self._write(head)
            self._write(body)
        else:
            self._write(head + body)
        self.is_complete = True

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed answer."""
        framed = headers.without(('Content-Length', 'Transfer-Encoding'))
        if self._accepts_chunks:
            framed = framed.replaced((('Transfer-Encoding', 'chunked'),))
        self._write(self._encode_head(status, framed))

    def send_piece(self, piece: bytes) -> None:
        """Write a piece of the body."""
        if self._accepts_chunks:
            piece = b'%x\r\n%b\r\n' % (len(piece), piece)
        self._write(piece)

    def finish(self) -> None:
        """Write the end of a streamed answer."""
        if self._accepts_chunks:
            self._write(b'0\r\n\r\n')
        self.is_complete = True

    def end(self) -> None:
        """Make a close show a truncated answer, where nothing else does.

        Without chunks only a reset shows the caller that pieces are missing.
        """
        is_broken_off = self.is_started and not self.is_complete
        if is_broken_off and not self._accepts_chunks:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        if self.is_started:
            raise AnswerStartedError(f'an answer with {status} inside another')
        self.is_started = True
        reason = REASON_BY_STATUS.get(status, 'Status')
        start = f'HTTP/1.1 {status} {reason}\r\n'.encode()
        keeps = self._may_keep_connection()
        closing = b'' if keeps else b'Connection: close\r\n'
        return b''.join((start, *headers.encoded(), closing, b'\r\n'))

    def _write(self, encoded: bytes) -> None:
        # Each send has the whole time limit, however long the answer is.
        unsent = memoryview(encoded)
        try:
            while unsent:
                unsent = unsent[self._socket.send(unsent) :]
        except OSError as error:
            raise CallerDisconnected(repr(error)) from error


Handler = Callable[[Request, Reply], None]
EncodeRefusal = Callable[[RequestError], tuple[Headers, bytes]]


@dataclass(frozen=True, slots=True)
class Callbacks:
    """What a listener needs from the program that uses it.

    `refuse` encodes the answer to refused bytes; `is_stopping` returns
    whether connections are to be closed after their answers; `report` gets
    what `handle` raised. All requests share `memory`.
    """

    handle: Handler
    refuse: EncodeRefusal
    limits: Callable[[], EdgeLimits]
    elapsed: Callable[[], timedelta]
    is_stopping: Callable[[], bool]
    report: Callable[[Exception], None]
    memory: EdgeMemory | None = None


class Listener:
    """Accepts callers from its start until it is stopped."""

    def __init__(
        self,
        listening: native_socket.socket,
        callbacks: Callbacks,
    ) -> None:
        """Take over a listening socket, whose callers wait for the start."""
        self._all_answered = Event()
        self._all_answered.set()
        self._callbacks = callbacks
        self._idle_by_socket: dict[socket.socket, _Caller] = {}
        self._busy_by_socket: dict[socket.socket, _Caller] = {}
        self._closed: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._memory = callbacks.memory or EdgeMemory(
            DEFAULT_EDGE_BYTES, callbacks.elapsed
        )
        self.turned_away_count = 0
        self._server = StreamServer(
            socket.socket(fileno=listening.detach()),
            self._serve,
        )

    def start(self) -> None:
        """Accept callers."""
        self._server.start()

    @property
    def active(self) -> int:
        """Return how many requests are arriving or being answered."""
        return len(self._busy_by_socket)

    def stop_accepting(self) -> None:
        """Accept the connections already established, then no more."""
        self._server.stop_accepting()
        # Callers that can't be accepted see a reset and connect elsewhere.
        with suppress(OSError):
            for accepted in iter(self._server.do_read, None):
                self._server.do_handle(*accepted)
        self._server.socket.close()
        # Connections only count as active once their tasks have started.
        sleep(0)

    def wait_answered(self, timeout: timedelta) -> bool:
        """Wait until no request is arriving or being answered.

        Return false when one still is after the timeout.
        """
        give_up_at = self._callbacks.elapsed() + timeout
        while self.active:
            remaining = give_up_at - self._callbacks.elapsed()
            if remaining <= timedelta():
                return False
            # Another request may begin before this task runs after the event.
            self._all_answered.wait(remaining.total_seconds())
        return True

    def close_idle(self) -> None:
        """Close connections on which no request is arriving or answered.

        One whose request has arrived, but was not read yet, is not idle.
        """
        for opened, caller in tuple(self._idle_by_socket.items()):
            if peek(opened) is None:
                self._closed.add(opened)
                # A disconnected caller has closed it already.
                with suppress(OSError):
                    opened.shutdown(socket.SHUT_RDWR)
            else:
                self._mark_busy(opened, caller)

    def finish(
        self, open_timeout: timedelta, answers_timeout: timedelta
    ) -> None:
        """Close idle connections, and wait until no request is open.

        After `open_timeout` each that still is gets its final answer, which
        callers have `answers_timeout` to read.
        """
        self.close_idle()
        if self.wait_answered(open_timeout):
            return
        for _ in range(MAX_INTERRUPTS):
            # After an interrupted request another one may begin.
            self.interrupt()
            if self.wait_answered(answers_timeout / MAX_INTERRUPTS):
                return

    def interrupt(self) -> None:
        """Raise ListenerStopping in the task of each open request.

        A request that is still arriving is refused as not run; one whose
        whole answer is being sent is not interrupted.
        """
        for caller in tuple(self._busy_by_socket.values()):
            if not caller.is_finishing:
                stopping = ListenerStopping('the gateway is stopping')
                _schedule_throw(caller.task, stopping)

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._open)

    def _serve(self, opened: socket.socket, _peer: Any) -> None:
        if not self._has_place():
            self.turned_away_count += 1
            opened.close()
            return
        self._open.add(opened)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = _Caller(
            opened,
            self._callbacks,
            self._memory,
            partial(self._close_at_once, opened),
        )
        try:
            self._answer_or_refuse(caller, opened)
        except (CallerDisconnected, ListenerStopping):
            opened.close()
        finally:
            self._idle_by_socket.pop(opened, None)
            self._closed.discard(opened)
            self._open.discard(opened)
            self._mark_done(opened)
            caller.close()
            opened.close()

    def _has_place(self) -> bool:
        """Return whether one more caller may connect.

        Others give way to it: one that has been idle for longest, else one
        whose request brought least lately.
        """
        if len(self._open) < self._callbacks.limits().connections:
            return True
        for opened in self._idle_by_socket:
            if opened not in self._closed and peek(opened) is None:
                self._closed.add(opened)
                self._close_at_once(opened)
                return True
        return self._memory.close_worst()

    def _close_at_once(self, opened: socket.socket) -> None:
        """Close a connection, whose task ends as it waits for bytes."""
        self._open.discard(opened)
        opened.close()

    def _answer_or_refuse(
        self,
        caller: '_Caller',
        opened: socket.socket,
    ) -> None:
        try:
            self._answer_all(caller, opened)
        except RequestError as error:
            caller.refuse(error)

    def _answer_all(self, caller: '_Caller', opened: socket.socket) -> None:
        keeps = True
        mark_busy = partial(self._handle_first_byte, opened, caller)
        while keeps:
            self._idle_by_socket[opened] = caller
            # Nothing here may hold the request while the next one is awaited.
            keeps = caller.answer(caller.read_request(mark_busy))
            self._mark_done(opened)

    def _handle_first_byte(
        self,
        opened: socket.socket,
        caller: '_Caller',
    ) -> None:
        if opened in self._closed:
            # A request in flight during the close must not be handled.
            raise CallerDisconnected('closed while idle')
        self._mark_busy(opened, caller)

    def _mark_busy(self, opened: socket.socket, caller: '_Caller') -> None:
        self._idle_by_socket.pop(opened, None)
        self._busy_by_socket[opened] = caller
        self._all_answered.clear()

    def _mark_done(self, opened: socket.socket) -> None:
        self._busy_by_socket.pop(opened, None)
        if not self._busy_by_socket:
            self._all_answered.set()


class _Caller:
    """One caller's connection."""

    def __init__(
        self,
        opened: socket.socket,
        callbacks: Callbacks,
        memory: EdgeMemory,
        leave: Callable[[], None],
    ) -> None:
        self.task = getcurrent()
        self.is_finishing = False
        self._memory = memory
        self._holding = memory.open(self._give_way, leave)
        self._is_receiving = False
        # The body of the request that is being answered.
        self._answering_bytes = 0
        self._socket = opened
        self._callbacks = callbacks
        self._parser = RequestParser(lambda: callbacks.limits().sizes)
        # The error in the bytes after the last whole request.
        self._malformed: RequestError | None = None

    def close(self) -> None:
        """Free the memory that the connection holds."""
        self._memory.close(self._holding)

    def read_request(self, on_first_byte: Callable[[], None]) -> Request:
        """Return the next request; raises RequestError or CallerDisconnected.

        All its headers must arrive within the header timeout, counted from
        their first byte; a body may pause for up to the idle timeout.
        """
        try:
            return self._read_request(on_first_byte)
        except ListenerStopping as stopping:
            raise RequestError(UNAVAILABLE, str(stopping)) from stopping

    def _read_request(self, on_first_byte: Callable[[], None]) -> Request:
        began_at: timedelta | None = None
        while not self._parser.complete:
            if self._malformed is not None:
                raise self._malformed
            if self._parser.is_in_message:
                # It may have begun in the same bytes as the previous request.
                on_first_byte()
                began_at = began_at or self._callbacks.elapsed()
            received = self._receive(self._receive_timeout(began_at))
            on_first_byte()
            began_at = began_at or self._callbacks.elapsed()
            self._feed(received)
        on_first_byte()
        request = self._parser.complete.popleft()
        if began_at is None:
            return request
        return replace(request, arriving=self._callbacks.elapsed() - began_at)

    def _receive_timeout(self, began_at: timedelta | None) -> timedelta:
        """Return the time for the next bytes; sends 100 Continue for a body."""
        is_body = self._parser.has_head and self._parser.is_in_message
        if is_body:
            self._send_continue()
        limits = self._callbacks.limits()
        if is_body or began_at is None:
            return limits.idle_timeout
        return began_at + limits.header_timeout - self._callbacks.elapsed()

    def answer(self, request: Request) -> bool:
        """Answer a request; return whether the connection is kept."""

        def may_keep_connection() -> bool:
            # An answer may begin before the process is told to stop, and
            # another request may have been read with this one.
            return request.keeps_connection and (
                bool(self._parser.complete) or not self._callbacks.is_stopping()
            )

        reply = Reply(
            self._socket,
            may_keep_connection,
            self._mark_finishing,
            request.accepts_chunks,
        )
        self._answering_bytes = len(request.body)
        self._settle()
        self._socket.settimeout(WRITE_STALL_TIMEOUT.total_seconds())
        disconnected = CallerDisconnected('closed while waiting')
        watch = CloseWatch(
            self._socket, partial(_schedule_throw, self.task, disconnected)
        )
        try:
            self._handle(request, reply)
        finally:
            watch.stop()
            reply.end()
            self._answering_bytes = 0
            self._settle()
        keeps = reply.is_complete and may_keep_connection()
        self.is_finishing = not keeps
        if reply.is_complete and request.keeps_connection and not keeps:
            # Closing with unread bytes resets the connection and may lose the
            # answer.
            self._linger()
        return keeps

    def _mark_finishing(self) -> None:
        self.is_finishing = True

    def _handle(self, request: Request, reply: Reply) -> None:
        """Run the handler; raises RequestError when it fails."""
        try:
            self._callbacks.handle(request, reply)
        except (CallerDisconnected, ListenerStopping):
            raise
        except Exception as error:
            self._callbacks.report(error)
            if not reply.is_started:
                raise RequestError(BAD_GATEWAY, 'internal error') from error

    def refuse(self, error: RequestError) -> None:
        """Answer bytes that are refused, and close without a reset."""
        if error.status is None:
            return
        headers, body = self._callbacks.refuse(error)
        reply = Reply(self._socket, _never, self._mark_finishing)
        try:
            reply.send(error.status, headers, body)
        except CallerDisconnected:
            return
        self._linger()

    def _feed(self, received: bytes) -> None:
        try:
            self._memory.take(self._holding, len(received))
        except NoRoomError as error:
            self._parser.drop()
            raise RequestError(UNAVAILABLE, str(error)) from error
        try:
            self._parser.feed(received)
        except RequestError as error:
            # Whole requests before the bad bytes are answered first.
            self._malformed = error
        self._settle()

    def _settle(self) -> None:
        """Tell the memory what is held by now."""
        parser = self._parser
        self._holding.is_unfinished = (
            parser.is_in_message and not parser.complete
        )
        self._holding.announced = parser.announced_bytes
        self._memory.settle(
            self._holding, parser.held_bytes + self._answering_bytes
        )

    def _give_way(self) -> None:
        """Drop the request that arrives; it is refused."""
        self._parser.drop()
        get_hub().loop.run_callback(self._refuse_receiving)

    def _refuse_receiving(self) -> None:
        # Bytes may have arrived meanwhile: taking them fails.
        if self._is_receiving and not self.task.dead:
            self.task.throw(RequestError(UNAVAILABLE, GAVE_WAY))

    def _send_continue(self) -> None:
        if self._parser.expects_continue:
            self._parser.expects_continue = False
            self._socket.sendall(CONTINUE)

    def _receive(self, timeout: timedelta) -> bytes:
        self._socket.settimeout(max(timeout.total_seconds(), 0))
        self._is_receiving = True
        try:
            received = self._socket.recv(RECEIVE_BYTES)
        except (TimeoutError, BlockingIOError) as error:
            status = REQUEST_TIMEOUT if self._parser.is_in_message else None
            raise RequestError(status, 'the request took too long') from error
        except OSError as error:
            raise CallerDisconnected(repr(error)) from error
        finally:
            self._is_receiving = False
        if not received:
            raise CallerDisconnected('closed')
        return received

    def _linger(self) -> None:
        with Timeout(LINGER_TIMEOUT.total_seconds(), exception=False):
            try:
                self._discard()
            except OSError:
                # A refused caller that has disconnected needs nothing more.
                return

    def _discard(self) -> None:
        self._socket.shutdown(socket.SHUT_WR)
        self._socket.settimeout(LINGER_TIMEOUT.total_seconds())
        while self._socket.recv(RECEIVE_BYTES):
            poll_event_loop()


def _never() -> bool:
    return False


def _schedule_throw(task: Any, error: Exception) -> None:
    get_hub().loop.run_callback(_throw_if_alive, task, error)


def _throw_if_alive(task: Any, error: Exception) -> None:
    if not task.dead:
        task.throw(error)
