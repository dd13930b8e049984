"""Connections to targets that answer early, twice, partly or not at all."""

import contextlib
import select
import socket as threads
from dataclasses import replace
from datetime import timedelta
from threading import Thread

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from connection_ends import end, end_and_reset, reset
from verbenamux_contracts.clock import ManualClock, SystemClock
from verbenamux_http import client
from verbenamux_http.client import (
    BodyMemory,
    ConnectionPool,
    Outgoing,
    call,
    parse_address,
)
from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.headers import Headers
from verbenamux_http.parsing import RequestParser, SizeLimits

SOON = timedelta(milliseconds=300)
HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
MEMORY_BYTES = 4_000_000
LONG_BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n'
GET = Outgoing('GET', '/', Headers((('Host', 'h'),)))


class Target:
    """A server that answers each request with the next scripted bytes."""

    def __init__(self, *script, closes=False):
        self.script = list(script)
        self.closes = closes
        self.connections = 0
        self.server = StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.address = self.server.address

    def serve(self, opened, _peer):
        self.connections += 1
        while self.script and opened.recv(65536):
            opened.sendall(self.script.pop(0))
            if self.closes:
                opened.close()
                return


class EndlessTarget(Target):
    """A server that sends a start, then repeats a piece forever."""

    def __init__(self, start, piece, pause):
        self.start = start
        self.piece = piece
        self.pause = pause
        self.was_closed = Event()
        super().__init__(start)

    def serve(self, opened, _peer):
        opened.recv(65536)
        with contextlib.suppress(OSError):
            opened.sendall(self.start)
            while True:
                gevent.sleep(self.pause)
                opened.sendall(self.piece)
        self.was_closed.set()


@pytest.fixture
def pool():
    return ConnectionPool(SystemClock().elapsed)


def test_a_connection_is_reused(pool):
    target = Target(HELLO, HELLO)
    for _ in range(2):
        assert call(pool, target.address, GET, SOON)[1] == b'hello'
    assert target.connections == 1


@pytest.mark.parametrize(
    'answer',
    [
        HELLO + HELLO,
        HELLO.replace(b'200 OK', b'200 OK\r\nConnection: close'),
        HELLO + b'surplus',
    ],
)
def test_an_unusable_connection_is_not_reused(pool, answer):
    target = Target(answer, HELLO)
    for _ in range(2):
        assert call(pool, target.address, GET, SOON)[1] == b'hello'
    assert target.connections == 2


def test_a_connection_closed_while_idle_is_not_reused(pool):
    target = Target(HELLO, HELLO)
    call(pool, target.address, GET, SOON)
    idle_connection = pool._idle_by_address[target.address][0]
    idle_connection._socket.close()
    assert call(pool, target.address, GET, SOON)[1] == b'hello'


def test_idle_connections_are_closed_after_their_timeout():
    clock = ManualClock()
    pool = ConnectionPool(clock.elapsed)
    target = Target(HELLO.replace(b'OK', b'OK\r\nKeep-Alive: timeout=2'))
    call(pool, target.address, GET, SOON)
    clock.advance(timedelta(seconds=1))
    pool.drop_idle()
    assert pool._idle_by_address
    clock.advance(timedelta(milliseconds=200))
    pool.drop_idle()
    assert not pool._idle_by_address


@pytest.mark.parametrize(
    ('script', 'fault'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello', Fault.BROKEN),
        (b'HTTP/1.1 200 OK\r\nContent-Le', Fault.BROKEN),
        (b'garbage\r\n\r\n', Fault.MALFORMED),
        (HELLO.replace(b'200', b'000') + HELLO, Fault.MALFORMED),
    ],
)
def test_incomplete_answers_are_typed_failures(pool, script, fault):
    target = Target(script, closes=True)
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, target.address, GET, SOON)
    assert raised.value.fault is fault


def test_a_missing_answer_is_a_timeout(pool):
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, Target(b'', HELLO).address, GET, SOON)
    assert raised.value.fault is Fault.TIMED_OUT


@pytest.mark.parametrize('late_ms', [0, 1])
def test_no_time_left_to_connect_means_nothing_was_sent(pool, late_ms):
    """A socket accepts no negative timeout: it raised ValueError."""
    with pytest.raises(ExchangeFailure) as raised:
        pool.take(('127.0.0.1', 9), timedelta(milliseconds=-late_ms))
    assert raised.value.fault is Fault.UNSENT


def test_a_refused_connection_means_nothing_was_sent(pool):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = unused.getsockname()
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, address, GET, SOON)
    assert raised.value.fault is Fault.UNSENT


def test_no_reuse_when_an_answer_precedes_the_end_of_a_long_body(pool):
    """The rest of the body must never look like another request."""
    body = b'x' * 4_000_000
    length = (('Host', 'h'), ('Content-Length', str(len(body))))
    target = Target(HELLO)
    outgoing = Outgoing('POST', '/', Headers(length), body)
    assert call(pool, target.address, outgoing, SOON)[1] == b'hello'
    gevent.sleep(0)
    assert not pool._idle_by_address.get(target.address)


def test_a_read_timeout_does_not_end_the_sending_of_a_long_body(pool):
    """The read timeout also ended the sending, so no answer could arrive.

    A reader that kept waiting, as for a busy target, never got one.
    """
    body = b'x' * 8_000_000

    def read_late(opened, _peer):
        gevent.sleep(0.3)
        received = 0
        while received < len(body):
            received += len(opened.recv(1_000_000)) or len(body)
        opened.sendall(HELLO)

    idle_connection = StreamServer(('127.0.0.1', 0), read_late)
    idle_connection.start()
    headers = Headers((('Host', 'h'), ('Content-Length', str(len(body)))))
    exchange = pool.take(idle_connection.address, SOON).start(
        Outgoing('POST', '/', headers, body),
    )
    with pytest.raises(ExchangeFailure):
        exchange.read_head(timedelta(milliseconds=100))
    assert exchange.read_head(timedelta(seconds=5)).status == 200


@pytest.mark.parametrize(
    ('start', 'useless_bytes'),
    [
        (b'HTTP/1.1 200 OK\r\nA: ', b'x'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED + b'5;a=', b'x'),
    ],
    ids=['head', 'interim', 'extension'],
)
def test_bytes_without_progress_do_not_extend_the_timeout(
    pool,
    start,
    useless_bytes,
):
    target = EndlessTarget(start, useless_bytes, 0.05)
    with (
        gevent.Timeout(2),
        pytest.raises(ExchangeFailure) as raised,
    ):
        call(pool, target.address, GET, SOON)
    assert raised.value.fault is Fault.TIMED_OUT
    assert target.was_closed.wait(1)


def test_a_call_ends_although_its_body_is_endless(pool):
    target = EndlessTarget(LONG_BODY, b'x', 0.05)
    with (
        gevent.Timeout(2),
        pytest.raises(ExchangeFailure) as raised,
    ):
        call(pool, target.address, GET, SOON, body_time=2 * SOON)
    assert raised.value.fault is Fault.TIMED_OUT
    assert target.was_closed.wait(1)


def test_a_body_may_take_longer_than_the_timeout_of_a_piece(pool):
    """A page of the store on a slow link: no pause, but a long transfer."""
    target = EndlessTarget(
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n',
        b'x',
        0.05,
    )
    assert call(pool, target.address, GET, SOON)[1] == b'x' * 10


class UnreadTarget:
    """A target that accepts a connection and reads nothing on its own."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.address = self.listener.getsockname()

    def accept(self):
        self.opened, _ = self.listener.accept()
        return self.opened

    def sees_a_close(self):
        """Return whether a close or reset has arrived, with nothing read."""
        poller = select.poll()
        poller.register(self.opened.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))


def post(size):
    length = (('Host', 'h'), ('Content-Length', str(size)))
    return Outgoing('POST', '/', Headers(length), b'x' * size)


@pytest.mark.parametrize('size', [0, 8000, 200_000, 2_000_000, 8_000_000])
def test_a_target_sees_a_close_before_it_read_the_request(pool, size):
    """A run has to end soon after its caller left, whatever is in flight."""
    target = UnreadTarget()
    connection = pool.take(target.address, SOON)
    target.accept()
    exchange = connection.start(post(size))
    gevent.sleep(0.05)
    assert not target.sees_a_close()
    exchange.close()
    gevent.sleep(0.05)
    assert target.sees_a_close()


def test_a_request_that_was_read_is_closed_without_a_reset(pool):
    """A reset is sent only once: a lost one notifies nobody."""
    target = UnreadTarget()
    connection = pool.take(target.address, SOON)
    opened = target.accept()
    exchange = connection.start(post(4))
    while opened.recv(65536)[-4:] != b'xxxx':
        gevent.sleep(0)
    exchange.close()
    assert opened.recv(1) == b''


def test_a_long_body_is_sent_on_after_timeouts_of_its_answer(pool):
    """A timeout for the answer does not apply to the body being sent."""
    target = UnreadTarget()
    size = 8_000_000
    connection = pool.take(target.address, SOON)
    opened = target.accept()
    exchange = connection.start(post(size))
    for _ in range(3):
        with pytest.raises(ExchangeFailure):
            exchange.read_head(timedelta(milliseconds=30))
    parser = RequestParser(lambda: SizeLimits(4096, size))
    with gevent.Timeout(5):
        while not parser.complete:
            parser.feed(opened.recv(65536))
    assert len(parser.complete[0].body) == size
    opened.sendall(HELLO)
    assert exchange.read_head(SOON).status == 200


def test_a_request_that_can_not_be_sent_times_out(pool):
    """Its head exceeds what the target's buffers accept."""
    target = UnreadTarget()
    connection = pool.take(target.address, SOON)
    target.accept()
    fields = (('Host', 'h'), ('Long', 'x' * 8_000_000))
    with gevent.Timeout(2), pytest.raises(ExchangeFailure) as raised:
        connection.start(Outgoing('GET', '/', Headers(fields)), SOON)
    assert raised.value.fault is Fault.TIMED_OUT
    gevent.sleep(0.05)
    assert target.sees_a_close()


UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nhello'


def wait_for_acknowledgements(_opened):
    gevent.sleep(2 * SOON.total_seconds())


def read_early_answer(pool, finish):
    """Return the body of an answer that ends while the upload is written.

    The sender of the upload notices the end before the answer is read.
    """
    target = UnreadTarget()
    connection = pool.take(target.address, SOON)
    opened = target.accept()
    exchange = connection.start(post(8_000_000))
    gevent.sleep(0.05)
    opened.sendall(UNFRAMED)
    finish(opened)
    gevent.sleep(0.05)
    return exchange.read_body(lambda: SOON)


@pytest.mark.parametrize(
    'break_off', [reset, socket.socket.close, wait_for_acknowledgements]
)
def test_an_answer_cut_during_its_upload_looks_complete(
    pool, break_off, monkeypatch
):
    """Issue 55: the sender took the socket's error, the reader saw an end."""
    monkeypatch.setattr(client, 'ACKNOWLEDGEMENT_TIMEOUT', SOON)
    with pytest.raises(ExchangeFailure) as raised:
        read_early_answer(pool, break_off)
    assert raised.value.fault is Fault.BROKEN


@pytest.mark.parametrize('finish', [end, end_and_reset])
def test_an_answer_that_ends_during_its_upload_is_whole(pool, finish):
    assert read_early_answer(pool, finish) == b'hello'


def test_a_cancelled_send_closes_its_connection(pool):
    """The caller may disconnect while its request is still being sent."""
    target = UnreadTarget()
    connection = pool.take(target.address, SOON)
    target.accept()
    fields = (('Host', 'h'), ('Long', 'x' * 8_000_000))
    outgoing = Outgoing('GET', '/', Headers(fields))
    starting = gevent.spawn(connection.start, outgoing)
    gevent.sleep(0.05)
    starting.kill()
    gevent.sleep(0.05)
    assert target.sees_a_close()


def test_an_endless_body_fails_at_the_memory_limit():
    pool = ConnectionPool(SystemClock().elapsed, BodyMemory(MEMORY_BYTES))
    target = EndlessTarget(LONG_BODY, b'x' * 65536, 0.001)
    with gevent.Timeout(3), pytest.raises(ExchangeFailure) as raised:
        call(pool, target.address, GET, SOON)
    assert raised.value.fault is Fault.TOO_LARGE
    assert target.was_closed.wait(1)


def flood(listener):
    """Send small chunks as fast as they are accepted, from a thread."""
    opened, _ = listener.accept()
    with opened, contextlib.suppress(OSError):
        opened.sendall(CHUNKED)
        while True:
            opened.sendall(b'a\r\n0123456789\r\n' * 10_000)


def test_other_tasks_run_beside_a_peer_faster_than_the_reader(pool):
    listener = threads.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    Thread(target=flood, args=(listener,), daemon=True).start()
    connection = pool.take(listener.getsockname(), SOON)
    exchange = connection.start(GET)
    exchange.read_head(SOON)
    turns = []

    def work():
        while True:
            turns.append(True)
            gevent.sleep(0)

    other = gevent.spawn(work)
    # About 100 receives; by then the peer has always sent more.
    unread_bytes = 4_000_000
    while unread_bytes > 0:
        unread_bytes -= len(exchange.read_piece(SOON))
    other.kill()
    exchange.close()
    listener.close()
    assert len(turns) > 20


def test_bodies_share_memory_beyond_their_reserved_bytes(monkeypatch):
    """An endless answer of one target fails no other target's answer."""
    monkeypatch.setattr(client, 'RESERVED_BODY_BYTES', 100)
    body_memory = BodyMemory(MEMORY_BYTES)
    body_memory.reserve(0, MEMORY_BYTES)
    body_memory.reserve(0, 100)
    with pytest.raises(ExchangeFailure):
        body_memory.reserve(100, 1)
    body_memory.release(MEMORY_BYTES)
    body_memory.reserve(100, 1)


def test_memory_is_released_with_each_body():
    body_memory = BodyMemory(MEMORY_BYTES)
    pool = ConnectionPool(SystemClock().elapsed, body_memory)
    target = Target(HELLO, HELLO[:-1], HELLO)
    for answer in (b'hello', None, b'hello'):
        if answer is None:
            with pytest.raises(ExchangeFailure):
                call(pool, target.address, GET, SOON)
        else:
            assert call(pool, target.address, GET, SOON)[1] == answer
        assert not body_memory.held_bytes


def test_a_large_body_is_an_answer(pool):
    """A plain service's body may be several times a caller's largest."""
    body = b'x' * 16_000_000
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    target = Target(head + body)
    assert call(pool, target.address, GET, SOON)[1] == body


@pytest.mark.parametrize('text', ['', 'a', 'host:80', '1.2.3.4', '1.2.3:x'])
def test_bad_addresses_are_refused(text):
    with pytest.raises((ValueError, OSError)):
        parse_address(text)


def test_a_connection_carries_each_request_id_once(pool):
    """Issue 47, TWICE: a copy of its refusal was taken for its answer."""
    target = Target(HELLO, HELLO, HELLO)
    one, two = (replace(GET, request_id=name) for name in ('one', 'two'))
    for outgoing in (one, two, one):
        connection = pool.take(
            target.address, SOON, request_id=outgoing.request_id
        )
        exchange = connection.start(outgoing)
        exchange.read_body(lambda: SOON)
        pool.return_connection(target.address, exchange)
    assert target.connections == 2


def test_a_connection_carries_a_bounded_number_of_requests(pool, monkeypatch):
    monkeypatch.setattr(client, 'MAX_NAMED_REQUESTS', 2)
    target = Target(HELLO, HELLO, HELLO)
    for number in range(3):
        outgoing = replace(GET, request_id=str(number))
        call(pool, target.address, outgoing, SOON)
    assert target.connections == 2
