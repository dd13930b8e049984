"""The HTTP server that every program with an HTTP border uses."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LISTEN_BACKLOG = 4096
CONNECTIONS_MOST = 8192
HEADER_SECONDS_MOST = 10
FIRST_ERROR_STATUS = 400


class QuietHandler(WSGIHandler):
    """A connection whose request line and headers must come in time."""

    def handle(self) -> None:
        """Answer a connection's requests, each piece sent at once.

        Small pieces must not wait for the peer's delayed acknowledgement.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def log_request(self) -> None:
        """Write nothing: programs log decisions of their own."""

    def log_error(self, msg: str, *args: object) -> None:
        """Write nothing: a broken request is the caller's matter."""

    def read_requestline(self) -> str:
        """Read the request line, bounding how long headers may take."""
        self.socket.settimeout(HEADER_SECONDS_MOST)
        line: str = super().read_requestline()
        return line

    def handle_one_response(self) -> None:
        """Answer without the limit that held while headers came in."""
        self.socket.settimeout(None)
        super().handle_one_response()


def serve(
    address: str,
    application: Application,
    connections: int = CONNECTIONS_MOST,
) -> WSGIServer:
    """Listen on an address and answer with the application.

    Every connection is one greenlet. The caller stops the server.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    server = WSGIServer(
        listener,
        application,
        spawn=Pool(connections),
        handler_class=QuietHandler,
        log=None,
        error_log=None,
    )
    server.start()
    return server


def reason_phrase(status: int) -> str:
    """Return a status line for a status code."""
    return f'{status} {"OK" if status < FIRST_ERROR_STATUS else "Error"}'
