"""The HTTP server that every program with an HTTP border uses."""

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
CONNECTIONS_MOST = 8192
HEADER_SECONDS_MOST = 10
LINGER_SECONDS = 1
HEADERS_BROKEN = 'a header line has no colon'
DISCARD_BYTES = 65536
FIRST_ERROR_STATUS = 400


class ErrorServer(WSGIServer):
    """A server that words its answers to broken requests itself."""

    encode_error: EncodeError


class QuietHandler(WSGIHandler):
    """A connection whose request line and headers must come in time."""

    def handle_one_request(self) -> bool | tuple[str, bytes] | None:
        """Answer one request; a broken one gets the server's own words."""
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple):
            status = outcome[0]
            return status, self.server.encode_error(status)
        return outcome

    def handle(self) -> None:
        """Answer a connection's requests, each piece sent at once.

        Small pieces must not wait for the peer's delayed acknowledgement.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers; a line that is none spoils the request.

        The headers behind such a line would be lost without a word.
        """
        complete: bool = super().read_request(raw_requestline)
        if self.headers.defects or self.headers.get_payload():
            raise ValueError(HEADERS_BROKEN)
        return complete

    def run_application(self) -> None:
        """Answer, and close the connection if the body was not all read.

        Reading on would let a caller that was refused hold the connection.
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
        """Let the answer arrive before the connection is reset."""
        self.socket.shutdown(socket.SHUT_WR)
        with Timeout(LINGER_SECONDS, exception=False):
            discarded = b'-'
            while discarded:
                discarded = self.socket.recv(DISCARD_BYTES)

    def log_request(self) -> None:
        """Write nothing: programs log decisions of their own."""

    def log_error(self, msg: str, *args: object) -> None:
        """Write nothing: a broken request is the caller's matter."""

    def read_requestline(self) -> str:
        """Read the request line, bounding how long headers may take."""
        self.socket.settimeout(HEADER_SECONDS_MOST)
        line: str
        try:
            line = super().read_requestline()
        except TimeoutError:
            self._recover_from_pause()
            line = super().read_requestline()
        return line

    def _recover_from_pause(self) -> None:
        """Go on with a request that came while this process stood still.

        Then the time limit ran out although the caller kept to it. Raises
        TimeoutError when nothing has come.
        """
        if not select([self.socket], [], [], 0)[0]:
            raise TimeoutError
        self.rfile = self.socket.makefile('rb')

    def handle_one_response(self) -> None:
        """Answer without the limit that held while headers came in."""
        self.socket.settimeout(None)
        super().handle_one_response()


def encode_plain_error(status: str, body: bytes = b'') -> bytes:
    """Return a whole raw response for a request that was no HTTP."""
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
    connections: int = CONNECTIONS_MOST,
    encode_error: EncodeError = encode_plain_error,
) -> WSGIServer:
    """Listen on an address and answer with the application.

    Every connection is one greenlet. The caller stops the server. A
    request that is no HTTP gets what `encode_error` makes of its status.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    server = ErrorServer(
        listener,
        application,
        spawn=Pool(connections),
        handler_class=QuietHandler,
        log=None,
        error_log=None,
        # Without a name the server looks its address up, in a thread.
        environ={'SERVER_NAME': host},
    )
    server.encode_error = encode_error
    server.start()
    return server


def reason_phrase(status: int) -> str:
    """Return a status line for a status code."""
    return f'{status} {"OK" if status < FIRST_ERROR_STATUS else "Error"}'
