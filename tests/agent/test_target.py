"""Answers of an agent's target that are early, broken off or malformed."""

import gevent
import pytest
from gevent.server import StreamServer
from returns.pipeline import is_successful

from connection_ends import end, end_and_reset, reset
from verbenamux_agent.target import (
    NETWORK_ERRORS,
    Call,
    TargetClient,
    read_chunks,
)
from verbenamux_contracts.errors import Run

DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\ndone'
TOO_LARGE = b'HTTP/1.1 413 No\r\nContent-Length: 5\r\n\r\nlarge'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
UPLOAD = b'x' * 8_000_000
RETRIES = pytest.mark.parametrize('no_retry', [False, True])


class Target:
    """Answers each request with the next scripted bytes; None is a close."""

    def __init__(self, *script):
        self.script = list(script)
        self.connections = 0
        self.server = StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.client = TargetClient(f'127.0.0.1:{self.server.address[1]}', 1)

    def serve(self, opened, _peer):
        self.connections += 1
        while self.script and opened.recv(65536):
            answer = self.script.pop(0)
            if answer is None:
                return
            opened.sendall(answer)


class EarlyTarget(Target):
    """Answers while the upload is written, then goes on as `finish` does."""

    def __init__(self, answer, finish):
        super().__init__(answer)
        self.finish = finish

    def serve(self, opened, _peer):
        opened.recv(65536)
        gevent.sleep(0.05)
        opened.sendall(self.script.pop(0))
        self.finish(opened)


def end_and_read_on(opened):
    end(opened)
    while opened.recv(65536):
        pass


def post(target, no_retry, body=b'x'):
    with gevent.Timeout(3):
        return target.client.open(Call('POST', '/', body, no_retry=no_retry))


def read(response):
    return response.status_code, b''.join(read_chunks(response))


@RETRIES
@pytest.mark.parametrize(
    'answer',
    [
        DONE.replace(b'200', b'000') + DONE,
        b'HTTP/1.1 000 Odd\r\n\r\n' + DONE,
        b'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n' + DONE,
        DONE.replace(b'200', b'099'),
        DONE.replace(b'200', b'199') + DONE,
        DONE.replace(b'200', b'600'),
        DONE.replace(b'1.1', b'0.9'),
        DONE.replace(b'1.1', b'2.0'),
    ],
)
@pytest.mark.parametrize('method', ['POST', 'HEAD'])
def test_what_is_no_answer_is_taken_for_one(answer, method, no_retry):
    """Issue 55: interim ones were skipped but for their body, others taken."""
    target = Target(*[answer] * 9)
    with gevent.Timeout(3):
        opened = target.client.open(Call(method, '/', no_retry=no_retry))
    assert not is_successful(opened)
    assert opened.failure().run is Run.UNKNOWN


@RETRIES
@pytest.mark.parametrize('line', [b'A B: 1', b'A\x01: 1', b'A : 1', b'A'])
def test_a_bad_field_name_is_refused(line, no_retry):
    answer = DONE.replace(b'\r\n\r\n', b'\r\n%b\r\n\r\n' % line)
    assert not is_successful(post(Target(answer), no_retry))


@RETRIES
def test_a_part_is_taken_for_an_answer_that_ends_with_its_connection(no_retry):
    """Issue 55: the connection was reset during the upload."""
    opened = post(EarlyTarget(UNFRAMED, reset), no_retry, UPLOAD)
    if is_successful(opened):
        with pytest.raises(NETWORK_ERRORS):
            read(opened.unwrap())


@RETRIES
@pytest.mark.parametrize('finish', [end_and_reset, end_and_read_on])
def test_an_answer_that_ends_during_the_upload_is_whole(finish, no_retry):
    opened = post(EarlyTarget(UNFRAMED, finish), no_retry, UPLOAD)
    assert read(opened.unwrap()) == (200, b'done')


@RETRIES
def test_an_early_refusal_is_an_answer(no_retry):
    opened = post(EarlyTarget(TOO_LARGE, reset), no_retry, UPLOAD)
    assert read(opened.unwrap()) == (413, b'large')


@RETRIES
def test_interim_answers_are_skipped(no_retry):
    opened = post(Target(CONTINUE + DONE), no_retry)
    assert read(opened.unwrap()) == (200, b'done')


def test_a_connection_is_kept():
    target = Target(DONE, DONE)
    for _ in range(2):
        assert read(post(target, no_retry=False).unwrap()) == (200, b'done')
    assert target.connections == 1


def test_a_call_that_may_be_repeated_outlives_its_connection():
    target = Target(None, DONE)
    assert target.client.exchange(Call('GET', '/')).unwrap() == b'done'
    assert target.connections == 2


def test_a_call_that_may_not_be_repeated_is_sent_once():
    target = Target(None, DONE)
    assert not is_successful(post(target, no_retry=False))
    assert target.connections == 1


def test_the_answer_to_a_head_has_no_body():
    target = Target(DONE.removesuffix(b'done'))
    with gevent.Timeout(3):
        opened = target.client.open(Call('HEAD', '/'))
        assert read(opened.unwrap()) == (200, b'')
