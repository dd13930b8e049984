"""Writing answers and failures to callers."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from verbenamux_contracts.errors import (
    RETRY_STATUSES,
    ErrorCode,
    RequestFailure,
)
from verbenamux_contracts.ids import new_request_id
from verbenamux_runtime.webserver import encode_plain_error, reason_phrase

JSON_TYPE = 'application/json'
STREAM_TYPE = 'text/event-stream'
REQUEST_ID_HEADER = 'X-Request-Id'
OK = 200
DONE_FRAME = b'data: [DONE]\n\n'

HeaderPairs = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer with final status and headers."""

    status: int
    headers: HeaderPairs
    pieces: Iterable[bytes]


def json_answer(body: bytes, status: int = OK) -> Answer:
    """Return an answer with a JSON body."""
    headers = [
        ('Content-Type', JSON_TYPE),
        ('Content-Length', str(len(body))),
    ]
    return Answer(status, headers, [body])


def text_answer(body: bytes, content_type: str, status: int = OK) -> Answer:
    """Return an answer with a body of the given content type."""
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    return Answer(status, headers, [body])


def failure_answer(failure: RequestFailure, request_id: str) -> Answer:
    """Return the answer that reports a failure to a caller."""
    answer = json_answer(encode_failure(failure, request_id), failure.status)
    if failure.status in RETRY_STATUSES:
        seconds = max(1, math.ceil(failure.retry_after.total_seconds()))
        answer.headers.append(('Retry-After', str(seconds)))
    return answer


def encode_failure(failure: RequestFailure, request_id: str) -> bytes:
    """Return a failure as JSON."""
    return msgspec.json.encode(
        {
            'error': {
                'type': failure.error_type.value,
                'code': failure.code.value,
                'message': failure.message,
                'request_id': request_id,
                'run': failure.run.value,
            },
        },
    )


def encode_broken_request(status: str) -> bytes:
    """Return the raw answer to bytes that are not an HTTP request."""
    failure = RequestFailure(
        ErrorCode.INVALID_HEADER,
        'the request line or a header cannot be read',
    )
    body = encode_failure(failure, new_request_id())
    return encode_plain_error(status, body)


def stream_frames(
    first: bytes,
    remaining: Iterator[bytes],
    encode_error: Callable[[Exception], bytes],
) -> Iterator[bytes]:
    """Yield server-sent events; a failure becomes the last event.

    Only a complete answer ends with the [DONE] event.
    """
    yield frame(first)
    try:
        for event in remaining:
            yield frame(event)
    except Exception as error:
        yield b'event: error\n' + frame(encode_error(error))
        return
    yield DONE_FRAME


def frame(payload: bytes) -> bytes:
    """Return one server-sent event."""
    return b'data: ' + payload + b'\n\n'


def send(
    answer: Answer,
    request_id: str,
    start: Callable[..., Any],
    *,
    closing: bool,
) -> Iterable[bytes]:
    """Start the response and return its body."""
    headers = [*answer.headers, (REQUEST_ID_HEADER, request_id)]
    if closing:
        headers.append(('Connection', 'close'))
    start(reason_phrase(answer.status), headers)
    return answer.pieces
