"""Targets that send endless bytes instead of an answer."""

import tracemalloc
from dataclasses import replace
from datetime import timedelta

import gevent
import pytest

from relay.world import (
    BODY_MEMORY_BYTES,
    DONE,
    FULL,
    SECOND,
    STREAM_HEAD,
    EndlessTarget,
    FakeTarget,
    World,
    event,
)
from verbenamux_http.client import RECEIVE_BYTES
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.events import RESERVED_ANSWER_BYTES

TRICKLE_INTERVAL = 0.05
# `pass_ms` of the sites: how late an event may be passed on.
PASS_TIME = timedelta(milliseconds=120)
FLOOD_INTERVAL = 0.0005
BLOCK = b'x' * 65536
BIG_CHUNK = b'10000\r\n%b\r\n' % BLOCK
CHUNKS_HEAD = DONE[: DONE.index(b'Content')] + (
    b'Transfer-Encoding: chunked\r\n\r\n'
)
PLAIN_HEAD = DONE[: DONE.index(b'Content')] + b'\r\n'
LONG_HEAD = DONE.replace(b'4\r\n\r\ndone', b'9000000000\r\n\r\n')
WHOLE_STREAM = [STREAM_HEAD, event(1), event(2), b'0\r\n\r\n']
ENDLESS_HEADS = {
    'head': (b'HTTP/1.1 200 OK\r\nA: ', BLOCK, FLOOD_INTERVAL),
    'head-trickle': (b'HTTP/1.1 200 OK\r\nA: ', b'x', TRICKLE_INTERVAL),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500, FLOOD_INTERVAL),
    'interim-trickle': (
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        TRICKLE_INTERVAL,
    ),
}
ENDLESS_BODIES = {
    'length': (LONG_HEAD, BLOCK, FLOOD_INTERVAL),
    'chunked': (CHUNKS_HEAD, BIG_CHUNK, FLOOD_INTERVAL),
    'until-close': (PLAIN_HEAD, BLOCK, FLOOD_INTERVAL),
}
ENDLESS_STREAMS = {
    'event': (STREAM_HEAD, BIG_CHUNK, FLOOD_INTERVAL),
    'event-trickle': (STREAM_HEAD, b'1\r\nx\r\n', TRICKLE_INTERVAL),
}


def endless_first(spec, answer, **terms):
    """Return a world whose preferred target sends endless bytes."""
    endless = EndlessTarget(*spec)
    world = World(endless, FakeTarget(answer), **terms)
    world.target_table.by_id['t1'].failure_rate = 0.5
    return world, endless


@pytest.mark.parametrize(
    'spec',
    (ENDLESS_HEADS | ENDLESS_BODIES).values(),
    ids=ENDLESS_HEADS | ENDLESS_BODIES,
)
def test_an_answer_without_end_counts_as_failed(spec):
    world, endless = endless_first(spec, DONE)
    with gevent.Timeout(5):
        reply = world.ask()
    assert (reply.status, reply.body) == (200, b'done')
    assert endless.was_closed.wait(1)
    assert world.target_table.by_id['t0'].failure_rate > 0


@pytest.mark.parametrize('kind', RouteKind)
@pytest.mark.parametrize(
    'spec',
    (ENDLESS_HEADS | ENDLESS_BODIES).values(),
    ids=ENDLESS_HEADS | ENDLESS_BODIES,
)
def test_an_answer_without_end_is_an_answer_in_time(spec, kind):
    """What may run only once is not retried, nor held for longer."""
    world, endless = endless_first(spec, DONE, kind=kind, max_attempts=1)
    started = world.clock.elapsed()
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.status in {502, 504}
    assert world.clock.elapsed() - started < SECOND * 1.1
    assert endless.was_closed.wait(1)


@pytest.mark.parametrize(
    'spec',
    ENDLESS_STREAMS.values(),
    ids=ENDLESS_STREAMS,
)
def test_an_event_without_end_is_no_event(spec):
    """The stream comes from another target, with its head."""
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
        (STREAM_HEAD + event(1), b'1\r\nx\r\n', TRICKLE_INTERVAL),
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


ENDLESS_REFUSAL = FULL.replace(b': 0', b': 9000000000')


@pytest.mark.parametrize(
    'spec',
    [
        (ENDLESS_REFUSAL, b'x', TRICKLE_INTERVAL),
        (ENDLESS_REFUSAL, BLOCK, FLOOD_INTERVAL),
        (ENDLESS_REFUSAL, b'x', SECOND.total_seconds()),
    ],
    ids=['trickle', 'flood', 'silence'],
)
def test_a_refusal_without_end_is_a_refusal(spec):
    """It did not run there: another target gets it, in time to answer."""
    world, endless = endless_first(spec, DONE, kind=RouteKind.NON_IDEMPOTENT)
    started = world.clock.elapsed()
    with gevent.Timeout(5):
        reply = world.ask()
    assert reply.status == 200
    assert world.clock.elapsed() - started < SECOND * 0.5
    assert endless.was_closed.wait(2)


@pytest.mark.parametrize(
    'line',
    [b'\n', b'\r\n', b':\n\n', b'id:\n\n', b'data: x\r\n\r\n'],
)
@pytest.mark.parametrize('chunk_bytes', [2, 16384])
def test_a_stream_of_tiny_events_without_end_holds_up_a_gateway(
    line, chunk_bytes
):
    """Review case 2: the gateway answered nothing else for six seconds."""
    body = line * (65536 // len(line))
    block = b''.join(
        b'%x\r\n%b\r\n' % (len(piece), piece)
        for piece in (
            body[start : start + chunk_bytes]
            for start in range(0, len(body), chunk_bytes)
        )
    )
    flooding = EndlessTarget(STREAM_HEAD, block, None)
    world = World(
        flooding, kind=RouteKind.STREAMING, is_resumable=False, max_attempts=1
    )
    held_times = []

    def measure_holds():
        while True:
            began = world.clock.elapsed()
            gevent.sleep(0.001)
            held_times.append(world.clock.elapsed() - began)

    measuring = gevent.spawn(measure_holds)
    started = world.clock.elapsed()
    with gevent.Timeout(10):
        reply = world.ask()
    took = world.clock.elapsed() - started
    measuring.kill()
    assert not reply.is_complete or reply.status == 502
    assert flooding.was_closed.wait(1)
    assert took < SECOND * 1.1
    assert max(held_times) < PASS_TIME


HELD_BYTES = 900_000
HELD = b'x' * HELD_BYTES
MANY = 60


class GatheringTarget(EndlessTarget):
    """A target that begins its endless answers once all requests are in."""

    def answer(self, opened):
        while len(self.requests) < MANY:
            gevent.sleep(0.01)
        return super().answer(opened)


@pytest.mark.parametrize(
    ('kind', 'start', 'piece'),
    [
        (RouteKind.NON_IDEMPOTENT, LONG_HEAD + HELD, b'x'),
        (
            RouteKind.STREAMING,
            STREAM_HEAD + b'%x\r\n%b\r\n' % (HELD_BYTES, HELD),
            b'1\r\nx\r\n',
        ),
    ],
    ids=['body', 'event'],
)
def test_many_answers_without_end_fill_the_memory(kind, start, piece):
    """Other operators: a gateway kept all of them, and all requests ended.

    Each stayed within the limit of one answer.
    """
    endless = GatheringTarget(start, piece, TRICKLE_INTERVAL)
    world = World(endless, kind=kind, max_attempts=1)
    target = world.target_table.by_id['t0']
    target.entry = replace(target.entry, slots=MANY)
    context = world.context()
    memory = context.send_context.pool.body_memory
    tracemalloc.start()
    with gevent.Timeout(20):
        asking = [gevent.spawn(world.ask, context=context) for _ in range(MANY)]
        gevent.joinall(asking)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert {ask.value.status for ask in asking} <= {502, 504}
    assert memory.held_bytes == 0
    held_bytes = BODY_MEMORY_BYTES + MANY * RESERVED_ANSWER_BYTES
    # A body grows by copies, behind the bytes that were just received.
    assert peak_bytes < 2 * held_bytes + MANY * RECEIVE_BYTES
