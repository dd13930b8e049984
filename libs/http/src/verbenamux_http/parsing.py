"""Messages cut out of a stream of bytes, by httptools."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

from verbenamux_http.errors import (
    ExchangeFailure,
    Fault,
    RequestError,
)
from verbenamux_http.headers import Headers

BAD_REQUEST = 400
TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
FIRST_FINAL_STATUS = 200
CHUNKLESS_VERSION = '1.0'
BODILESS_STATUSES = frozenset((204, 304))
# The most bytes in a row that bring no byte of a body: heads, interim
# answers, chunk sizes, trailers. Four times what a caller's head may have
# by default (`max_header_bytes`); an answer echoes fields and adds a few.
FRAMING_BYTES_MOST = 65536


@dataclass(frozen=True, slots=True)
class Request:
    """One whole request of a caller.

    A caller that takes no chunks learns the end of an answer in pieces from
    the end of its connection.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    is_chunked: bool
    keeps_connection: bool
    takes_chunks: bool = True


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    reason: str
    headers: Headers
    keeps_connection: bool
    ends_with_connection: bool


@dataclass(frozen=True, slots=True)
class SizeLimits:
    """The most bytes of a request's head and of its body."""

    header_bytes: int
    body_bytes: int


class SizeLimitSource(Protocol):
    """Gives the limits now in force."""

    def __call__(self) -> SizeLimits:
        """Return the limits."""


class _HeadCollector:
    """Gathers the fields of the message being parsed."""

    def __init__(self) -> None:
        self.fields: list[tuple[str, str]] = []
        self.head_bytes = 0
        self.start_line: list[bytes] = []

    def add(self, name: bytes, text: bytes) -> None:
        self.fields.append((name.decode('latin-1'), text.decode('latin-1')))
        self.head_bytes += len(name) + len(text) + 4

    def start(self, piece: bytes) -> None:
        self.start_line.append(piece)
        self.head_bytes += len(piece)


class RequestParser:
    """Turns a connection's bytes into requests.

    `feed` raises RequestError for bytes that are no request, or one over
    its limits. Whole requests wait in `complete`, in order.
    """

    def __init__(self, limits: SizeLimitSource) -> None:
        """Start before the first request."""
        self.complete: deque[Request] = deque()
        self.is_inside = False
        self.expects_continue = False
        self.has_head = False
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._head = _HeadCollector()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._refusal: RequestError | None = None

    def feed(self, received: bytes) -> None:
        """Parse more bytes."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(
                BAD_REQUEST,
                'protocol upgrades are not served',
            ) from error
        except httptools.HttpParserError as error:
            raise self._refusal or RequestError(
                BAD_REQUEST,
                f'not an HTTP request: {error}',
            ) from error
        if self._refusal is not None:
            raise self._refusal

    def on_message_begin(self) -> None:
        """Reset what is gathered for one request."""
        self._head = _HeadCollector()
        self._body = []
        self._body_bytes = 0
        self.is_inside = True
        self.has_head = False

    def on_url(self, piece: bytes) -> None:
        """Gather the request target."""
        self._head.start(piece)
        self._check_head()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Gather one field."""
        self._head.add(name, text)
        self._check_head()

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced as too large."""
        self.has_head = True
        headers = Headers(tuple(self._head.fields))
        length = headers.get('content-length') or '0'
        if length.isdigit() and int(length) > self._limits().body_bytes:
            self._refuse(TOO_LARGE, f'body of {length} bytes is too large')
        expected = (headers.get('expect') or '').lower()
        self.expects_continue = expected == '100-continue'

    def on_body(self, piece: bytes) -> None:
        """Gather the body within its limit."""
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits().body_bytes:
            self._refuse(TOO_LARGE, 'body is too large')
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Queue the request."""
        headers = Headers(tuple(self._head.fields))
        takes_chunks = self._parser.get_http_version() != CHUNKLESS_VERSION
        self.complete.append(
            Request(
                method=self._parser.get_method().decode('latin-1'),
                target=b''.join(self._head.start_line).decode('latin-1'),
                headers=headers,
                body=b''.join(self._body),
                is_chunked=headers.get('transfer-encoding') is not None,
                keeps_connection=(
                    takes_chunks and self._parser.should_keep_alive()
                ),
                takes_chunks=takes_chunks,
            ),
        )
        self._body = []
        self.is_inside = False
        self.expects_continue = False

    def _check_head(self) -> None:
        if self._head.head_bytes > self._limits().header_bytes:
            self._refuse(HEADERS_TOO_LARGE, 'headers are too large')

    def _refuse(self, status: int, message: str) -> None:
        if self._refusal is None:
            self._refusal = RequestError(status, message)
        raise self._refusal


class ResponseParser:
    """Turns a connection's bytes into one answer.

    Body pieces wait in `pieces`. Bytes behind the answer's end set
    `has_surplus`: they belong to no request, and the connection is spoilt.
    """

    def __init__(self) -> None:
        """Start before the answer's first byte."""
        self.head: ResponseHead | None = None
        self.pieces: deque[bytes] = deque()
        self.is_complete = False
        self.has_surplus = False
        self._parser = httptools.HttpResponseParser(self)
        self._collected = _HeadCollector()
        self._framing_bytes = 0
        self._has_news = False

    def feed(self, received: bytes) -> None:
        """Parse more bytes.

        Raises ExchangeFailure when they are malformed, or frame an answer
        without end.
        """
        if self.is_complete:
            self.has_surplus = self.has_surplus or bool(received)
            return
        self._has_news = False
        self._parse(received)
        # Counted by what arrives: the parser holds a field until it is whole.
        self._framing_bytes += len(received)
        if self._has_news:
            self._framing_bytes = 0
        if self._framing_bytes > FRAMING_BYTES_MOST:
            raise ExchangeFailure(
                Fault.TOO_LARGE,
                f'{self._framing_bytes} bytes in a row without a body',
            )

    def finish(self) -> None:
        """Take the peer's close as the end, where the answer allows it."""
        if self.head is not None and self.head.ends_with_connection:
            self.is_complete = True

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.is_complete:
                raise ExchangeFailure(
                    Fault.MALFORMED,
                    f'not an HTTP answer: {error}',
                ) from error
            self.has_surplus = True

    def on_message_begin(self) -> None:
        """Note a second answer behind the first."""
        if self.is_complete:
            self.has_surplus = True
        self._collected = _HeadCollector()

    def on_status(self, piece: bytes) -> None:
        """Gather the reason phrase."""
        self._collected.start(piece)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Gather one field."""
        self._collected.add(name, text)

    def on_headers_complete(self) -> None:
        """Keep the head, unless it is an interim one."""
        status = self._parser.get_status_code()
        if self.is_complete or status < FIRST_FINAL_STATUS:
            return
        headers = Headers(tuple(self._collected.fields))
        is_framed = (
            headers.get('content-length') is not None
            or headers.get('transfer-encoding') is not None
            or status in BODILESS_STATUSES
        )
        self.head = ResponseHead(
            status=status,
            reason=b''.join(self._collected.start_line).decode('latin-1'),
            headers=headers,
            keeps_connection=is_framed and self._parser.should_keep_alive(),
            ends_with_connection=not is_framed,
        )
        self._has_news = True

    def on_body(self, piece: bytes) -> None:
        """Queue a piece of the body."""
        if not self.is_complete:
            self.pieces.append(piece)
            self._has_news = True

    def on_message_complete(self) -> None:
        """Note the end of a final answer."""
        if self.head is not None:
            self.is_complete = True
            self._has_news = True
