"""How often a gateway reads the store for changes that come all at once."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace

import gevent
import gevent.event
from returns.result import Failure, Success

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_platform.feeds import (
    MEMBERS_READ_TIMEOUTS,
    follow_members,
    save_verdicts,
)
from verbenamux_platform.store import NewestValues, keyed_record, split_keyed
from verbenamux_platform.subscription import Source, Subscription, follow
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.shared_reads import read_directly
from verbenamux_relay.terms import PromptPart, RequestTerms
from verbenamux_relay.unanswered_cuts import Cut
from verbenamux_runtime.metrics import Metrics

GATEWAYS = 68
# Time between two gateways that announce themselves at a start of all.
GAP = timedelta(milliseconds=5)


class Topic:
    """A topic that gets a record at a time, and answers when one is there."""

    def __init__(self):
        self.records = []
        self.changed = gevent.event.Event()
        self.reads = 0

    def newest(self, _topic):
        return Success(NewestValues((), 0))

    def append_all(self):
        for number in range(GATEWAYS):
            gevent.sleep(GAP.total_seconds())
            self.records.append(keyed_record(f'g{number}', b'member'))
            self.changed.set()
            self.changed.clear()

    def read(self, _topic, start, wait, _call_timeout=None):
        self.reads += 1
        if start >= len(self.records):
            self.changed.wait(wait.total_seconds())
        records = tuple(self.records[start:])
        end = start + len(records)
        return Success(RecordBatch(start, end, records, end))


def test_gateways_that_announce_themselves_at_once_are_read_together():
    topic = Topic()
    seen = []
    clock = SystemClock()
    subscription = Subscription(
        'keyed.gateways',
        lambda _listed: None,
        seen.append,
        lambda _asked_at: None,
        lambda _failure: None,
        MEMBERS_READ_TIMEOUTS,
    )
    source = Source(topic.newest, read_directly(topic.read, clock))
    task = gevent.spawn(follow, source, subscription, clock, Random(1))
    gevent.spawn(topic.append_all)
    gevent.sleep(1.3)
    task.kill()
    assert len(seen) == GATEWAYS
    assert topic.reads <= 3


class Members(Topic):
    """A topic of gateways; an append fails if it `is_away`."""

    is_away = False

    def append(self, _topic, record):
        if self.is_away:
            return Failure(LogFailure(LogFault.REFUSED, 'away'))
        self.records.append(record)
        self.changed.set()
        return Success(len(self.records))

    def newest(self, _topic):
        newest = {split_keyed(record).key: record for record in self.records}
        keyed = tuple(map(split_keyed, newest.values()))
        return Success(NewestValues(keyed, len(self.records)))


def started_gateway():
    clock = SystemClock()
    lines = []

    def log(event, **fields):
        lines.append((event, fields))

    quarantine = Quarantine(clock.elapsed, timedelta, lambda: True, log)
    gateway = SimpleNamespace(
        quarantine=quarantine,
        setup=SimpleNamespace(name='g', peer_address='127.0.0.1:1'),
        routing_state=SimpleNamespace(data_centre='here'),
        set_members=lambda _members: None,
    )
    process = SimpleNamespace(
        clock=clock, metrics=Metrics(), log=SimpleNamespace(write=log)
    )
    return gateway, process, lines


def test_the_others_are_known_while_the_store_takes_no_records():
    """incident-47: a started gateway took all shares for its own until then."""
    store = Members()
    known = b'{"address":"127.0.0.1:2","data_centre":"here"}'
    store.append('', keyed_record('other', known))
    store.is_away = True
    gateway, process, lines = started_gateway()
    seen = []
    gateway.set_members = lambda members: seen.append(tuple(members))
    task = gevent.spawn(follow_members, store, gateway, process)
    gevent.sleep(0.1)
    assert seen == [('other',)], lines
    store.is_away = False
    gevent.sleep(1.5)
    task.kill()
    assert seen[-1] == ('other', 'g')


def terms(own):
    parts = (PromptPart('dead', 9), PromptPart(own, 9))
    return RequestTerms('r', 'host', parts=parts)


TERMS = terms('own')


def test_a_verdict_is_saved_when_the_store_is_back_and_read_at_a_start():
    store = Members()
    gateway, process, _ = started_gateway()
    for crash_id, crashing in (('1', TERMS), ('2', terms('other'))):
        now = process.clock.elapsed()
        gateway.quarantine.record_crash(Cut(crash_id, 'w', crashing, now, now))
    store.is_away = True
    save_verdicts(store, gateway, process)
    store.is_away = False
    store.append('', keyed_record('part:odd', b'{not a verdict'))
    save_verdicts(store, gateway, process)
    save_verdicts(store, gateway, process)
    assert len(store.records) == 2
    restarted, process, lines = started_gateway()
    task = gevent.spawn(follow_members, store, restarted, process)
    gevent.sleep(0.1)
    assert restarted.quarantine.blocked_parts('w', TERMS) == 'dead'
    assert ('verdict_rejected', 'part:odd') in [
        (event, fields.get('entry')) for event, fields in lines
    ]
    store.append('', keyed_record('part:dead', b''))
    gevent.sleep(1)
    task.kill()
    assert restarted.quarantine.blocked_parts('w', TERMS) is None
