"""Connections to targets that answer early, twice, half or not at all."""

import contextlib
from datetime import timedelta

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from verbenamux_contracts.clock import ManualClock, SystemClock
from verbenamux_http.client import (
    ConnectionPool,
    Outgoing,
    call,
    parse_address,
)
from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.headers import Headers

SOON = timedelta(milliseconds=300)
HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
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
    """A server that sends a start, then a piece again and again."""

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


def test_a_connection_is_used_again(pool):
    target = Target(HELLO, HELLO)
    for _ in range(2):
        assert call(pool, target.address, GET, SOON)[1] == b'hello'
    assert target.connections == 1


@pytest.mark.parametrize(
    'spoilt',
    [
        HELLO + HELLO,
        HELLO.replace(b'200 OK', b'200 OK\r\nConnection: close'),
        HELLO + b'surplus',
    ],
)
def test_a_spoilt_connection_is_not_used_again(pool, spoilt):
    target = Target(spoilt, HELLO)
    for _ in range(2):
        assert call(pool, target.address, GET, SOON)[1] == b'hello'
    assert target.connections == 2


def test_bytes_that_come_while_idle_spoil_a_connection(pool):
    target = Target(HELLO, HELLO)
    call(pool, target.address, GET, SOON)
    late = pool._idle_by_address[target.address][0]
    late._socket.close()
    assert call(pool, target.address, GET, SOON)[1] == b'hello'


def test_idle_connections_are_dropped_in_time():
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
    ],
)
def test_half_answers_are_typed_failures(pool, script, fault):
    target = Target(script, closes=True)
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, target.address, GET, SOON)
    assert raised.value.fault is fault


def test_silence_is_a_timeout(pool):
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, Target(b'', HELLO).address, GET, SOON)
    assert raised.value.fault is Fault.TIMED_OUT


def test_nobody_there_means_nothing_was_sent(pool):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = unused.getsockname()
    with pytest.raises(ExchangeFailure) as raised:
        call(pool, address, GET, SOON)
    assert raised.value.fault is Fault.UNSENT


def test_an_answer_before_a_long_body_was_read_spoils_the_connection(pool):
    """What is left of the body must never look like another request."""
    body = b'x' * 4_000_000
    length = (('Host', 'h'), ('Content-Length', str(len(body))))
    target = Target(HELLO)
    outgoing = Outgoing('POST', '/', Headers(length), body)
    assert call(pool, target.address, outgoing, SOON)[1] == b'hello'
    gevent.sleep(0)
    assert not pool._idle_by_address.get(target.address)


@pytest.mark.parametrize(
    ('start', 'trickle'),
    [
        (b'HTTP/1.1 200 OK\r\nA: ', b'x'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED + b'5;a=', b'x'),
    ],
    ids=['head', 'interim', 'extension'],
)
def test_a_trickle_that_brings_nothing_does_not_renew_the_wait(
    pool,
    start,
    trickle,
):
    target = EndlessTarget(start, trickle, 0.05)
    with (
        gevent.Timeout(2),
        pytest.raises(ExchangeFailure) as raised,
    ):
        call(pool, target.address, GET, SOON)
    assert raised.value.fault is Fault.TIMED_OUT
    assert target.was_closed.wait(1)


def test_a_call_ends_although_its_body_goes_on(pool):
    target = EndlessTarget(LONG_BODY, b'x', 0.05)
    with (
        gevent.Timeout(2),
        pytest.raises(ExchangeFailure) as raised,
    ):
        call(pool, target.address, GET, SOON, body_time=2 * SOON)
    assert raised.value.fault is Fault.TIMED_OUT
    assert target.was_closed.wait(1)


def test_a_body_that_takes_longer_than_one_wait_is_read(pool):
    """A page of the store on a slow link: no pause, but a long way."""
    target = EndlessTarget(
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n',
        b'x',
        0.05,
    )
    assert call(pool, target.address, GET, SOON)[1] == b'x' * 10


@pytest.mark.parametrize('text', ['', 'a', 'host:80', '1.2.3.4', '1.2.3:x'])
def test_bad_addresses_are_refused(text):
    with pytest.raises((ValueError, OSError)):
        parse_address(text)
