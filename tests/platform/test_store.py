"""The store's client against the project's own stand-in."""

from datetime import timedelta
from random import Random

import gevent
import pytest

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.log import LogFault
from verbenamux_platform.store import (
    MAX_CONNECTION_IDLE,
    keyed_record,
    open_store,
    split_keyed,
)
from verbenamux_platform.subscription import Source, Subscription, follow
from verbenamux_relay.shared_reads import ReadTimeouts, read_directly
from verbenamux_runtime.webserver import serve
from verbenamux_standin.log import log_route
from verbenamux_standin.web import Faults, make_application

HOUR = timedelta(hours=1)
WAIT = timedelta(milliseconds=100)


@pytest.fixture
def faults():
    return Faults()


@pytest.fixture
def store(faults):
    application = make_application(log_route(SystemClock(), HOUR), faults)
    server = serve('127.0.0.1:0', application)
    yield open_store(f'127.0.0.1:{server.server_port}', SystemClock().elapsed)
    server.stop()


def test_records_come_back_in_order(store):
    assert store.append('topic', b'a', b'').unwrap() == 0
    assert store.append('topic', b'c').unwrap() == 2
    batch = store.read('topic', 0).unwrap()
    assert batch.bodies == (b'a', b'', b'c')
    assert batch.reaches_end
    assert store.read('topic', 2).unwrap().bodies == (b'c',)


def test_a_read_waits_for_the_first_record(store):
    gevent.spawn_later(0.05, store.append, 'topic', b'late')
    batch = store.read('topic', 0, timedelta(seconds=2)).unwrap()
    assert batch.bodies == (b'late',)
    assert store.read('topic', 1, WAIT).unwrap().bodies == ()


def test_expired_records_state_the_first_retained_offset(store):
    store.append('topic', b'a', b'b', b'c')
    store._call('POST', '/api/log-trim?topic=topic&part=0&before=2')
    failure = store.read('topic', 0).failure()
    assert failure.fault is LogFault.EXPIRED
    assert failure.first_offset == 2


def test_a_lost_answer_is_unanswered_and_may_have_been_done(store, faults):
    faults.lose_answers = 1
    failure = store.append('topic', b'a').failure()
    assert failure.fault is LogFault.UNANSWERED
    assert store.read('topic', 0).unwrap().bodies == (b'a',)


def test_the_newest_of_each_key_is_kept_over_pages(store):
    records = [keyed_record(f'k{number:04}', b'1') for number in range(1200)]
    store.append('keyed.topic', *records)
    store.append('keyed.topic', keyed_record('k0000', b'2'))
    store.append('keyed.topic', keyed_record('k0001', b''))
    newest = store.newest('keyed.topic').unwrap()
    content_by_key = {record.key: record.content for record in newest.records}
    assert len(content_by_key) == 1199
    assert content_by_key['k0000'] == b'2'
    assert newest.end_offset == 1202


@pytest.mark.parametrize('record', [b'', b'\x05ab', b'\x02\xff\xfeabc'])
def test_a_malformed_keyed_record_is_none(record):
    assert split_keyed(record) is None


def test_following_survives_trimmed_records_and_failed_calls(store, faults):
    content_by_key = {}
    current_times = []
    failures = []
    listed_keys = []

    def on_record(record):
        content_by_key[record.key] = record.content

    store.append('keyed.t', keyed_record('a', b'1'))
    subscription = Subscription(
        'keyed.t',
        listed_keys.append,
        on_record,
        current_times.append,
        failures.append,
        ReadTimeouts(WAIT),
    )
    clock = SystemClock()
    source = Source(store.newest, read_directly(store.read, clock))
    task = gevent.spawn(follow, source, subscription, SystemClock(), Random(1))
    gevent.sleep(0.1)
    assert content_by_key == {'a': b'1'}
    assert listed_keys == [{'a'}]
    faults.down = True
    gevent.sleep(0.5)
    assert failures
    faults.down = False
    store.append('keyed.t', keyed_record('a', b'2'), keyed_record('b', b'3'))
    store._call('POST', '/api/log-trim?topic=keyed.t&part=0&before=99')
    gevent.sleep(1.2)
    assert content_by_key == {'a': b'2', 'b': b'3'}
    store.append('keyed.t', keyed_record('b', b''))
    gevent.sleep(0.3)
    assert content_by_key['b'] is None
    assert current_times == sorted(current_times)
    task.kill()


def test_a_refused_machine_gets_refusals_and_others_are_served(
    store,
    faults,
):
    faults.refused_hosts = (f'{store._address[0]}:{store._address[1]}',)
    assert store.append('topic', b'a').failure().fault is LogFault.REFUSED
    faults.refused_hosts = ('127.0.0.9:1',)
    assert store.append('topic', b'a').unwrap() == 0


def test_a_call_that_is_carried_out_late_is_unanswered(store, faults):
    faults.act_late = 1
    faults.late_ms = 100
    failure = store.append('topic', b'late').failure()
    assert failure.fault is LogFault.UNANSWERED
    assert store.read('topic', 0).unwrap().bodies == ()
    gevent.sleep(0.3)
    assert store.read('topic', 0).unwrap().bodies == (b'late',)


def test_a_call_that_failed_leaves_no_idle_connection(store, faults):
    """The cause may have broken the others; the next call opens a new one."""
    reads = [gevent.spawn(store.read, 'topic', 0, WAIT) for _ in range(3)]
    gevent.joinall(reads)
    assert store._pool.idle_count() == 3
    faults.delay_ms = 300
    failure = store.read('topic', 0, timedelta(), WAIT).failure()
    assert failure.fault is LogFault.UNANSWERED
    assert store._pool.idle_count() == 0


def test_a_call_uses_a_connection_that_worked_recently(store):
    """The idle limit was passed as the body's time limit, of the same type."""
    store.read('topic', 0)
    (idle,) = store._pool._idle_by_address[store._address]
    idle.max_idle = HOUR
    idle.idle_since -= MAX_CONNECTION_IDLE
    store.read('topic', 0)
    (newer,) = store._pool._idle_by_address[store._address]
    assert newer is not idle
