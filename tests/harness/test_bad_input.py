"""Malformed requests over real connections get typed errors.

The gateway must answer each and keep running."""

import socket
from collections.abc import Iterator

import msgspec
import pytest

from verbenamux_harness.fleet import Fleet, running
from verbenamux_harness.shapes import nakhla

pytestmark = pytest.mark.processes

CHAT = b'POST /v1/chat/completions HTTP/1.1\r\nHost: g\r\n'
KEY = b'Authorization: Bearer vk-counter\r\n'
JSON = b'Content-Type: application/json\r\n'
SHORT_BODY_TIME = '1s'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    shape = nakhla(
        engines=1,
        engine_memory_mb=6000,
        gateways=1,
        gateway_extra={
            'limits': {'body_time': SHORT_BODY_TIME, 'body': '64KB'},
        },
    )
    with running(shape, tmp_path_factory.mktemp('bad')) as started:
        yield started


def exchange(fleet: Fleet, sent: bytes, *, half_close: bool = False) -> bytes:
    host, _, port = fleet.address_by_name['gateway-0'].rpartition(':')
    received = b''
    with socket.create_connection((host, int(port)), timeout=15) as caller:
        caller.sendall(sent)
        if half_close:
            caller.shutdown(socket.SHUT_WR)
        while piece := caller.recv(65536):
            received += piece
    return received


def with_body(body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = CHAT + KEY + JSON + b'Connection: close\r\n'
    return head + b'Content-Length: %d\r\n\r\n' % size + body


CASES = {
    'no HTTP at all': (b'hello\r\n\r\n', 400, False),
    'no such version': (b'GET / HTTP/9.9\r\n\r\n', 400, False),
    'header without colon': (
        CHAT + b'nonsense\r\nConnection: close\r\n\r\n',
        400,
        False,
    ),
    'request line too long': (
        b'GET /' + b'x' * 9000 + b' HTTP/1.1\r\n\r\n',
        414,
        False,
    ),
    'broken JSON': (with_body(b'{"model":'), 400, False),
    'not UTF-8': (with_body(b'{"model":"\xff\xfe"}'), 400, False),
    'unknown model': (
        with_body(
            b'{"model":"none","messages":[{"role":"user","content":"x"}]}',
        ),
        404,
        False,
    ),
    'oversize body': (with_body(b'', 10_000_000), 413, False),
    'half-closed in the body': (with_body(b'{"mo', 100), 400, True),
    'slow sender': (with_body(b'{"mo', 100), 408, False),
    'path that climbs': (
        b'GET /services/hire-ledger/../secret HTTP/1.1\r\nHost: g\r\n'
        b'Connection: close\r\n\r\n',
        400,
        False,
    ),
}


@pytest.mark.parametrize('name', CASES)
def test_malformed_request_gets_a_typed_answer(fleet: Fleet, name: str) -> None:
    sent, status, half_close = CASES[name]
    answer = exchange(fleet, sent, half_close=half_close)
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d' % status)
    error = msgspec.json.decode(body)['error']
    assert error['run'] == 'not_run'
    assert error['request_id']
    assert fleet.process_by_name['gateway-0'].running


def test_gateway_still_serves_after_malformed_requests(fleet: Fleet) -> None:
    assert fleet.chat('gateway-0', 'counter', 'still there?').status == 200
