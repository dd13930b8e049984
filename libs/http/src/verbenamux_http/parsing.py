"""Incremental parsing of HTTP messages with httptools."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from io import BytesIO
from typing import NoReturn, Protocol

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
# RFC 9110, section 15: any other status code is invalid.
VALID_STATUSES = range(100, 600)
FIRST_FINAL_STATUS = 200
VERSION_WITHOUT_CHUNKS = '1.0'
ANSWER_VERSIONS = frozenset((VERSION_WITHOUT_CHUNKS, '1.1'))
BODILESS_STATUSES = frozenset((204, 304))
# Limit of successive bytes without any byte of a body: heads, interim and
# extra answers, chunk sizes, trailers. Four times what a caller's head may
# have by default (`max_header_bytes`); an answer echoes fields and adds a few.
MAX_FRAMING_BYTES = 65536
# Answers to earlier requests that are skipped ahead of the one that is read.
MAX_EXTRA_ANSWERS = 8
# The same for a request, as a factor on the largest head that is allowed.
REQUEST_FRAMING_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request of a caller.

    A caller that accepts no chunks finds the end of a streamed answer by the
    end of its connection. `arriving` is the time from its first byte to its
    last.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    is_chunked: bool
    keeps_connection: bool
    accepts_chunks: bool = True
    arriving: timedelta = timedelta()


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
    """Returns the limits currently in force."""

    def __call__(self) -> SizeLimits:
        """Return the limits."""


def start_line_fault(version: str, status: int) -> str | None:
    """Return what is invalid in an answer's start line, or None.

    Parsers take more versions than those of HTTP/1, and any three digits.
    """
    if version not in ANSWER_VERSIONS:
        return f'version {version}'
    if status not in VALID_STATUSES:
        return f'status {status:03}'
    return None


class _HeadCollector:
    """Collects the fields of the message being parsed."""

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

    `feed` raises RequestError for bytes that are not a request, or exceed
    the limits. Complete requests are queued in `complete`, in order.
    """

    def __init__(self, limits: SizeLimitSource) -> None:
        """Start before the first request."""
        self.complete: deque[Request] = deque()
        self.is_in_message = False
        self.expects_continue = False
        self.has_head = False
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._head = _HeadCollector()
        self._body = BytesIO()
        self._body_bytes = 0
        self._framing_bytes = 0
        self._made_progress = False
        self._refusal: RequestError | None = None
        self.announced_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of what is held of requests."""
        complete_bytes = sum(len(request.body) for request in self.complete)
        return self._body.tell() + self._framing_bytes + complete_bytes

    def drop(self) -> None:
        """Drop what is held; no more bytes may follow."""
        self.complete.clear()
        self._body = BytesIO()
        self._framing_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse more bytes."""
        self._made_progress = False
        self._parse(received)
        # Counts received bytes: the parser buffers a field until it ends.
        self._framing_bytes += len(received)
        if self._made_progress:
            self._framing_bytes = 0
        header_bytes = self._limits().header_bytes
        if self._framing_bytes > header_bytes * REQUEST_FRAMING_FACTOR:
            raise RequestError(HEADERS_TOO_LARGE, 'headers are too large')

    def _parse(self, received: bytes) -> None:
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
        """Reset what is collected for one request."""
        self._head = _HeadCollector()
        self._body = BytesIO()
        self._body_bytes = 0
        self.announced_bytes = 0
        self.is_in_message = True
        self.has_head = False

    def on_url(self, piece: bytes) -> None:
        """Collect the request target."""
        self._head.start(piece)
        self._check_head()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect one field."""
        self._head.add(name, text)
        self._check_head()

    def on_headers_complete(self) -> None:
        """Refuse a body whose stated length is too large."""
        self.has_head = True
        self._made_progress = True
        headers = Headers(tuple(self._head.fields))
        length = headers.get('content-length') or '0'
        if length.isdigit():
            self.announced_bytes = int(length)
        if length.isdigit() and int(length) > self._limits().body_bytes:
            self._refuse(TOO_LARGE, f'body of {length} bytes is too large')
        expected = (headers.get('expect') or '').lower()
        self.expects_continue = expected == '100-continue'

    def on_body(self, piece: bytes) -> None:
        """Collect the body within its limit."""
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits().body_bytes:
            self._refuse(TOO_LARGE, 'body is too large')
        self._body.write(piece)
        self._made_progress = True

    def on_message_complete(self) -> None:
        """Queue the request."""
        headers = Headers(tuple(self._head.fields))
        accepts_chunks = (
            self._parser.get_http_version() != VERSION_WITHOUT_CHUNKS
        )
        self.complete.append(
            Request(
                method=self._parser.get_method().decode('latin-1'),
                target=b''.join(self._head.start_line).decode('latin-1'),
                headers=headers,
                body=self._body.getvalue(),
                is_chunked=headers.get('transfer-encoding') is not None,
                keeps_connection=(
                    accepts_chunks and self._parser.should_keep_alive()
                ),
                accepts_chunks=accepts_chunks,
            ),
        )
        self._body = BytesIO()
        self._made_progress = True
        self.is_in_message = False
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

    Body pieces are queued in `pieces`. Bytes after the answer's end set
    `has_surplus`: they belong to no request; the connection is unusable.
    Answers for which `is_extra` holds are skipped and counted in
    `extra_answers`, as far as they end by themselves.
    """

    def __init__(self) -> None:
        """Start before the answer's first byte."""
        self.head: ResponseHead | None = None
        self.pieces: deque[bytes] = deque()
        self.is_complete = False
        self.has_surplus = False
        self.is_extra: Callable[[ResponseHead], bool] = lambda _head: False
        self.extra_answers = 0
        self._is_skipping = False
        self._parser = httptools.HttpResponseParser(self)
        self._collector = _HeadCollector()
        self._framing_bytes = 0
        self._made_progress = False
        self._failure: ExchangeFailure | None = None

    def feed(self, received: bytes) -> None:
        """Parse more bytes.

        Raises ExchangeFailure when they are malformed, or when framing
        exceeds its limit.
        """
        if self.is_complete:
            self.has_surplus = self.has_surplus or bool(received)
            return
        self._made_progress = False
        self._parse(received)
        # Counts received bytes: the parser buffers a field until it ends.
        self._framing_bytes += len(received)
        if self._made_progress:
            self._framing_bytes = 0
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise ExchangeFailure(
                Fault.TOO_LARGE,
                f'{self._framing_bytes} bytes in a row without a body',
            )

    def take_body(self) -> bytes:
        """Return the queued pieces as one, however small the chunks were."""
        body = b''.join(self.pieces)
        self.pieces.clear()
        return body

    def finish(self) -> None:
        """Treat the peer's close as the end, where the framing allows it."""
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
                raise self._failure or _malformed(f'{error}') from error
            self.has_surplus = True

    def on_message_begin(self) -> None:
        """Detect a second answer after the first."""
        if self.is_complete:
            self.has_surplus = True
        self._collector = _HeadCollector()
        self._is_skipping = False

    def on_status(self, piece: bytes) -> None:
        """Collect the reason phrase."""
        self._collector.start(piece)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect one field."""
        self._collector.add(name, text)

    def on_headers_complete(self) -> None:
        """Store the head, unless it is an interim or an extra one."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        fault = start_line_fault(self._parser.get_http_version(), status)
        if fault is not None:
            self._fail(fault)
        if status < FIRST_FINAL_STATUS:
            return
        headers = Headers(tuple(self._collector.fields))
        is_framed = (
            headers.get('content-length') is not None
            or headers.get('transfer-encoding') is not None
            or status in BODILESS_STATUSES
        )
        head = ResponseHead(
            status=status,
            reason=b''.join(self._collector.start_line).decode('latin-1'),
            headers=headers,
            keeps_connection=is_framed and self._parser.should_keep_alive(),
            ends_with_connection=not is_framed,
        )
        self._is_skipping = self._may_skip(head)
        if self._is_skipping:
            self.extra_answers += 1
            return
        self.head = head
        self._made_progress = True

    def on_body(self, piece: bytes) -> None:
        """Queue a piece of the body."""
        if self.is_complete or self._is_skipping:
            return
        if self.head is None:
            self._fail('an interim answer with a body')
        self.pieces.append(piece)
        self._made_progress = True

    def on_message_complete(self) -> None:
        """Record the end of a final answer."""
        if self.head is not None:
            self.is_complete = True
            self._made_progress = True

    def _may_skip(self, head: ResponseHead) -> bool:
        if not head.keeps_connection or self.extra_answers >= MAX_EXTRA_ANSWERS:
            return False
        return self.is_extra(head)

    def _fail(self, message: str) -> NoReturn:
        # The parser replaces what its callbacks raise.
        self._failure = _malformed(message)
        raise self._failure


def _malformed(message: str) -> ExchangeFailure:
    return ExchangeFailure(Fault.MALFORMED, f'not an HTTP answer: {message}')
