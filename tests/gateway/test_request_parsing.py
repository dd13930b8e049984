"""Bad input gets a typed failure that states the request did not run."""

import io
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from verbenamux_contracts.errors import ErrorCode, Run
from verbenamux_gateway.completions import (
    ChatBody,
    TextBody,
    assemble,
    measure_prompt,
    rewrite_body,
)
from verbenamux_gateway.request_parsing import decode_json, read_incoming

MAX_BODY_BYTES = 100
BODY_TIMEOUT = timedelta(seconds=1)


def environ(body: bytes = b'', **changes: str) -> dict[str, Any]:
    defaults: dict[str, Any] = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/v1/chat/completions',
        'QUERY_STRING': '',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
        'HTTP_AUTHORIZATION': 'Bearer the-key',
    }
    return defaults | changes


@pytest.mark.parametrize(
    ('request_environ', 'code'),
    [
        (environ(b'x' * 101), ErrorCode.BODY_TOO_LARGE),
        (environ(CONTENT_LENGTH='5'), ErrorCode.BODY_INCOMPLETE),
        (environ(CONTENT_LENGTH='-1'), ErrorCode.INVALID_HEADER),
        (environ(HTTP_X_NOTE='a\r\nb: c'), ErrorCode.INVALID_HEADER),
        (environ(HTTP_X_NOTE='x' * 9000), ErrorCode.INVALID_HEADER),
        (environ(HTTP_VERBENAMUX_IDEMPOTENT='no'), ErrorCode.INVALID_HEADER),
        (environ(HTTP_VERBENAMUX_PRIORITY='-1'), ErrorCode.INVALID_HEADER),
        (environ(HTTP_VERBENAMUX_PRIORITY='²'), ErrorCode.INVALID_HEADER),
        (
            environ(HTTP_VERBENAMUX_DEADLINE_MS='9' * 30),
            ErrorCode.INVALID_HEADER,
        ),
        (environ(HTTP_IDEMPOTENCY_KEY='k' * 256), ErrorCode.INVALID_HEADER),
        (environ(QUERY_STRING='k=the-key'), ErrorCode.INVALID_FIELD),
        (environ(QUERY_STRING='k=the%2Dkey'), ErrorCode.INVALID_FIELD),
        (environ(HTTP_X_NOTE='the-key'), ErrorCode.INVALID_FIELD),
        (environ(b'{"k": "the-key"}'), ErrorCode.INVALID_FIELD),
    ],
)
def test_invalid_request_is_refused(
    request_environ: dict[str, Any],
    code: ErrorCode,
) -> None:
    failure = read_incoming(
        request_environ, MAX_BODY_BYTES, BODY_TIMEOUT
    ).failure()
    assert failure.code is code
    assert failure.run is Run.NOT_RUN
    assert 400 <= failure.status < 500


def test_key_and_hop_headers_are_not_passed_on() -> None:
    incoming = read_incoming(
        environ(
            HTTP_COOKIE='session',
            HTTP_X_API_KEY='other',
            HTTP_VERBENAMUX_PRIORITY='3',
            HTTP_X_NOTE='kept',
        ),
        MAX_BODY_BYTES,
        BODY_TIMEOUT,
    ).unwrap()
    assert incoming.headers == (('x-note', 'kept'),)
    assert incoming.options.priority == 3


@given(
    st.dictionaries(
        st.sampled_from(
            [
                'HTTP_AUTHORIZATION',
                'HTTP_IDEMPOTENCY_KEY',
                'HTTP_VERBENAMUX_DEADLINE_MS',
                'HTTP_VERBENAMUX_IDEMPOTENT',
                'HTTP_VERBENAMUX_PRIORITY',
                'HTTP_X',
                'CONTENT_LENGTH',
                'QUERY_STRING',
                'PATH_INFO',
            ]
        ),
        st.text(max_size=40),
    ),
    st.binary(max_size=150),
)
def test_any_headers_and_body_give_a_request_or_a_typed_failure(
    changes: dict[str, str],
    body: bytes,
) -> None:
    read = read_incoming(environ(body, **changes), MAX_BODY_BYTES, BODY_TIMEOUT)
    if not is_successful(read):
        assert read.failure().run is Run.NOT_RUN


@given(st.binary(max_size=200) | st.text().map(lambda text: text.encode()))
def test_any_bytes_are_a_body_or_a_typed_failure(body: bytes) -> None:
    for expected in (ChatBody, TextBody):
        decoded = decode_json(body, expected)
        if not is_successful(decoded):
            assert 400 <= decoded.failure().status < 500


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (b'{', ErrorCode.INVALID_JSON),
        (b'{"model": "\xff"}', ErrorCode.INVALID_ENCODING),
        (b'[]', ErrorCode.INVALID_FIELD),
        (b'{"model": "m", "messages": []}', ErrorCode.INVALID_FIELD),
        (
            b'{"model":"m","messages":[{"role":"user"}],"max_tokens":0}',
            ErrorCode.INVALID_FIELD,
        ),
    ],
)
def test_bad_completion_body_gets_a_specific_code(
    body: bytes,
    code: ErrorCode,
) -> None:
    assert decode_json(body, ChatBody).failure().code is code


def test_rewriting_keeps_unknown_fields() -> None:
    body = rewrite_body(b'{"model":"a","temperature":0}', 'base', 'a', 5)
    assert b'"temperature":0' in body
    assert b'"model":"base"' in body
    assert b'"adapter":"a"' in body


def test_prompt_blocks_chain() -> None:
    words = [f'w{number}' for number in range(64)]
    whole = measure_prompt(' '.join(words))
    assert len(whole.blocks) == 2
    assert measure_prompt(' '.join(words[:32])).blocks == whole.blocks[:1]


def test_events_assemble_to_a_complete_answer(clock: Any) -> None:
    events = [
        b'{"choices":[{"delta":{"content":"a "}}]}',
        b'{"choices":[{"delta":{},"finish_reason":"stop"}],'
        b'"usage":{"total_tokens":3}}',
    ]
    body = assemble(events, 'req', 'm', clock.now(), chat=True)
    assert b'"content":"a "' in body
    assert b'"finish_reason":"stop"' in body
    assert b'"total_tokens":3' in body
