"""A store that comes back from an older copy and gives offsets out again."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace

import gevent
import pytest

from verbenamux_contracts.clock import SystemClock
from verbenamux_platform.feeds import (
    MEMBERS_TOPIC,
    VERDICT_PREFIX,
    follow_members,
    save_verdicts,
)
from verbenamux_platform.store import keyed_record, open_store
from verbenamux_platform.subscription import Source, Subscription, follow
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.shared_reads import ReadTimeouts, read_directly
from verbenamux_relay.terms import PromptPart, RequestTerms
from verbenamux_relay.unanswered_cuts import Cut
from verbenamux_runtime.metrics import Metrics
from verbenamux_runtime.webserver import serve
from verbenamux_standin.log import Contents, log_route
from verbenamux_standin.web import Faults, make_application

HOUR = timedelta(hours=1)
TOPIC = 'keyed.topic'
TIMEOUTS = ReadTimeouts(wait=timedelta(milliseconds=50))


@pytest.fixture
def world():
    contents, clock = Contents(), SystemClock()
    route = log_route(clock, HOUR, contents)
    server = serve('127.0.0.1:0', make_application(route, Faults()))
    store = open_store(f'127.0.0.1:{server.server_port}', clock.elapsed)
    yield SimpleNamespace(contents=contents, clock=clock, store=store)
    server.stop()


def put(store, *keys):
    for key in keys:
        store.append(TOPIC, keyed_record(key, b'1')).unwrap()


def test_numbers_rise_though_offsets_are_given_out_again(world):
    first = world.store.draw_number('numbers', b'a').unwrap()
    earlier = world.contents.copy()
    lost = world.store.draw_number('numbers', b'b').unwrap()
    world.contents.go_back(earlier)
    again = world.store.draw_number('numbers', b'c').unwrap()
    assert first < lost < again


def test_a_read_beyond_the_end_of_an_older_copy_tells_that_it_is_gone(world):
    earlier = world.contents.copy()
    put(world.store, 'a', 'b')
    world.contents.go_back(earlier)
    assert world.store.read(TOPIC, 2).failure().message.endswith('410')


@pytest.mark.parametrize('written_again', [(), ('x',), ('x', 'y', 'z')])
def test_a_follower_misses_nothing_that_is_written_again(world, written_again):
    """Its offset is one that the store has again, with other records before."""
    seen = []
    subscription = Subscription(
        TOPIC,
        lambda _listed: None,
        lambda record: seen.append(record.key),
        lambda _known_at: None,
        lambda _failure: None,
        TIMEOUTS,
        lambda: seen.append('went back'),
    )
    put(world.store, 'a')
    earlier = world.contents.copy()
    put(world.store, 'b', 'c')
    source = Source(
        world.store.newest, read_directly(world.store.read, world.clock)
    )
    task = gevent.spawn(follow, source, subscription, world.clock, Random(1))
    gevent.sleep(0.2)
    assert seen == ['a', 'b', 'c']
    world.contents.go_back(earlier)
    put(world.store, *written_again)
    gevent.sleep(0.5)
    put(world.store, 'last')
    gevent.sleep(0.2)
    task.kill()
    behind = seen[3:]
    assert behind[:2] == ['went back', 'a']
    assert {*written_again, 'last'} <= set(behind)
    assert behind.count('went back') == 1


def listed(world):
    return {
        record.key
        for record in world.store.newest(MEMBERS_TOPIC).unwrap().records
    }


def test_a_gateway_announces_itself_and_its_verdicts_again(world):
    """Gateways that start later would not know of either."""
    elapsed = world.clock.elapsed
    lines = []

    def log(event, **fields):
        lines.append((event, fields))

    quarantine = Quarantine(elapsed, timedelta, lambda: True, log)
    gateway = SimpleNamespace(
        quarantine=quarantine,
        setup=SimpleNamespace(name='g', peer_address='127.0.0.1:1'),
        routing_state=SimpleNamespace(data_centre='here'),
        set_members=lambda _members: None,
    )
    process = SimpleNamespace(
        clock=world.clock,
        metrics=Metrics(),
        log=SimpleNamespace(write=log),
    )
    verdict = f'{VERDICT_PREFIX}dead'
    world.store.append(MEMBERS_TOPIC, keyed_record('other', b'{}')).unwrap()
    earlier = world.contents.copy()
    task = gevent.spawn(follow_members, world.store, gateway, process)
    gevent.sleep(0.2)
    for own in ('own', 'other'):
        parts = (PromptPart('dead', 9), PromptPart(own, 9))
        terms = RequestTerms('r', 'host', parts=parts)
        quarantine.record_crash(Cut(own, 'w', terms, elapsed(), elapsed()))
    save_verdicts(world.store, gateway, process)
    assert listed(world) >= {'g', verdict}
    world.contents.go_back(earlier)
    assert not listed(world) & {'g', verdict}
    gevent.sleep(2)
    save_verdicts(world.store, gateway, process)
    task.kill()
    assert listed(world) >= {'g', verdict}, lines
