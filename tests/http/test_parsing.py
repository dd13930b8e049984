"""Bytes of callers and targets: split anywhere, malformed, or too many."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenamux_http.errors import ExchangeFailure, Fault, RequestError
from verbenamux_http.parsing import (
    MAX_FRAMING_BYTES,
    RequestParser,
    ResponseParser,
    SizeLimits,
)

LIMITS = SizeLimits(header_bytes=400, body_bytes=100)
POST = b'POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello'
CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
)
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'


def parse(*pieces):
    parser = RequestParser(lambda: LIMITS)
    for piece in pieces:
        parser.feed(piece)
    return parser


@given(cut=st.integers(0, len(POST + CHUNKED)))
def test_requests_split_anywhere_parse_the_same(cut):
    stream = POST + CHUNKED
    first, second = parse(stream[:cut], stream[cut:]).complete
    assert (first.method, first.target, first.body) == (
        'POST',
        '/a/b?c',
        b'hello',
    )
    assert second.body == b'hello'
    assert second.is_chunked


@given(noise=st.binary(max_size=200))
def test_noise_is_a_request_or_a_typed_error(noise):
    parser = RequestParser(lambda: LIMITS)
    with contextlib.suppress(RequestError):
        parser.feed(noise)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n'
            b'Content-Length: 6\r\n\r\nhello',
            400,
        ),
        (b'GET / HTTP/1.1\r\nbroken line\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: h\r\nA: ' + b'x' * 500 + b'\r\n\r\n', 431),
        (b'GET /' + b'x' * 500 + b' HTTP/1.1\r\n\r\n', 431),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n', 413),
    ],
)
def test_bad_requests_are_refused_with_their_status(sent, status):
    with pytest.raises(RequestError) as raised:
        parse(sent)
    assert raised.value.status == status


def test_chunks_over_the_limit_are_refused():
    head = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    with pytest.raises(RequestError) as raised:
        parse(head, *[b'32\r\n' + b'x' * 50 + b'\r\n'] * 3)
    assert raised.value.status == 413


@given(cut=st.integers(0, len(ANSWER)))
def test_answers_split_anywhere_parse_the_same(cut):
    parser = ResponseParser()
    parser.feed(ANSWER[:cut])
    parser.feed(ANSWER[cut:])
    assert parser.is_complete
    assert b''.join(parser.pieces) == b'hello'
    assert not parser.has_surplus


@pytest.mark.parametrize('surplus', [b'x', b'HTTP/1.1 200 OK\r\n', ANSWER])
def test_bytes_after_an_answer_are_surplus(surplus):
    parser = ResponseParser()
    parser.feed(ANSWER + surplus)
    assert parser.is_complete
    assert parser.has_surplus
    assert b''.join(parser.pieces) == b'hello'


def test_an_answer_without_length_ends_with_its_connection():
    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 200 OK\r\n\r\nhel')
    assert not parser.is_complete
    parser.feed(b'lo')
    parser.finish()
    assert parser.is_complete
    assert not parser.head.keeps_connection


def test_a_close_does_not_end_an_answer_with_a_length():
    parser = ResponseParser()
    parser.feed(ANSWER[:-1])
    parser.finish()
    assert not parser.is_complete


@pytest.mark.parametrize('status', [100, 102, 103, 104, 199])
@pytest.mark.parametrize('length', [b'', b'Content-Length: 0\r\n'])
def test_interim_answers_are_skipped(status, length):
    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 %d Wait\r\n%b\r\n%b' % (status, length, ANSWER))
    assert parser.head.status == 200
    assert parser.is_complete


@pytest.mark.parametrize('status', [0, 1, 99, 600, 999])
@pytest.mark.parametrize(
    'rest',
    [
        b'\r\n',
        b'Content-Length: 0\r\n\r\n',
        b'Content-Length: 4\r\n\r\noops',
    ],
    ids=['unframed', 'empty', 'body'],
)
def test_a_status_that_does_not_exist_is_an_answer(status, rest):
    """Issue 55: below 100 it was skipped as interim, but not its body."""
    parser = ResponseParser()
    with pytest.raises(ExchangeFailure) as raised:
        parser.feed(b'HTTP/1.1 %03d Odd\r\n%b%b' % (status, rest, ANSWER))
    assert raised.value.fault is Fault.MALFORMED
    assert f'{status:03}' in raised.value.message
    assert parser.head is None
    assert not parser.pieces


@pytest.mark.parametrize('status', [100, 102, 103, 104, 199])
@pytest.mark.parametrize(
    'body',
    [
        b'Content-Length: 4\r\n\r\noops',
        b'Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n',
    ],
    ids=['length', 'chunks'],
)
def test_the_body_of_an_interim_answer_precedes_the_next_body(status, body):
    """Issue 55: the body of what is skipped was kept, from 104 on."""
    parser = ResponseParser()
    with pytest.raises(ExchangeFailure) as raised:
        parser.feed(b'HTTP/1.1 %d Wait\r\n%b%b' % (status, body, ANSWER))
    assert raised.value.fault is Fault.MALFORMED
    assert parser.head is None
    assert not parser.pieces


@pytest.mark.parametrize('status', [200, 299, 404, 499, 500, 599])
def test_any_other_status_is_an_answer(status):
    parser = ResponseParser()
    parser.feed(ANSWER.replace(b'200', b'%d' % status))
    assert parser.head.status == status
    assert parser.is_complete


@pytest.mark.parametrize('version', [b'0.0', b'0.9', b'1.2', b'2.0', b'3.0'])
@pytest.mark.parametrize('status', [100, 200])
def test_another_version_of_the_protocol_is_an_answer(version, status):
    """Issue 55: 0.9 and 2.0 were taken."""
    odd = b'HTTP/%b %d Odd\r\n\r\n' % (version, status)
    parser = ResponseParser()
    with pytest.raises(ExchangeFailure) as raised:
        parser.feed(odd + ANSWER)
    assert raised.value.fault is Fault.MALFORMED
    assert parser.head is None


def test_an_answer_of_version_1_0_is_an_answer():
    parser = ResponseParser()
    parser.feed(ANSWER.replace(b'1.1', b'1.0'))
    assert parser.is_complete
    assert not parser.head.keeps_connection


# A blank, a tab, a control byte or a byte from 0x7F on, wherever it stands; a
# folded line, no name, no colon.
BAD_LINES = [
    *(
        name + b': 4'
        for byte in (
            b' ',
            b'\t',
            b'\0',
            b'\x01',
            b'\x1f',
            b'\x7f',
            b'\x80',
            b'\xff',
        )
        for name in (byte + b'Name', b'Na' + byte + b'me', b'Name' + byte, byte)
    ),
    b'Content-Length : 4',
    b'Transfer-Encoding\t: chunked',
    b': 4',
    b'Name',
]


@pytest.mark.parametrize('line', BAD_LINES)
@pytest.mark.parametrize('fields', [b'', b'Name: field\r\n'])
@pytest.mark.parametrize('length', [b'', b'Content-Length: 5\r\n'])
def test_a_bad_name_in_a_head_is_refused(line, fields, length):
    parser = ResponseParser()
    with pytest.raises(ExchangeFailure) as raised:
        parser.feed(
            b'HTTP/1.1 200 OK\r\n%b%b\r\n%b\r\nhello' % (fields, line, length)
        )
    assert raised.value.fault is Fault.MALFORMED
    assert parser.head is None
    assert not parser.pieces


@pytest.mark.parametrize('line', BAD_LINES)
@pytest.mark.parametrize('fields', [b'', b'Name: field\r\n'])
def test_a_bad_name_in_a_trailer_is_refused(line, fields):
    parser = ResponseParser()
    parser.feed(CHUNKED_HEAD + b'5\r\nhello\r\n')
    with pytest.raises(ExchangeFailure) as raised:
        parser.feed(b'0\r\n%b%b\r\n\r\n' % (fields, line))
    assert raised.value.fault is Fault.MALFORMED
    assert not parser.is_complete


@given(noise=st.binary(min_size=1, max_size=200))
def test_noise_is_no_whole_answer_or_a_typed_failure(noise):
    parser = ResponseParser()
    try:
        parser.feed(noise)
    except ExchangeFailure as failure:
        assert failure.fault is Fault.MALFORMED


@pytest.mark.parametrize(
    ('start', 'endless_bytes'),
    [
        (b'HTTP/1.1 200 ', b'O' * 4096),
        (b'HTTP/1.1 200 OK\r\nA: ', b'x' * 4096),
        (b'HTTP/1.1 200 OK\r\n', b'Name: field\r\n' * 400),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 200),
        (CHUNKED_HEAD + b'5;a=', b'x' * 4096),
        (CHUNKED_HEAD + b'0\r\n', b'Name: field\r\n' * 400),
    ],
    ids=['status', 'field', 'fields', 'interim', 'extension', 'trailers'],
)
def test_endless_framing_of_an_answer_is_refused(start, endless_bytes):
    parser = ResponseParser()
    parser.feed(start)
    with pytest.raises(ExchangeFailure) as raised:
        for _ in range(2 * MAX_FRAMING_BYTES // len(endless_bytes)):
            parser.feed(endless_bytes)
    assert raised.value.fault is Fault.TOO_LARGE


def test_a_long_head_and_a_longer_body_are_an_answer():
    """Legitimate answers stay far below the limit."""
    fields = b'Name: field\r\n' * 1000
    parser = ResponseParser()
    parser.feed(CHUNKED_HEAD[:-2] + fields + b'\r\n')
    for _ in range(100):
        parser.feed(b'1000\r\n' + b'x' * 4096 + b'\r\n')
    parser.feed(b'0\r\n\r\n')
    assert parser.is_complete
    assert sum(map(len, parser.pieces)) == 100 * 4096
