"""How often a gateway reads the store for changes that come all at once."""

from datetime import timedelta
from random import Random

import gevent
import gevent.event
from returns.result import Success

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.log import RecordBatch
from verbenamux_platform.feeds import MEMBERS_READ_TIMEOUTS
from verbenamux_platform.store import NewestValues, keyed_record
from verbenamux_platform.subscription import Source, Subscription, follow
from verbenamux_relay.shared_reads import read_directly

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

    def read(self, _topic, start, wait, _call_timeout):
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
