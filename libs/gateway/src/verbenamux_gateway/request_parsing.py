"""Parsing a caller's HTTP request, with a typed failure for bad input."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import unquote

import gevent
import msgspec
from returns.result import Failure, Result, Success

from verbenamux_config.access import hash_key
from verbenamux_contracts.decoding import DECODE_ERRORS
from verbenamux_contracts.errors import ErrorCode, RequestFailure

BEARER_PREFIX = 'bearer '
HEADER_PREFIX = 'HTTP_'
MAX_HEADER_LENGTH = 8192
MAX_DEADLINE_MS = 3_600_000
MAX_PRIORITY = 100
MAX_IDEMPOTENCY_KEY_LENGTH = 255
HOP_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'cookie',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-api-key',
        'x-request-id',
    )
)
OWN_HEADER_PREFIX = 'verbenamux-'

Environ = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that a caller set in its request headers."""

    idempotent: bool | None
    idempotency_key: str
    deadline: timedelta | None
    priority: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request with valid framing.

    The key is kept only to check that it is not passed on.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    options: RequestOptions

    @property
    def key_hash(self) -> str:
        """The hash under which the key is declared."""
        return hash_key(self.key)


def read_incoming(
    environ: Environ,
    max_body_bytes: int,
    body_timeout: timedelta,
) -> Result[CallerRequest, RequestFailure]:
    """Read a request's headers and its whole body."""
    options = _read_options(environ)
    if isinstance(options, RequestFailure):
        return Failure(options)
    headers = _read_headers(environ)
    if isinstance(headers, RequestFailure):
        return Failure(headers)
    body = _read_body(environ, max_body_bytes, body_timeout)
    if isinstance(body, RequestFailure):
        return Failure(body)
    incoming = CallerRequest(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        environ.get('QUERY_STRING', ''),
        headers,
        body,
        _read_key(environ),
        options,
    )
    return _check_key_not_exposed(incoming)


def decode_json(
    body: bytes,
    expected: type[msgspec.Struct],
) -> Result[Any, RequestFailure]:
    """Return a JSON body decoded and validated as a type."""
    try:
        return Success(msgspec.json.decode(body, type=expected))
    except msgspec.ValidationError as error:
        return Failure(_failure(ErrorCode.INVALID_FIELD, str(error)))
    except DECODE_ERRORS as error:
        code = ErrorCode.INVALID_JSON
        if not _is_utf8(body):
            code = ErrorCode.INVALID_ENCODING
        return Failure(_failure(code, str(error)))


def _read_key(environ: Environ) -> str:
    header = environ.get('HTTP_AUTHORIZATION', '')
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ''
    return header[len(BEARER_PREFIX) :].strip()


def _read_options(environ: Environ) -> RequestOptions | RequestFailure:
    idempotent = environ.get('HTTP_VERBENAMUX_IDEMPOTENT', '').lower()
    if idempotent not in {'', 'true', 'false'}:
        return _failure(
            ErrorCode.INVALID_HEADER,
            'Verbenamux-Idempotent: expected true or false',
        )
    idempotency_key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return _failure(ErrorCode.INVALID_HEADER, 'Idempotency-Key: too long')
    deadline = _read_number(
        environ,
        'Verbenamux-Deadline-Ms',
        MAX_DEADLINE_MS,
    )
    if isinstance(deadline, RequestFailure):
        return deadline
    priority = _read_number(environ, 'Verbenamux-Priority', MAX_PRIORITY)
    if isinstance(priority, RequestFailure):
        return priority
    return RequestOptions(
        idempotent == 'true' if idempotent else None,
        idempotency_key,
        None if deadline is None else timedelta(milliseconds=deadline),
        priority or 0,
    )


def _read_number(
    environ: Environ,
    header: str,
    maximum: int,
) -> int | RequestFailure | None:
    name = HEADER_PREFIX + header.upper().replace('-', '_')
    text = environ.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or int(text[:10]) > maximum:
        return _failure(
            ErrorCode.INVALID_HEADER,
            f'{header}: expected a whole number up to {maximum}',
        )
    return int(text)


def _read_headers(
    environ: Environ,
) -> tuple[tuple[str, str], ...] | RequestFailure:
    kept = []
    for name, text in _all_headers(environ):
        if len(text) > MAX_HEADER_LENGTH or not _is_printable(text):
            return _failure(ErrorCode.INVALID_HEADER, f'{name}: bad value')
        if name not in HOP_HEADERS and not name.startswith(OWN_HEADER_PREFIX):
            kept.append((name, text))
    return tuple(kept)


def _all_headers(environ: Environ) -> list[tuple[str, str]]:
    headers = [
        (_header_name(name), text)
        for name, text in environ.items()
        if name.startswith(HEADER_PREFIX)
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers.append(('content-type', content_type))
    return headers


def _header_name(name: str) -> str:
    return name.removeprefix(HEADER_PREFIX).replace('_', '-').lower()


def _is_printable(text: str) -> bool:
    return all(
        character.isprintable() or character == '\t' for character in text
    )


def _read_body(
    environ: Environ,
    max_bytes: int,
    timeout: timedelta,
) -> bytes | RequestFailure:
    length = environ.get('CONTENT_LENGTH') or None
    chunked = 'HTTP_TRANSFER_ENCODING' in environ
    if length is None and not chunked:
        return b''
    if length is not None and not _is_decimal(length):
        return _failure(
            ErrorCode.INVALID_HEADER, 'Content-Length: not a number'
        )
    if length is not None and int(length) > max_bytes:
        return _too_large(max_bytes)
    try:
        with gevent.Timeout(timeout.total_seconds()):
            body = environ['wsgi.input'].read(max_bytes + 1)
    except gevent.Timeout:
        return _failure(ErrorCode.BODY_TOO_SLOW, 'the body came too slowly')
    except (OSError, ValueError) as error:
        return _failure(ErrorCode.BODY_INCOMPLETE, repr(error))
    return _check_body(body, length, max_bytes)


def _check_body(
    body: bytes,
    length: str | None,
    max_bytes: int,
) -> bytes | RequestFailure:
    if len(body) > max_bytes:
        return _too_large(max_bytes)
    if length is not None and len(body) < int(length):
        return _failure(
            ErrorCode.BODY_INCOMPLETE,
            f'{len(body)} of {length} bytes came',
        )
    return body


def _check_key_not_exposed(
    incoming: CallerRequest,
) -> Result[CallerRequest, RequestFailure]:
    if not incoming.key:
        return Success(incoming)
    texts = [incoming.path, incoming.query, unquote(incoming.query)]
    texts.extend(text for _, text in incoming.headers)
    is_exposed = any(incoming.key in searched for searched in texts)
    if is_exposed or incoming.key.encode() in incoming.body:
        return Failure(
            _failure(
                ErrorCode.INVALID_FIELD,
                'the key may stand in the Authorization header only',
            ),
        )
    return Success(incoming)


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _is_utf8(body: bytes) -> bool:
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def _too_large(max_bytes: int) -> RequestFailure:
    return _failure(
        ErrorCode.BODY_TOO_LARGE, f'the body is over {max_bytes} bytes'
    )


def _failure(code: ErrorCode, message: str) -> RequestFailure:
    return RequestFailure(code, message)
