"""Requests that crash the target that begins to answer them."""

from dataclasses import replace
from itertools import count

import gevent
import pytest

from relay.world import OTHER, SECOND, STREAM_HEAD, FakeTarget, World, event
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.sending import BEGINNING_TIME

DEADLY_PART = 'dead1'
SHARED_PART = 'a1'
END = b'0\r\n\r\n'
MAX_CRASHES = 5


class CrashingTarget(FakeTarget):
    """Ends as it begins to answer a request with the deadly part.

    It writes `events` events before, or nothing at all if that is None.
    """

    def __init__(self, events=0):
        super().__init__()
        self.events = events
        self.opened = []
        self.is_doomed = False

    def serve(self, opened, peer):
        self.opened.append(opened)
        super().serve(opened, peer)

    def answer(self, opened):
        prefix = self.requests[-1].headers.get('Prompt-Prefix')
        if not self.is_doomed and DEADLY_PART not in prefix:
            opened.sendall(STREAM_HEAD + event(1) + END)
            return True
        if self.events is not None:
            opened.sendall(STREAM_HEAD)
        for number in range(1, (self.events or 0) + 1):
            opened.sendall(event(number))
        gevent.sleep(0.01)
        self.server.stop(timeout=0)
        for connection in self.opened:
            connection.close()
        return False


def prompt(*parts):
    return {'Prompt-Prefix': ','.join(f'{part}:100' for part in parts)}


def poisoned_world(target_count=12, events=0, max_attempts=2):
    return World(
        *(CrashingTarget(events) for _ in range(target_count)),
        kind=RouteKind.STREAMING,
        is_resumable=True,
        max_attempts=max_attempts,
    )


def crashed(world):
    return [made for made in world.targets.values() if not made.server.started]


@pytest.mark.parametrize('events', [None, 0, 1, 3])
def test_requests_with_a_part_that_crashes_targets_stop_reaching_them(events):
    """Issue 28: no two requests were alike, and one part crashed 26 targets.

    Review case 5: nor was it found where the targets wrote an event before, nor
    in issue 49 where they wrote no byte.
    """
    world = poisoned_world(events=events)
    context = world.context()
    numbers = count()
    for _ in range(MAX_CRASHES):
        sound = world.ask(
            prompt(SHARED_PART, f'own{next(numbers)}'), context=context
        )
        assert sound.is_complete
        assert sound.status == 200
        world.ask(
            prompt(SHARED_PART, DEADLY_PART, f'own{next(numbers)}'),
            context=context,
        )
    assert len(crashed(world)) < MAX_CRASHES
    sent_count = len(world.sent())
    refused = world.ask(
        prompt(SHARED_PART, DEADLY_PART, 'last'), context=context
    )
    assert refused.status == 503
    assert refused.headers.get('Retry-After') is None
    assert len(world.sent()) == sent_count


@pytest.mark.parametrize('events', [0, 1])
def test_a_request_whose_target_crashed_under_it_crashes_no_second_one(events):
    """Issue 28: 9 of 22 requests ended two targets or more."""
    world = poisoned_world(events=events)
    reply = world.ask(prompt(SHARED_PART, DEADLY_PART, 'own'))
    assert reply.status == (200 if events else 502)
    is_broken_off = bool(events)
    assert reply.is_complete is not is_broken_off
    assert len(crashed(world)) == 1


def test_a_request_under_which_targets_end_without_a_byte_ends_two_at_most():
    """Issue 49: one request ended as many targets as it was sent to."""
    world = poisoned_world(events=None, max_attempts=4)
    reply = world.ask(prompt(SHARED_PART, DEADLY_PART, 'own'))
    assert reply.status == 502
    assert len(crashed(world)) == 2


@pytest.mark.parametrize('events', [0, 1])
@pytest.mark.parametrize('shared', [(), (SHARED_PART,)])
def test_a_request_that_crashes_targets_stops_reaching_them(shared, events):
    """Issue 47: sent again with new ids, one crashed 13 targets.

    Others share all of its parts but the last one, and are answered.
    """
    world = poisoned_world(events=events)
    first, second = gateways = (world.context(), world.context())
    numbers = count()
    for number in range(6):
        for context in gateways:
            sound = world.ask(
                prompt(SHARED_PART, f'own{next(numbers)}'), context=context
            )
            assert sound.status == 200
        reply = world.ask(
            prompt(*shared, DEADLY_PART) | {'Attempt-Id': f'id-{number}'},
            context=gateways[number % 2],
        )
        for _ in gateways:
            first.quarantine.handle_evidence('2', second.quarantine.evidence())
            second.quarantine.handle_evidence('1', first.quarantine.evidence())
    assert len(crashed(world)) == 2 + events
    assert reply.status == 503
    assert b'targets crash' in reply.body


def test_a_stream_that_has_gone_on_is_resumed_and_suspected_of_no_crash():
    """Its target ended long after it had begun to write the answer."""

    class LateCrash(FakeTarget):
        def answer(self, opened):
            opened.sendall(STREAM_HEAD + event(1))
            gevent.sleep(BEGINNING_TIME.total_seconds())
            opened.sendall(event(2))
            gevent.sleep(0.01)
            self.server.stop(timeout=0)
            return False

    world = World(
        LateCrash(),
        FakeTarget([STREAM_HEAD, event(3), END]),
        kind=RouteKind.STREAMING,
        is_resumable=True,
    )
    world.route = replace(world.route, timeout=SECOND * 4)
    world.target_table.by_id['t1'].failure_rate = 0.5
    reply = world.ask(prompt(SHARED_PART, 'own') | {'Deadline-Ms': '3000'})
    assert reply.is_complete
    assert not [fields for name, fields in world.lines if 'crash' in name]


class CuttingTarget(FakeTarget):
    """Cuts each first answer after its head, and goes on serving."""

    def answer(self, opened):
        opened.sendall(STREAM_HEAD)
        if len(self.requests) > 1:
            opened.sendall(event(1) + END)
        return len(self.requests) > 1


def test_a_target_that_only_cuts_an_answer_is_no_crash():
    """What broke off is sent again as before, and no part is suspected."""
    world = World(
        CuttingTarget(),
        CuttingTarget(),
        kind=RouteKind.STREAMING,
        is_resumable=True,
        max_attempts=3,
    )
    context = world.context()
    assert world.ask(prompt(SHARED_PART, 'own'), context=context).status == 502
    assert world.ask(prompt(SHARED_PART, 'own'), context=context).status == 200
    assert not [fields for name, fields in world.lines if 'crash' in name]


def test_a_sound_request_whose_target_crashed_goes_on_elsewhere():
    """Its parts were answered a moment ago: they are not the cause."""
    world = poisoned_world(2)
    context = world.context()
    assert world.ask(prompt('b', 'own1'), context=context).status == 200
    for target in world.targets.values():
        target.is_doomed = True
    reply = world.ask(prompt('b', 'own2'), context=context)
    assert reply.status == 502
    assert len(crashed(world)) == 2


def test_a_crash_of_a_target_that_restarts_at_once_counts():
    """The soak: something listened at the address all along."""
    world = World(
        *(FakeTarget([STREAM_HEAD, None], OTHER) for _ in range(2)),
        kind=RouteKind.STREAMING,
        is_resumable=True,
        max_attempts=2,
    )
    context = world.context()
    deadly = prompt(SHARED_PART, DEADLY_PART, 'own')
    assert world.ask(deadly, context=context).status == 502
    assert world.ask(prompt('b', 'own'), context=context).status == 503
    refused = world.ask(deadly, context=context)
    assert b'targets crash' in refused.body
