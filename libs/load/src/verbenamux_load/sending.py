"""Sends one request and reads its whole response."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from verbenamux_load.history import Completion
from verbenamux_load.plan import Caller, CallKind

OK = 200
CHAT_PATH = '/v1/chat/completions'
FRAME_END = b'\n\n'
DONE_FRAME = b'data: [DONE]'
ERROR_FRAME = b'event: error'
NETWORK_ERRORS = (OSError, HTTPConnectionClosed, HTTPParseError)


@dataclass(frozen=True, slots=True)
class Call:
    """One request that a caller sends."""

    caller: Caller
    call_id: str
    prompt: str
    model: str = ''
    idempotency_key: str = ''


@dataclass(slots=True)
class PartialResponse:
    """A response as far as it has been received."""

    status: int = 0
    first_token: float | None = None
    text: str = ''
    done: bool = False
    error: dict[str, Any] | None = None
    request_id: str = ''
    retry_after: str = ''
    tokens: int = 0
    failure: str = ''


def send_call(
    client: HTTPClient,
    call: Call,
    now: Callable[[], float],
) -> Completion:
    """Send a request and return how it ended for the caller."""
    received = PartialResponse()
    try:
        _send_and_read(client, call, now, received)
    except (*NETWORK_ERRORS, msgspec.MsgspecError) as error:
        received.failure = repr(error)
    error_body = received.error or {}
    return Completion(
        call.call_id,
        now(),
        received.status,
        received.first_token,
        received.text,
        received.done,
        error_body.get('run', ''),
        error_body.get('code', ''),
        received.request_id,
        received.retry_after,
        received.tokens,
        received.failure,
    )


def open_client(address: str, timeout: timedelta) -> HTTPClient:
    """Return a client of one gateway that holds at most one connection."""
    host, _, port = address.rpartition(':')
    return HTTPClient(
        host,
        int(port),
        connection_timeout=timeout.total_seconds(),
        network_timeout=timeout.total_seconds(),
        concurrency=1,
    )


def is_ready(client: HTTPClient) -> bool:
    """Return whether a gateway reports that it is ready."""
    try:
        response = client.get('/readyz')
        response.read()
    except NETWORK_ERRORS:
        return False
    return bool(response.status_code == OK)


def _send_and_read(
    client: HTTPClient,
    call: Call,
    now: Callable[[], float],
    received: PartialResponse,
) -> None:
    method, path = _method_and_path(call.caller)
    response = client.request(
        method,
        path,
        _encode_body(call),
        _make_headers(call.caller, call.idempotency_key),
    )
    received.status = response.status_code
    received.request_id = str(response.get('x-request-id', ''))
    received.retry_after = str(response.get('retry-after', ''))
    if received.status == OK:
        _read_answer(response, call.caller, now, received)
    else:
        received.error = _decode_error(bytes(response.read()))


def _read_answer(
    response: Any,
    caller: Caller,
    now: Callable[[], float],
    received: PartialResponse,
) -> None:
    if caller.kind is CallKind.STREAM:
        _read_stream(response, now, received)
    else:
        _read_whole(response, caller, now, received)


def _method_and_path(caller: Caller) -> tuple[str, str]:
    if caller.kind is CallKind.SERVICE:
        return caller.method, caller.path
    return 'POST', CHAT_PATH


def _encode_body(call: Call) -> bytes:
    caller = call.caller
    if caller.kind is CallKind.SERVICE:
        return call.prompt.encode()
    return msgspec.json.encode(
        {
            'model': call.model,
            'messages': [{'role': 'user', 'content': call.prompt}],
            'max_tokens': caller.output_tokens,
            'stream': caller.kind is CallKind.STREAM,
        },
    )


def _make_headers(caller: Caller, idempotency_key: str) -> dict[str, str]:
    headers = {'Content-Type': 'application/json'}
    if caller.key:
        headers['Authorization'] = f'Bearer {caller.key}'
    if caller.idempotent is not None:
        headers['Verbenamux-Idempotent'] = str(caller.idempotent).lower()
    if idempotency_key:
        headers['Idempotency-Key'] = idempotency_key
    if caller.deadline_ms is not None:
        headers['Verbenamux-Deadline-Ms'] = str(caller.deadline_ms)
    return headers


def _read_stream(
    response: Any,
    now: Callable[[], float],
    received: PartialResponse,
) -> None:
    texts = []
    while frame := bytes(response.readline(FRAME_END)):
        if received.first_token is None:
            received.first_token = now()
        if frame.startswith(ERROR_FRAME):
            received.error = _decode_error(frame.partition(b'data: ')[2])
            break
        if frame.startswith(DONE_FRAME):
            received.done = True
            break
        event = msgspec.json.decode(frame.partition(b'data: ')[2])
        texts.append(event['choices'][0]['delta'].get('content', ''))
        received.tokens = _total_tokens(event, received.tokens)
    received.text = ''.join(texts)


def _read_whole(
    response: Any,
    caller: Caller,
    now: Callable[[], float],
    received: PartialResponse,
) -> None:
    body = bytes(response.read())
    received.first_token = now()
    received.done = True
    decoded = msgspec.json.decode(body)
    if caller.kind is CallKind.SERVICE:
        received.text = decoded['echo']
        return
    received.text = decoded['choices'][0]['message']['content']
    received.tokens = _total_tokens(decoded, 0)


def _total_tokens(event: dict[str, Any], previous: int) -> int:
    usage = event.get('usage')
    return int(usage['total_tokens']) if usage else previous


def _decode_error(body: bytes) -> dict[str, Any]:
    decoded = msgspec.json.decode(body)
    error: dict[str, Any] = decoded.get('error', {})
    return error
