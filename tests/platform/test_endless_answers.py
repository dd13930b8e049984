"""Targets whose bytes are no answer and have no end."""

from dataclasses import replace

import gevent
import pytest

from relay.world import (
    DONE,
    FULL,
    SECOND,
    STREAM_HEAD,
    EndlessTarget,
    FakeTarget,
    World,
    event,
)
from verbenamux_relay.catalog import RouteKind

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
