"""HTTP server shared by all programs that serve HTTP."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent import Timeout, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.select import select

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
EncodeError = Callable[[str], bytes]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LISTEN_BACKLOG = 4096
MAX_CONNECTIONS = 8192
HEADER_TIMEOUT_SECONDS = 10
LINGER_TIMEOUT_SECONDS = 1
MALFORMED_HEADER = 'a header line has no colon'
DISCARD_CHUNK_BYTES = 65536
FIRST_ERROR_STATUS = 400


class CustomErrorServer(WSGIServer):
    """A server with a custom encoding of errors for invalid requests."""

    encode_error: EncodeError


class TimedHandler(WSGIHandler):
    """A connection with a timeout for the request line and headers."""

    def handle_one_request(self) -> bool | tuple[str, bytes] | None:
        """Handle a request; encode the error if it is invalid."""
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple):
            status = outcome[0]
            return status, self.server.encode_error(status)
        return outcome

    def handle(self) -> None:
        """Handle the requests of a connection, without Nagle's algorithm.

        Small writes must not wait for the peer's delayed acknowledgement.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers; reject the request if a line is malformed.

        The headers after such a line would be dropped silently.
        """
        complete: bool = super().read_request(raw_requestline)
        if self.headers.defects or self.headers.get_payload():
            raise ValueError(MALFORMED_HEADER)
        return complete

    def run_application(self) -> None:
        """Respond, and close the connection if the body was not fully read.

        Reading on would let a rejected caller occupy the connection.
        """
        super().run_application()
        body = self.wsgi_input
        expected = body.content_length or 0
        if body.chunked_input or body.position < expected:
            body.content_length = body.position
            body.chunked_input = False
            self.close_connection = True
            self._linger()

    def _linger(self) -> None:
        """Let the response arrive before the connection is reset."""
        self.socket.shutdown(socket.SHUT_WR)
        with Timeout(LINGER_TIMEOUT_SECONDS, exception=False):
            discarded = b'-'
            while discarded:
                discarded = self.socket.recv(DISCARD_CHUNK_BYTES)

    def log_request(self) -> None:
        """Log nothing: programs log their own decisions."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log nothing: an invalid request is the caller's error."""

    def read_requestline(self) -> str:
        """Read the request line, with a timeout for it and the headers."""
        self.socket.settimeout(HEADER_TIMEOUT_SECONDS)
        line: str
        try:
            line = super().read_requestline()
        except TimeoutError:
            self._resume_after_suspension()
            line = super().read_requestline()
        return line

    def _resume_after_suspension(self) -> None:
        """Continue with a request that arrived while this process was paused.

        The timeout then expired although the caller was in time. Raises
        TimeoutError when no data has arrived.
        """
        if not select([self.socket], [], [], 0)[0]:
            raise TimeoutError
        self.rfile = self.socket.makefile('rb')

    def handle_one_response(self) -> None:
        """Respond without the timeout that applied to the headers."""
        self.socket.settimeout(None)
        super().handle_one_response()


def encode_plain_error(status: str, body: bytes = b'') -> bytes:
    """Return a complete raw response to a request that was not HTTP."""
    head = (
        f'HTTP/1.1 {reason_phrase(int(status))}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


def serve(
    address: str,
    application: Application,
    connections: int = MAX_CONNECTIONS,
    encode_error: EncodeError = encode_plain_error,
) -> WSGIServer:
    """Listen on an address and serve the application.

    Every connection is one greenlet. The caller stops the server. A
    request that is not HTTP gets the response that `encode_error` returns.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    server = CustomErrorServer(
        listener,
        application,
        spawn=Pool(connections),
        handler_class=TimedHandler,
        log=None,
        error_log=None,
        # Without a name the server resolves its address, in a thread.
        environ={'SERVER_NAME': host},
    )
    server.encode_error = encode_error
    server.start()
    return server


def reason_phrase(status: int) -> str:
    """Return a status line for a status code."""
    return f'{status} {"OK" if status < FIRST_ERROR_STATUS else "Error"}'
