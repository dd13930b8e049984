"""Callers of a gateway whose targets break two of three answers.

Real processes; the targets are raw sockets, and every request is an upload that
is longer than the buffers on its way.
"""

import contextlib
from dataclasses import replace
from itertools import count
from random import Random

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from connection_ends import end, reset
from soak.callers import Callers
from soak.checking import answers_are_the_targets
from soak.evidence import Attempt, Evidence
from soak.targets import Target, proof_of, whole_answer
from soak.world import World
from verbenamux_http.client import ConnectionPool

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]

SLOT = 82
GATEWAYS = ('gateway-1',)
PLAINS = ('plain-4', 'plain-5')
UPLOAD = b'x' * (3 * 1024 * 1024)
# Far less than an upload, so that it is still being written.
RECEIVE_BUFFER_BYTES = 65536
CALLERS = 6
REQUESTS_PER_CALLER = 10
SOUND_EACH = 3
PLAY_SECONDS = 60


def head(request_id, *fields, status='200 OK'):
    """Return the head of an answer; it has no length unless a field says so."""
    lines = (
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {request_id}',
        f'Server-Signature: {proof_of(request_id)}',
        *fields,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def framed(request_id, *fields, status='200 OK'):
    body = whole_answer(request_id)
    length = f'Content-Length: {len(body)}'
    return head(request_id, length, *fields, status=status) + body


class RawTarget(Target):
    """A plain target that writes the bytes of its answers itself."""

    def __init__(self, *given):
        super().__init__(*given)
        self.numbers = count(1)
        self.answer_broken = None
        self.answered_ids = set()

    def make_server(self, address):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(address)
        listener.listen()
        return StreamServer(listener, self.serve)

    def serve(self, opened, _peer):
        with contextlib.suppress(OSError):
            while self.answer_next(opened):
                pass

    def answer_next(self, opened):
        """Answer a request; return whether the connection is kept."""
        received = b''
        while b'\r\n\r\n' not in received:
            piece = opened.recv(4096)
            if not piece:
                return False
            received += piece
        start, _, body = received.partition(b'\r\n\r\n')
        fields = dict(
            line.split(': ', 1) for line in start.decode().split('\r\n')[1:]
        )
        request_id = fields['Attempt-Id']
        upload = Upload(opened, int(fields['Content-Length']) - len(body))
        if next(self.numbers) % SOUND_EACH:
            self.answer_broken(opened, request_id, upload)
            return False
        upload.read()
        self.answered_ids.add(request_id)
        opened.sendall(framed(request_id))
        return True


class Upload:
    """What has not been read of a request's body."""

    def __init__(self, opened, unread_bytes):
        self.opened = opened
        self.unread_bytes = unread_bytes

    def read(self):
        while self.unread_bytes > 0:
            piece = self.opened.recv(self.unread_bytes)
            if not piece:
                raise ConnectionError('the upload was broken off')
            self.unread_bytes -= len(piece)


def reset_behind_a_part(opened, request_id, _upload):
    opened.sendall(head(request_id) + whole_answer(request_id)[:4])
    reset(opened)


def write_once_read(make_answer):
    """Return a target's way to write some bytes once it read the upload."""

    def answer(opened, request_id, upload):
        upload.read()
        opened.sendall(make_answer(request_id))
        # Until the gateway closes the connection.
        opened.recv(1)

    return answer


def end_in_good_order(opened, request_id, upload):
    opened.sendall(head(request_id) + whole_answer(request_id))
    end(opened)
    upload.read()


class Uploads(Callers):
    """Callers that each send some long requests, one after the other."""

    def start(self):
        for number in range(CALLERS):
            self.tasks.append(gevent.spawn(self.run_caller, number))

    def run_caller(self, number):
        for turn in range(REQUESTS_PER_CALLER):
            kind = ('look', 'order')[turn % 2]
            attempt = Attempt(
                f'{kind}-{number}-{turn}',
                kind,
                'kept',
                'w1',
                GATEWAYS[0],
                self.world.now(),
                self.world.timeout_ms_by_kind[kind] / 1000,
            )
            # A connection of its own: the upload may outlast a broken answer.
            self.send(ConnectionPool(self.world.clock.elapsed), attempt)

    def make_request(self, attempt):
        outgoing = super().make_request(attempt)
        length = (('Content-Length', str(len(UPLOAD))),)
        return replace(
            outgoing, headers=outgoing.headers.replaced(length), body=UPLOAD
        )


@pytest.fixture(scope='module')
def world(tmp_path_factory):
    folder = tmp_path_factory.mktemp('broken_answers')
    made = World(folder, SLOT, Random(1), GATEWAYS, PLAINS)
    made.plain_class = RawTarget
    # A proxy would turn a reset into an orderly end.
    made.are_targets_proxied = False
    made.start(GATEWAYS)
    yield made
    made.stop()


def raw_targets(world):
    return [world.targets[name] for name in PLAINS]


def play(world, answer_broken):
    """Return what the callers got."""
    for target in raw_targets(world):
        target.answer_broken = answer_broken
        target.answered_ids.clear()
    evidence = Evidence()
    load = Uploads(world, evidence, Random(1))
    load.start()
    gevent.joinall(load.tasks, timeout=PLAY_SECONDS)
    assert len(evidence.attempts) == CALLERS * REQUESTS_PER_CALLER
    return evidence


def statuses(evidence):
    return {attempt.status for attempt in evidence.attempts}


def assert_only_sound_answers(world, evidence):
    """Check that every success is an answer that a target did not break."""
    assert not list(answers_are_the_targets(evidence))
    answered_ids = set().union(
        *(target.answered_ids for target in raw_targets(world))
    )
    success_ids = {
        attempt.request_id
        for attempt in evidence.attempts
        if attempt.status == 200
    }
    assert success_ids <= answered_ids
    assert statuses(evidence) == {200, 502}


def test_a_part_of_an_answer_reaches_callers_as_a_whole_one(world):
    """Issue 55, MIXED: its connection was reset during the upload."""
    assert_only_sound_answers(world, play(world, reset_behind_a_part))


def test_an_answer_that_ends_with_its_connection_reaches_callers(world):
    """As above, but its connection ends in good order during the upload."""
    evidence = play(world, end_in_good_order)
    assert not list(answers_are_the_targets(evidence))
    assert statuses(evidence) == {200}


# Bytes that are no answer, some with a whole answer behind them.
MALFORMED_ANSWERS = {
    'status-000': lambda name: framed(name, status='000 Odd'),
    'status-000-then-200': lambda name: (
        framed(name, status='000 Odd') + framed(name)
    ),
    'empty-status-000-then-200': lambda name: (
        head(name, 'Content-Length: 0', status='000 Odd') + framed(name)
    ),
    'interim-with-body-then-200': lambda name: (
        framed(name, status='199 Odd') + framed(name)
    ),
    'status-600': lambda name: framed(name, status='600 Odd'),
    'blank-in-name': lambda name: framed(name, 'Odd Name: 1'),
    'control-byte-in-name': lambda name: framed(name, 'Odd\x01: 1'),
    'blank-behind-length': lambda name: (
        head(name, 'Content-Length : 4') + whole_answer(name)
    ),
    'version-2.0': lambda name: framed(name).replace(b'1.1', b'2.0', 1),
}


@pytest.mark.parametrize(
    'make_answer', MALFORMED_ANSWERS.values(), ids=MALFORMED_ANSWERS
)
def test_what_is_no_answer_reaches_callers(world, make_answer):
    """Issue 55: MIXED, or a 504 at the end of the caller's time."""
    evidence = play(world, write_once_read(make_answer))
    assert_only_sound_answers(world, evidence)
