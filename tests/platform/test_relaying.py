"""One request through a gateway to targets over real sockets on loopback."""

import contextlib
from dataclasses import replace
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from verbenamux_contracts.clock import SystemClock
from verbenamux_http.client import BodyRoom, ConnectionPool
from verbenamux_http.errors import (
    CallerGone,
    ExchangeFailure,
    Fault,
    ListenerStopping,
)
from verbenamux_http.headers import Headers
from verbenamux_http.parsing import Request, RequestParser, SizeLimits
from verbenamux_platform.dialect import platform_dialect
from verbenamux_relay import relaying, sending
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import (
    Catalog,
    EngineTerms,
    ModelTerms,
    Route,
    RouteKind,
    Service,
    Share,
    Workspace,
    routes_by_host,
)
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.job import OpenJobs
from verbenamux_relay.loading import Loader
from verbenamux_relay.picking import Beliefs, PaceBook
from verbenamux_relay.prompts import PromptMemory
from verbenamux_relay.relaying import RelayTools, relay
from verbenamux_relay.repeats import RepeatBudget
from verbenamux_relay.sending import (
    CONNECT_MOST,
    CONNECTING_MOST,
    GAP_PATIENCE,
    SendTools,
)
from verbenamux_relay.settling import Knowledge, SettleTools
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.targets import (
    TargetBook,
    TargetEntry,
    TargetReport,
)
from verbenamux_runtime.metrics import Metrics

SECOND = timedelta(seconds=1)
SIZES = SizeLimits(65536, 65536)
PROOF = b'Server-Signature: proof\r\n'
DONE = b'HTTP/1.1 200 OK\r\n%bContent-Length: 4\r\n\r\ndone' % PROOF
FULL = b'HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
FAILED = b'HTTP/1.1 500 No\r\n%bContent-Length: 3\r\n\r\nbad' % PROOF
OTHER = b'HTTP/1.1 421 No\r\nInstance-Id: someone\r\nContent-Length: 0\r\n\r\n'
STREAM_HEAD = b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n' % PROOF


ENGINE = EngineTerms(
    1,
    1,
    1,
    1,
    1,
    {'m': ModelTerms('m', 1, SECOND, SECOND, SECOND)},
)


def event(number):
    encoded = b'id: %d\ndata: x\n\n' % number
    return b'%x\r\n%b\r\n' % (len(encoded), encoded)


class FakeTarget:
    """A target that gives each request the next of its answers.

    An answer may be a list of pieces; `None` ends the connection there.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.server = StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()

    def serve(self, opened, _peer):
        parser = RequestParser(lambda: SIZES)
        while piece := opened.recv(65536):
            parser.feed(piece)
            while parser.complete:
                self.requests.append(parser.complete.popleft())
                if not self.answer(opened):
                    opened.close()
                    return

    def answer(self, opened):
        answer = self.answers.pop(0) if self.answers else None
        for piece in answer if isinstance(answer, list) else [answer]:
            if piece is None:
                return False
            opened.sendall(piece)
            gevent.sleep(0.01)
        return True


class EndlessTarget(FakeTarget):
    """A target that sends a start, then a piece until its caller closes."""

    def __init__(self, start, piece, pause):
        super().__init__()
        self.start = start
        self.piece = piece
        self.pause = pause
        self.was_closed = Event()

    def answer(self, opened):
        with contextlib.suppress(OSError):
            opened.sendall(self.start)
            while True:
                gevent.sleep(self.pause)
                opened.sendall(self.piece)
        self.was_closed.set()
        return False


class FakeReply:
    """Collects what a caller would get."""

    def __init__(self):
        self.is_started = False
        self.is_complete = False
        self.status = None
        self.headers = Headers()
        self.body = b''

    def check_wanted(self):
        pass

    def send(self, status, headers, body):
        self.start(status, headers)
        self.body = body
        self.is_complete = True

    def start(self, status, headers):
        assert not self.is_started
        self.is_started = True
        self.status = status
        self.headers = headers

    def send_piece(self, piece):
        self.body += piece

    def finish(self):
        self.is_complete = True


class World:
    """A gateway's tools over some targets and one route."""

    def __init__(self, *targets, kind=RouteKind.IDEMPOTENT, **route):
        self.clock = SystemClock()
        self.lines = []
        self.trusted = True
        self.book = TargetBook()
        self.targets = {}
        for number, target in enumerate(targets):
            self.targets[f't{number}'] = target
            self.book.put(
                TargetEntry(
                    f't{number}',
                    'service',
                    target.server.address,
                    'here',
                    8,
                ),
                timedelta(),
            )
        self.route = Route(
            'r',
            'host',
            '/',
            kind,
            SECOND,
            SECOND * 0.3,
            (Share('service', 1),),
            **({'attempts_most': 2} | route),
        )
        self.workspace = Workspace('w', frozenset(('key',)))
        self.service = Service('service', 100)
        self.allowance = Allowance(self.clock.elapsed)
        self.budget = RepeatBudget(self.clock.elapsed, SECOND * 10, 0.2, 10)
        self.sequence = count(1)

    def knowledge(self):
        catalog = Catalog(
            1,
            routes_by_host([self.route]),
            {'service': self.service},
            dict.fromkeys(self.workspace.keys, self.workspace),
            has_workspaces=True,
        )
        return Knowledge(catalog, timedelta(), self.trusted)

    def log(self, event, **fields):
        self.lines.append((event, fields))

    def tools(self):
        dialect = platform_dialect()
        clock = self.clock
        pool = ConnectionPool(clock.elapsed, BodyRoom(4_000_000))

        def on_first_event(job, _target, sent):
            sent.is_started = True
            job.first_event_at = job.first_event_at or clock.elapsed()

        demand = DemandMeter(clock.elapsed)
        return RelayTools(
            sending=SendTools(clock, pool, dialect, on_first_event),
            settling=SettleTools(
                clock,
                dialect,
                self.allowance,
                Metrics(),
                Random(1),
                self.knowledge,
                self.log,
            ),
            beliefs=Beliefs(self.book, PromptMemory(), PaceBook(), 'here'),
            loader=Loader(
                self.book,
                lambda _target: None,
                clock,
                self.log,
                lambda name, **labels: None,
                demand.current,
            ),
            demand=demand,
            budget_of=lambda _service: self.budget,
            open_jobs=OpenJobs(),
            stop=StopPlan(),
            sequence=self.sequence,
        )

    def ask(self, headers=(), key='key', body=b'', tools=None):
        fields = {
            'Host': 'host',
            'Attempt-Id': 'id-1',
            'Deadline-Ms': '900',
            'Authorization': f'Bearer {key}',
        } | dict(headers)
        if body:
            fields['Content-Length'] = str(len(body))
        request = Request(
            'POST',
            '/path?query',
            Headers(tuple(fields.items())),
            body,
            is_chunked=False,
            keeps_connection=True,
        )
        reply = FakeReply()
        relay(request, reply, tools or self.tools())
        return reply

    def sent(self):
        return [
            request
            for target in self.targets.values()
            for request in target.requests
        ]


def test_an_answer_passes_unchanged():
    world = World(FakeTarget(DONE))
    reply = world.ask(body=b'bytes')
    assert (reply.status, reply.body) == (200, b'done')
    assert reply.headers.get('Server-Signature') == 'proof'
    request = world.sent()[0]
    assert (request.method, request.target, request.body) == (
        'POST',
        '/path?query',
        b'bytes',
    )


def test_a_target_gets_the_workspace_and_never_the_key():
    world = World(FakeTarget(DONE))
    world.ask({'Tenant': 'forged', 'Hold': 'mine', 'Kv-From': 'there'})
    headers = world.sent()[0].headers
    assert headers.get('Tenant') == 'w'
    assert headers.get('Expected-Instance') == 't0'
    assert headers.get('Authorization') is None
    assert headers.get('Hold') is None
    assert headers.get('Kv-From') is None
    assert int(headers.get('Deadline-Ms')) <= 900


@pytest.mark.parametrize('refusal', [FULL, OTHER])
@pytest.mark.parametrize(
    'kind',
    [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT],
)
def test_what_did_not_run_goes_to_another_target(refusal, kind):
    world = World(FakeTarget(refusal), FakeTarget(refusal, DONE), kind=kind)
    world.targets['t1'].answers = [DONE]
    reply = world.ask()
    assert reply.status == 200


def test_a_target_whose_address_is_anothers_gets_nothing_more():
    """All engines restarted; the registry still lists their last lives."""
    world = World(FakeTarget(OTHER, OTHER), FakeTarget(OTHER, OTHER))
    assert [world.ask().status for _ in range(3)] == [503, 503, 503]
    asked = [len(target.requests) for target in world.targets.values()]
    assert asked == [1, 1]


def test_only_what_may_be_repeated_is_sent_again_after_a_lost_answer():
    for kind, status in (
        (RouteKind.IDEMPOTENT, 200),
        (RouteKind.NON_IDEMPOTENT, 502),
    ):
        world = World(FakeTarget(None, DONE), FakeTarget(None, DONE), kind=kind)
        world.targets['t1'].answers = [DONE]
        world.targets['t0'].answers = [None]
        outcomes = {world.ask().status for _ in range(1)}
        if len(world.sent()) == 1 and outcomes == {200}:
            continue
        assert outcomes == {status}


def test_a_request_that_may_have_run_is_never_said_not_to_have():
    world = World(
        FakeTarget(None),
        FakeTarget(FULL),
        kind=RouteKind.NON_IDEMPOTENT,
        attempts_most=1,
    )
    for target in world.targets.values():
        target.answers = [None]
    assert world.ask().status == 502
    assert len(world.sent()) == 1


def test_full_targets_are_an_honest_refusal_with_a_time():
    world = World(FakeTarget(FULL), FakeTarget(FULL))
    reply = world.ask()
    assert reply.status == 503
    assert 0 < float(reply.headers.get('Retry-After')) <= 0.5


def test_a_targets_failure_is_repeated_then_passed_on():
    world = World(FakeTarget(FAILED), FakeTarget(FAILED))
    reply = world.ask()
    assert (reply.status, reply.body) == (500, b'bad')
    assert len(world.sent()) == 2


def test_without_budget_nothing_is_repeated():
    world = World(FakeTarget(FAILED), FakeTarget(FAILED))
    world.budget = RepeatBudget(world.clock.elapsed, SECOND, 0, 0)
    assert world.ask().status == 500
    assert len(world.sent()) == 1


def test_an_answer_to_another_request_is_not_passed_on():
    crossed = DONE.replace(PROOF, PROOF + b'Attempt-Id: other\r\n')
    world = World(FakeTarget(crossed), attempts_most=1)
    assert world.ask().status == 502


def test_a_success_without_proof_is_not_passed_on():
    world = World(FakeTarget(DONE.replace(PROOF, b'')), attempts_most=1)
    assert world.ask().status == 502


def test_a_stream_is_resumed_behind_its_last_whole_event():
    broken = [STREAM_HEAD, event(1), event(2), b'5\r\nid: 3', None]
    rest = [STREAM_HEAD, event(3), event(4), b'0\r\n\r\n']
    world = World(
        FakeTarget(broken),
        FakeTarget(rest),
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    world.book.by_id['t1'].failure_rate = 0.5
    reply = world.ask()
    assert reply.is_complete
    assert reply.body == b''.join(
        b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3, 4)
    )
    resumed = world.targets['t1'].requests[0]
    assert resumed.headers.get('Last-Event-Id') == '2'


def test_a_silent_stream_goes_on_where_nothing_else_can_resume_it():
    """It was cut after 1.2 s, while its only target was still at work.

    A target's silence is no reason to end an answer sooner.
    """

    class PausingTarget(FakeTarget):
        def answer(self, opened):
            for piece in (STREAM_HEAD, event(1)):
                opened.sendall(piece)
            gevent.sleep(1.5)
            opened.sendall(event(2) + b'0\r\n\r\n')
            return True

    world = World(PausingTarget(), kind=RouteKind.STREAMING, is_resumable=True)
    world.route = replace(world.route, timeout=SECOND * 5)
    reply = world.ask({'Deadline-Ms': '4500'})
    assert reply.body.count(b'id: ') == 2
    assert reply.is_complete


@pytest.mark.parametrize(
    'field',
    [
        'Server-Load: \xb2,1,8',
        'Keep-Alive: timeout=\xb2',
        'Keep-Alive: timeout=99999999999999999',
    ],
)
def test_an_odd_number_in_a_targets_headers_spoils_no_answer(field):
    """It raised in the gateway, which answered 502 in the answer's place."""
    line = f'{field}\r\nContent-Length'.encode('latin-1')
    world = World(FakeTarget(DONE.replace(b'Content-Length', line)))
    reply = world.ask()
    assert (reply.status, reply.body) == (200, b'done')


SILENT = [b'']
STREAM = [STREAM_HEAD, event(1), event(2), b'0\r\n\r\n']
FIRST_ONLY = [STREAM_HEAD, event(1)]
# How long callers stay, and by when a silent target must be left: twice what
# makes it suspect, and some for a busy processor.
STAY = {'Deadline-Ms': '6000'}
LEFT_BY = timedelta(seconds=2.5)


def streams(*targets):
    """Return a world of resumable streams that go to the first target."""
    world = World(*targets, kind=RouteKind.STREAMING, is_resumable=True)
    world.route = replace(world.route, timeout=SECOND * 6)
    world.book.by_id['t1'].failure_rate = 0.5
    return world


def outcomes(world, callers):
    """Return how callers that come 20 ms apart end, and how long it took."""

    def ask():
        started = world.clock.elapsed()
        reply = world.ask(STAY)
        return reply, world.clock.elapsed() - started

    asking = []
    for _ in range(callers):
        asking.append(gevent.spawn(ask))
        gevent.sleep(0.02)
    gevent.joinall(asking, raise_error=True)
    return [caller.value for caller in asking]


@pytest.mark.parametrize('answer', [SILENT, FIRST_ONLY])
def test_a_target_that_falls_silent_is_left_by_all_requests(answer):
    """inc-ccbf: a target crashed, and its connections went silent.

    It answered another request once these were sent, so that they waited on
    until their callers left: 'heard since' was taken for 'alive'.
    """
    world = streams(
        FakeTarget(answer, answer, answer, STREAM),
        FakeTarget(*[STREAM] * 4),
    )
    ended = outcomes(world, 4)
    assert [reply.is_complete for reply, _ in ended] == [True] * 4
    assert len(world.targets['t1'].requests) == 3
    assert max(took for _, took in ended) < LEFT_BY


def test_a_busy_target_that_answers_others_is_waited_for():
    """To break off at a target that is late for all only adds work."""
    late = [b'', *[b''] * 100, *STREAM]
    pieces = [STREAM_HEAD, *map(event, range(120)), b'0\r\n\r\n']
    world = streams(FakeTarget(late, pieces), FakeTarget(STREAM, STREAM))
    ended = outcomes(world, 2)
    assert all(reply.is_complete for reply, _ in ended)
    assert not world.targets['t1'].requests


def test_a_stream_that_can_not_be_resumed_never_looks_complete():
    broken = [STREAM_HEAD, event(1), None]
    world = World(FakeTarget(broken), kind=RouteKind.STREAMING)
    reply = world.ask()
    assert reply.is_started
    assert not reply.is_complete


@pytest.mark.parametrize(
    ('key', 'trusted', 'status'),
    [('wrong', True, 401), ('key', False, 503), ('key', True, 200)],
)
def test_keys_count_only_while_they_are_confirmed(key, trusted, status):
    world = World(FakeTarget(DONE))
    world.trusted = trusted
    assert world.ask(key=key).status == status


def lose_trust_with_an_answer(world):
    """Have keys count no more from a target's first answer on."""
    original = FakeTarget.answer

    def lose_trust(self, opened):
        world.trusted = False
        return original(self, opened)

    for target in world.targets.values():
        target.answer = lose_trust.__get__(target)


def test_a_key_unsure_by_the_time_of_a_send_ends_the_request():
    """A score's finding: the gateway tried for ever without yielding."""
    world = World(FakeTarget(FULL), FakeTarget(FULL))
    lose_trust_with_an_answer(world)
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.status == 503
    assert len(world.sent()) == 1


def test_a_stream_cut_by_a_withdrawn_key_is_never_answered_twice():
    """A hunt's finding: the refusal was written into the open stream.

    The first target breaks off, and by then the key is not trusted any more.
    """
    broken = [STREAM_HEAD, event(1), None]
    world = World(
        FakeTarget(broken),
        FakeTarget(broken),
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    lose_trust_with_an_answer(world)
    reply = world.ask()
    assert reply.status == 200
    assert reply.body == b'id: 1\ndata: x\n\n'
    assert not reply.is_complete
    assert len(world.sent()) == 1


def test_a_limit_is_charged_and_given_back_when_nothing_ran():
    world = World(FakeTarget(FULL), FakeTarget(FULL))
    world.workspace = Workspace('w', frozenset(('key',)), 0, 1, 2)
    assert world.ask().status == 503
    assert world.allowance.spent_by_workspace['w'] == 0


def test_over_the_limit_is_a_429_with_a_time():
    world = World(FakeTarget(DONE, DONE))
    world.workspace = Workspace('w', frozenset(('key',)), 0, 0.1, 1)
    assert world.ask().status == 200
    reply = world.ask()
    assert reply.status == 429
    assert reply.headers.get('Retry-After')


def test_a_model_nobody_can_load_is_refused_before_the_caller_leaves():
    world = World(FakeTarget(DONE))
    world.service = Service('service', 1, ENGINE)
    started = world.clock.elapsed()
    reply = world.ask({'Model': 'm'})
    assert reply.status == 503
    assert world.clock.elapsed() - started < SECOND


def test_a_caller_that_leaves_ends_the_send():
    world = World(FakeTarget([b'HTTP/1.1 ', b'']))
    asking = gevent.spawn(world.ask)
    gevent.sleep(0.05)
    asking.kill(CallerGone, block=True)
    assert not world.book.by_id['t0'].in_flight


@pytest.mark.parametrize(
    'header',
    [
        {'Deadline-Ms': 'soon'},
        {'Deadline-Ms': '9' * 30},
        {'Token-Usage': '12'},
        {'Token-Usage': '-1,2'},
        {'Prompt-Prefix': 'abc'},
        {'Prompt-Prefix': 'abc:x'},
        {'Attempt-Id': ''},
    ],
)
def test_misshapen_fields_are_the_callers_error(header):
    world = World(FakeTarget(DONE))
    assert world.ask(header).status == 400
    assert not world.sent()


class StuckLink:
    """A link to a keeper that gives no answer."""

    def ask(self, _ask_id, _message, _timeout):
        gevent.sleep(9)


def interrupted(world, **asked):
    """Ask, and interrupt the request while it is open."""
    task = gevent.spawn(world.ask, **asked)
    gevent.sleep(0.1)
    task.kill(ListenerStopping('stopping'), block=False)
    return task.get(timeout=1)


def silent(kind):
    return World(FakeTarget([b'']), kind=kind)


@pytest.mark.parametrize('kind', RouteKind)
def test_a_sent_request_is_never_said_not_to_have_run_by_a_stop(kind):
    reply = interrupted(silent(kind))
    assert reply.status == 502
    assert reply.is_complete


def defect(*_given):
    raise LookupError('a defect')


def connecting(monkeypatch, kind, while_connecting):
    """Return a world whose targets take no connection at once."""
    world = World(FakeTarget(DONE), kind=kind)
    world.workspace = Workspace('w', frozenset(('key',)), 0, 10, 10)

    def take(_pool, _address, *_limits):
        while_connecting()

    monkeypatch.setattr(ConnectionPool, 'take', take)
    return world


@pytest.mark.parametrize('kind', RouteKind)
def test_a_stop_while_a_connection_is_opened_is_known_not_to_have_run(
    monkeypatch,
    kind,
):
    """It was told 502; a caller may not repeat what runs once only then."""
    world = connecting(monkeypatch, kind, partial(gevent.sleep, 9))
    reply = interrupted(world)
    assert reply.status == 503
    assert reply.headers.get('Retry-After') is not None
    assert world.lines[-1][1]['stage'] == 'connecting'
    assert not world.lines[-1][1]['sends']
    assert not world.allowance.spent_by_workspace['w']


@pytest.mark.parametrize('kind', RouteKind)
def test_a_defect_before_the_first_byte_is_known_not_to_have_run(
    monkeypatch,
    kind,
):
    world = connecting(monkeypatch, kind, defect)
    assert world.ask().status == 503
    assert not world.allowance.spent_by_workspace['w']


def test_a_defect_in_wording_a_request_closes_the_connection(monkeypatch):
    """It is told 503 as nothing went out, and no connection stays open."""
    world = World(FakeTarget(DONE), kind=RouteKind.NON_IDEMPOTENT)
    take = ConnectionPool.take
    taken = []

    def note(pool, *limits):
        taken.append(take(pool, *limits))
        return taken[-1]

    monkeypatch.setattr(ConnectionPool, 'take', note)
    monkeypatch.setattr(sending, '_outgoing', defect)
    assert world.ask().status == 503
    assert not taken[0].is_quiet()


@pytest.mark.parametrize('kind', RouteKind)
def test_a_defect_behind_the_first_byte_may_have_run(monkeypatch, kind):
    world = World(FakeTarget(DONE), kind=kind)
    monkeypatch.setattr(sending, '_follow', defect)
    assert world.ask().status == 502
    assert world.lines[-1][1]['runs'] == 1


def test_a_defect_in_passing_an_answer_on_may_have_run(monkeypatch):
    world = World(FakeTarget(DONE), kind=RouteKind.NON_IDEMPOTENT)
    monkeypatch.setattr(relaying, 'deliver', defect)
    assert world.ask().status == 502


def test_a_caller_that_leaves_while_a_connection_is_opened_is_not_charged(
    monkeypatch,
):
    world = connecting(
        monkeypatch,
        RouteKind.NON_IDEMPOTENT,
        partial(gevent.sleep, 9),
    )
    task = gevent.spawn(world.ask)
    gevent.sleep(0.1)
    task.kill(CallerGone('closed'))
    assert not world.allowance.spent_by_workspace['w']


def unreachable(monkeypatch, how_long):
    """Have no target take a connection, after a while or at once."""

    def take(_pool, _address, most, *_limits):
        gevent.sleep(min(how_long, most).total_seconds())
        raise ExchangeFailure(Fault.UNSENT, 'no connection')

    monkeypatch.setattr(ConnectionPool, 'take', take)


@pytest.mark.parametrize('kind', RouteKind)
def test_a_request_is_not_held_for_one_slow_connection_after_another(
    monkeypatch,
    kind,
):
    """A full link of the gateway's own had eight targets tried in turn."""
    world = World(*(FakeTarget(DONE) for _ in range(8)), kind=kind)
    world.route = replace(world.route, timeout=SECOND * 3)
    unreachable(monkeypatch, SECOND)
    began = world.clock.elapsed()
    reply = world.ask({'Deadline-Ms': '3000'})
    assert reply.status == 503
    assert reply.headers.get('Retry-After') is not None
    assert world.clock.elapsed() - began < CONNECTING_MOST + CONNECT_MOST
    assert b'no connection' in reply.body


@pytest.mark.parametrize('kind', RouteKind)
def test_a_request_out_of_time_before_its_send_blames_no_target(
    monkeypatch,
    kind,
):
    """A time-out below zero was a defect, told as an internal error."""
    world = World(FakeTarget(DONE), kind=kind)
    monkeypatch.setattr(
        relaying,
        'check_key',
        lambda *_known: gevent.sleep(0.2),
    )
    reply = world.ask({'Deadline-Ms': '150'})
    assert reply.status == 503
    assert [event for event, _ in world.lines] == ['request_ended']
    assert not world.sent()


def test_targets_that_turn_connections_away_at_once_are_all_tried(
    monkeypatch,
):
    world = World(*(FakeTarget(DONE) for _ in range(8)))
    unreachable(monkeypatch, timedelta())
    assert world.ask().status == 503
    failed = [event for event, _ in world.lines if event == 'target_failed']
    assert len(failed) == 8


def test_a_stop_refuses_what_waits_for_an_adapter():
    """It has not run, and another gateway may take it at once."""
    world = World(FakeTarget(DONE))
    world.service = Service('service', 1, ENGINE)
    world.book.by_id['t0'].report = TargetReport(
        't0',
        world.clock.elapsed(),
        models=frozenset('m'),
    )
    tools = world.tools()
    tools.loader.link_of = lambda _target: StuckLink()
    reply = interrupted(
        world,
        headers={'Model': 'm/a1', 'Token-Usage': '10,5'},
        tools=tools,
    )
    assert reply.status == 503
    assert reply.headers.get('Retry-After') is not None
    assert not world.sent()


def test_nothing_is_sent_late_in_a_stop():
    world = World(FakeTarget(DONE))
    tools = world.tools()
    tools.stop.begin(world.clock.elapsed() - SECOND, SECOND, SECOND)
    reply = world.ask(tools=tools)
    assert reply.status == 503
    assert not world.sent()


def test_a_request_already_sent_goes_nowhere_else_late_in_a_stop():
    world = World(FakeTarget([b'HTTP']), FakeTarget(DONE))
    tools = world.tools()
    tools.stop.begin(world.clock.elapsed(), SECOND * 0.2, SECOND)
    reply = world.ask(tools=tools)
    assert reply.status == 502
    assert len(world.sent()) == 1


@pytest.mark.parametrize(
    ('kind', 'status'),
    [
        (RouteKind.STREAMING, 503),
        (RouteKind.IDEMPOTENT, 200),
        (RouteKind.NON_IDEMPOTENT, 200),
    ],
)
def test_late_in_a_stop_only_what_ends_soon_is_taken(kind, status):
    """The entry sends callers to a stopping gateway if it has no other."""
    world = World(FakeTarget(DONE), kind=kind)
    tools = world.tools()
    tools.stop.begin(world.clock.elapsed(), SECOND * 9, timedelta())
    assert world.ask(tools=tools).status == status


TRICKLE = 0.05
FLOOD = 0.0005
BLOCK = b'x' * 65536
BIG_CHUNK = b'10000\r\n%b\r\n' % BLOCK
CHUNKS_HEAD = DONE[: DONE.index(b'Content')] + (
    b'Transfer-Encoding: chunked\r\n\r\n'
)
PLAIN_HEAD = DONE[: DONE.index(b'Content')] + b'\r\n'
LONG_HEAD = DONE.replace(b'4\r\n\r\ndone', b'9000000000\r\n\r\n')
WHOLE_STREAM = [STREAM_HEAD, event(1), event(2), b'0\r\n\r\n']
WITHOUT_END = {
    'head': (b'HTTP/1.1 200 OK\r\nA: ', BLOCK, FLOOD),
    'head-trickle': (b'HTTP/1.1 200 OK\r\nA: ', b'x', TRICKLE),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500, FLOOD),
    'interim-trickle': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', TRICKLE),
}
BODIES_WITHOUT_END = {
    'length': (LONG_HEAD, BLOCK, FLOOD),
    'chunked': (CHUNKS_HEAD, BIG_CHUNK, FLOOD),
    'until-close': (PLAIN_HEAD, BLOCK, FLOOD),
}
STREAMS_WITHOUT_END = {
    'event': (STREAM_HEAD, BIG_CHUNK, FLOOD),
    'event-trickle': (STREAM_HEAD, b'1\r\nx\r\n', TRICKLE),
}


def endless_first(spec, rest, **terms):
    """Return a world whose first choice sends bytes without end."""
    endless = EndlessTarget(*spec)
    world = World(endless, FakeTarget(rest), **terms)
    world.book.by_id['t1'].failure_rate = 0.5
    return world, endless


@pytest.mark.parametrize(
    'spec',
    (WITHOUT_END | BODIES_WITHOUT_END).values(),
    ids=WITHOUT_END | BODIES_WITHOUT_END,
)
def test_an_answer_without_end_counts_as_failed(spec):
    world, endless = endless_first(spec, DONE)
    with gevent.Timeout(5):
        reply = world.ask()
    assert (reply.status, reply.body) == (200, b'done')
    assert endless.was_closed.wait(1)
    assert world.book.by_id['t0'].failure_rate > 0


@pytest.mark.parametrize('kind', RouteKind)
@pytest.mark.parametrize(
    'spec',
    (WITHOUT_END | BODIES_WITHOUT_END).values(),
    ids=WITHOUT_END | BODIES_WITHOUT_END,
)
def test_an_answer_without_end_is_an_answer_in_time(spec, kind):
    """What may run once only is not repeated, nor held for longer."""
    world, endless = endless_first(spec, DONE, kind=kind, attempts_most=1)
    started = world.clock.elapsed()
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.status in {502, 504}
    assert world.clock.elapsed() - started < SECOND * 1.1
    assert endless.was_closed.wait(1)


@pytest.mark.parametrize(
    'spec',
    STREAMS_WITHOUT_END.values(),
    ids=STREAMS_WITHOUT_END,
)
def test_an_event_without_end_is_no_event(spec):
    """The stream is had from another target, with its head."""
    world, endless = endless_first(
        spec,
        WHOLE_STREAM,
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.is_complete
    assert reply.body == b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
    assert endless.was_closed.wait(1)


def test_a_stream_goes_on_elsewhere_when_its_next_event_has_no_end():
    world, endless = endless_first(
        (STREAM_HEAD + event(1), b'1\r\nx\r\n', TRICKLE),
        [STREAM_HEAD, event(2), b'0\r\n\r\n'],
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    world.route = replace(world.route, timeout=SECOND * 4)
    started = world.clock.elapsed()
    with gevent.Timeout(5):
        reply = world.ask({'Deadline-Ms': '3000'})
    assert reply.is_complete
    assert reply.body == b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
    assert world.clock.elapsed() - started < SECOND * 2
    assert endless.was_closed.wait(1)


REFUSED_WITHOUT_END = FULL.replace(b': 0', b': 9000000000')


@pytest.mark.parametrize(
    'spec',
    [
        (REFUSED_WITHOUT_END, b'x', TRICKLE),
        (REFUSED_WITHOUT_END, BLOCK, FLOOD),
        (REFUSED_WITHOUT_END, b'x', SECOND.total_seconds()),
    ],
    ids=['trickle', 'flood', 'silence'],
)
def test_a_refusal_without_end_is_a_refusal(spec):
    """It did not run there: another target gets it, with time to answer."""
    world, endless = endless_first(spec, DONE, kind=RouteKind.NON_IDEMPOTENT)
    started = world.clock.elapsed()
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.status == 200
    assert world.clock.elapsed() - started < SECOND * 0.5
    assert endless.was_closed.wait(2)


def test_a_slow_caller_is_no_silent_target():
    """Events that came while one was passed on are not lost to patience."""
    events = [STREAM_HEAD, event(1), event(2), event(3), b'0\r\n\r\n']
    world = World(
        FakeTarget(events),
        FakeTarget(),
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    world.book.by_id['t1'].failure_rate = 0.5
    world.route = replace(world.route, timeout=SECOND * 5)
    pauses = [GAP_PATIENCE * 1.2, timedelta(), timedelta()]

    def send_slowly(self, piece):
        gevent.sleep(pauses.pop(0).total_seconds())
        self.body += piece

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FakeReply, 'send_piece', send_slowly)
        reply = world.ask({'Deadline-Ms': '4000'})
    assert reply.is_complete


@pytest.mark.parametrize('is_draining', [True, False])
def test_a_target_that_leaves_before_the_send_gets_nothing(
    monkeypatch,
    is_draining,
):
    """The word came while an adapter was loaded or a connection opened."""
    world = World(
        FakeTarget(DONE), FakeTarget(DONE), kind=RouteKind.NON_IDEMPOTENT
    )
    take = ConnectionPool.take
    left = []

    def leave(pool, address, *limits):
        for target in list(world.book.by_id.values()):
            if target.entry.address == address and not left:
                now = world.clock.elapsed()
                left.append(target.entry.target_id)
                entry = replace(target.entry, is_draining=is_draining)
                world.book.put(entry, now)
                if not is_draining:
                    world.book.mark_removed(left[0], now, now)
        return take(pool, address, *limits)

    monkeypatch.setattr(ConnectionPool, 'take', leave)
    assert world.ask().status == 200
    assert not world.targets[left[0]].requests
    assert len(world.sent()) == 1


def test_a_stop_refunds_nothing_of_what_was_sent():
    """A request that may have run counts against its workspace's limit."""
    world = silent(RouteKind.NON_IDEMPOTENT)
    world.workspace = Workspace('w', frozenset(('key',)), 0, 10, 10)
    assert interrupted(world).status == 502
    assert world.allowance.spent_by_workspace['w'] == 1
    assert world.lines[-1][1]['runs'] == 1


def test_a_stream_cut_at_its_deadline_is_told_from_one_cut_before():
    """Only the first is allowed, and the logs of a day showed no difference."""
    world = World(FakeTarget([STREAM_HEAD, event(1), b'']))
    world.route = replace(world.route, kind=RouteKind.STREAMING)
    world.ask({'Deadline-Ms': '300'})
    told = world.lines[-1][1]
    assert told['outcome'] == 'broken_off'
    assert told['left_ms'] <= 0


def test_a_stop_is_named_where_it_is_the_cause():
    world = World(FakeTarget(DONE))
    tools = world.tools()
    tools.stop.begin(world.clock.elapsed() - SECOND, SECOND, SECOND)
    assert b'stopping' in world.ask(tools=tools).body


def test_full_targets_are_named_though_the_gateway_stops():
    world = World(FakeTarget(FULL))
    tools = world.tools()
    tools.stop.begin(world.clock.elapsed(), SECOND * 9, SECOND)
    assert b'refused with 503' in world.ask(tools=tools).body


class CountingLink(StuckLink):
    """A link to a keeper that gives no answer, and what it was asked."""

    def __init__(self):
        self.asked = []

    def ask(self, _ask_id, message, _timeout):
        self.asked.append(message)
        super().ask(_ask_id, message, _timeout)


def ask_in_stop(stopped_for, model):
    """Ask for a model so long behind SIGTERM; return reply and keeper's link.

    The only target holds the model without adapters, or no model.
    """
    world = World(FakeTarget(DONE))
    world.service = Service('service', 1, ENGINE)
    world.book.by_id['t0'].report = TargetReport(
        't0',
        world.clock.elapsed(),
        models=frozenset('m' if '/' in model else ''),
    )
    tools = world.tools()
    link = CountingLink()
    tools.loader.link_of = lambda _target: link
    began_at = world.clock.elapsed() - stopped_for
    tools.stop.begin(began_at, SECOND * 8, SECOND * 8)
    reply = world.ask({'Model': model}, tools=tools)
    gevent.sleep(0.01)
    return reply, link


def test_a_model_is_asked_for_though_the_gateway_stops():
    """All gateways of a site were stopping, and none had models loaded."""
    reply, link = ask_in_stop(timedelta(), 'm')
    assert reply.status == 503
    assert len(link.asked) == 1


def test_no_adapter_is_loaded_for_what_will_not_be_sent():
    reply, link = ask_in_stop(SECOND * 5, 'm/a1')
    assert reply.status == 503
    assert not link.asked


class SilentLink:
    """A link to a keeper that gives no answer within the time allowed."""

    def ask(self, _ask_id, _message, timeout):
        gevent.sleep(timeout.total_seconds())

    def send(self, _message):
        return True


def ask_for_adapter(stop_time=None):
    """Ask for an adapter whose one target left loads a model for a second.

    The target that holds it is full. Return the reply and how long it took.
    """
    world = World(FakeTarget(FULL), FakeTarget(DONE))
    world.service = Service('service', 1, ENGINE)
    now = world.clock.elapsed()
    held = TargetReport('t0', now, models=frozenset('m'))
    loading = replace(
        held,
        target_id='t1',
        pending=frozenset('m'),
        is_ordering=True,
        ordered_at=now,
    )
    world.book.by_id['t0'].report = replace(held, adapters=frozenset(('m/a1',)))
    world.book.by_id['t1'].report = loading
    tools = world.tools()
    tools.loader.link_of = lambda _target: SilentLink()
    if stop_time is not None:
        tools.stop.begin(now, stop_time, SECOND)
    reply = world.ask({'Model': 'm/a1'}, tools=tools)
    return reply, world.clock.elapsed() - now


def test_an_adapter_is_not_waited_for_beyond_the_callers_time():
    """The wait knew the engine's order and not the caller's deadline."""
    reply, took = ask_for_adapter()
    assert reply.status == 503
    assert timedelta(milliseconds=800) < took < timedelta(milliseconds=1100)


def test_an_adapter_is_not_waited_for_beyond_the_sends_of_a_stop():
    """The request was held until its interrupt, though it could not go on."""
    reply, took = ask_for_adapter(stop_time=SECOND * 0.8)
    assert reply.status == 503
    assert took < timedelta(milliseconds=600)


def test_a_silent_stream_is_resumed_once_its_model_is_elsewhere():
    """A crashed target's stream waited for its deadline instead."""
    world = streams(FakeTarget(FIRST_ONLY), FakeTarget(STREAM))
    world.service = Service('service', 1, ENGINE)

    def report(target_id, *models):
        now = world.clock.elapsed()
        world.book.by_id[target_id].report = TargetReport(
            target_id,
            now,
            models=frozenset(models),
        )

    def report_on():
        while True:
            for target_id, target in world.book.by_id.items():
                report(target_id, *target.report.models)
            gevent.sleep(0.1)

    report('t0', 'm')
    report('t1')
    tools = world.tools()
    reporting = gevent.spawn(report_on)
    gevent.spawn_later(1.6, report, 't1', 'm')
    gevent.spawn_later(1.61, tools.loader.note_change)
    reply = world.ask({'Model': 'm'} | STAY, tools=tools)
    reporting.kill()
    assert reply.is_complete
