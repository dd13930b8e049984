"""Requests whose callers disconnected before they were read.

Real processes; the gateway is paused while callers connect and leave.
"""

import signal
from random import Random

import gevent
import pytest
from gevent import socket

from soak.world import CALLERS_PORT, World

pytestmark = pytest.mark.processes

SLOT = 17
GATEWAY = 'gateway-1'
PATHS = ('/look/', '/order/')
REQUEST = (
    'POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {request_id}\r\n'
    'Authorization: Bearer kept\r\nContent-Length: 0\r\n\r\n'
)


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path, SLOT, Random(1))
    made.start((GATEWAY,))
    yield made
    made.stop()


def send_request(world, path, request_id):
    opened = socket.create_connection((world.host(GATEWAY), CALLERS_PORT))
    opened.settimeout(5)
    request = REQUEST.format(path=path, request_id=request_id)
    opened.sendall(request.encode())
    return opened


def has_run(world, request_id):
    return any(run.request_id == request_id for run in world.book.runs)


@pytest.mark.parametrize('path', PATHS)
def test_a_request_whose_caller_left_unread_reaches_no_target(world, path):
    """It was sent on an idle connection before its caller was checked."""
    gateway = world.programs[GATEWAY].popen
    for number in range(6):
        with send_request(world, path, f'kept-{number}') as served:
            assert served.recv(4096).startswith(b'HTTP/1.1 200')
    gateway.send_signal(signal.SIGSTOP)
    try:
        for number in range(3):
            send_request(world, path, f'left-{number}').close()
        gevent.sleep(0.2)
    finally:
        gateway.send_signal(signal.SIGCONT)
    with send_request(world, path, 'later') as served:
        assert served.recv(4096).startswith(b'HTTP/1.1 200')
    gevent.sleep(0.3)
    assert has_run(world, 'later')
    assert not any(has_run(world, f'left-{number}') for number in range(3))
