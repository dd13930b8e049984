"""The HTTP server for metrics and health."""

import gevent
import pytest
from gevent import pywsgi, socket

from verbenamux_runtime.webserver import serve


def application(_environ, start):
    start('200 OK', [])
    return [b'page']


@pytest.fixture
def port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def test_start_resolves_no_names(port, monkeypatch):
    """A lookup may take seconds, and runs in a thread beside the loop."""

    def fail(name=''):
        raise AssertionError(f'{name} was looked up')

    monkeypatch.setattr(pywsgi.socket, 'getfqdn', fail)
    server = serve(f'127.0.0.1:{port}', application)
    with (
        gevent.Timeout(5),
        socket.create_connection(('127.0.0.1', port)) as client,
    ):
        client.sendall(b'GET / HTTP/1.0\r\n\r\n')
        assert client.recv(65536).startswith(b'HTTP/1.1 200')
    server.stop()
