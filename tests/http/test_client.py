"""Connections to targets that answer early, twice, half or not at all."""

from datetime import timedelta

import gevent
import pytest
from gevent import socket
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


def test_a_wait_that_is_given_up_leaves_the_long_body_on_its_way(pool):
    """The wait's timeout ended the sending too, and no answer could come.

    A reader that waits on, as for a busy target, waited in vain.
    """
    body = b'x' * 8_000_000

    def read_late(opened, _peer):
        gevent.sleep(0.3)
        received = 0
        while received < len(body):
            received += len(opened.recv(1_000_000)) or len(body)
        opened.sendall(HELLO)

    late = StreamServer(('127.0.0.1', 0), read_late)
    late.start()
    headers = Headers((('Host', 'h'), ('Content-Length', str(len(body)))))
    exchange = pool.take(late.address, SOON).start(
        Outgoing('POST', '/', headers, body),
    )
    with pytest.raises(ExchangeFailure):
        exchange.read_head(timedelta(milliseconds=100))
    assert exchange.read_head(timedelta(seconds=5)).status == 200


@pytest.mark.parametrize('text', ['', 'a', 'host:80', '1.2.3.4', '1.2.3:x'])
def test_bad_addresses_are_refused(text):
    with pytest.raises((ValueError, OSError)):
        parse_address(text)
