"""One gateway reads the store for others, which are never misled."""

from datetime import timedelta

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Success

from verbenamux_contracts.clock import ManualClock, SystemClock
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_contracts.messages import ReadAsk, ReadReply
from verbenamux_relay.sharing import (
    LEADER_COOLDOWN,
    MAX_KEPT_RECORDS,
    Patience,
    SharedReads,
)

SECOND = timedelta(seconds=1)
WAIT = Patience(SECOND)
TICK = timedelta(milliseconds=10)
DOWN = Failure(LogFailure(LogFault.UNANSWERED, 'down'))


class Store:
    """A topic that takes no time to read, unless it is told to."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.is_down = False
        self.max_batch = MAX_KEPT_RECORDS * 2
        self.during = lambda: None

    def read(self, _topic, from_offset, _wait, _call_most=None):
        self.reads += 1
        self.during()
        if self.is_down:
            return DOWN
        end = len(self.records)
        bodies = tuple(self.records[from_offset:][: self.max_batch])
        next_offset = from_offset + len(bodies)
        return Success(RecordBatch(from_offset, next_offset, bodies, end))


class Link:
    """A link to a lead; `ask` runs what the lead does meanwhile."""

    address = 'lead'

    def __init__(self, lead, clock, during=lambda: None):
        self.lead = lead
        self.clock = clock
        self.during = during

    def ask(self, _ask_id, ask, timeout):
        self.clock.advance(TICK)
        self.lead.shared.hear(b'asker', ask)
        self.during()
        self.clock.advance(TICK)
        self.lead.shared.read(ask.topic, 0, WAIT)
        replies = [
            reply
            for reply in self.lead.replies
            if isinstance(reply, ReadReply) and reply.ask_id == ask.ask_id
        ]
        if not replies:
            self.clock.advance(timeout)
            return None
        return replies[0]


class Gateway:
    def __init__(self, clock, link=None):
        self.store = Store()
        self.link = link
        self.replies = []
        self.shared = SharedReads(
            self.store.read,
            lambda: self.link,
            lambda _sender, reply: self.replies.append(reply),
            clock,
            lambda event, **fields: None,
            lambda name, **labels: None,
        )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def lead(clock):
    made = Gateway(clock)
    made.store.records = [b'a', b'b']
    return made


@pytest.fixture
def asker(clock, lead):
    return Gateway(clock, Link(lead, clock))


def test_the_store_is_read_once_for_all(clock, asker, lead):
    before = clock.elapsed()
    found = asker.shared.read('t', 1, WAIT).unwrap()
    assert found.batch.bodies == (b'b',)
    assert found.known_at == before
    assert (asker.store.reads, lead.store.reads) == (0, 1)


def test_a_read_under_way_is_not_fresh_for_who_asked_later(clock, lead):
    """A key is withdrawn while a slow read is on its way."""

    def ask():
        clock.advance(TICK)
        lead.shared.hear(b'asker', ReadAsk('late', 't', 0))

    lead.store.during = ask
    lead.shared.read('t', 0, WAIT)
    assert lead.replies[0].records == (b'a', b'b')
    assert not lead.replies[0].fresh


class LateLink:
    """A link whose asks reach the lead while its read is under way.

    `way` is the time of an ask on its way.
    """

    address = 'lead'

    def __init__(self, lead, clock, way):
        self.lead = lead
        self.clock = clock
        self.way = way

    def ask(self, ask_id, ask, _timeout):
        self.clock.advance(self.way)
        self.lead.shared.hear(b'asker', ask)
        self.lead.goes_on.set()
        self.lead.reading.join()
        replies = {reply.ask_id: reply for reply in self.lead.replies}
        return replies[ask_id]


def begin_read(lead):
    """Let the lead begin a read that ends when it is asked."""
    lead.goes_on = Event()
    lead.store.during = lead.goes_on.wait
    lead.reading = gevent.spawn(lead.shared.read, 't', 0, WAIT)
    gevent.sleep(0)


@pytest.mark.parametrize('part', [0.3, 3.25])
def test_an_ask_behind_the_pause_is_as_fresh_as_the_read_it_finds(
    clock,
    asker,
    lead,
    part,
):
    """A busy host: each ask comes behind the begin of the lead's read.

    Such an asker was never told that it is up to date, and refused keys.
    """
    asker.link = LateLink(lead, clock, TICK * part)
    for _ in range(3):
        clock.advance(TICK)
        begin_read(lead)
        began_at = clock.elapsed()
        clock.advance(SECOND / 2)
        found = asker.shared.read('t', 0, WAIT).unwrap()
        assert found.known_at is not None
        # No later than the read, by the way of the ask and a rounding.
        earliest = began_at - TICK * part - timedelta(milliseconds=1)
        assert earliest < found.known_at <= began_at - TICK * part
    assert asker.store.reads == 0


def test_a_read_that_ends_short_of_the_newest_vouches_for_nothing(
    asker,
    lead,
):
    """A gateway was away for long: the store's answer has room for a part.

    Keys that the records behind it withdraw were trusted as just confirmed.
    """
    lead.store.max_batch = 1
    assert lead.shared.read('t', 0, WAIT).unwrap().known_at is None
    found = asker.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a',)
    assert found.known_at is None


def test_what_is_not_fresh_is_known_at_no_time(clock, asker, lead):
    lead.shared.hear = lambda _sender, ask: lead.replies.append(
        ReadReply(ask.ask_id, found=True, records=(b'a',)),
    )
    found = asker.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a',)
    assert found.known_at is None


@pytest.mark.parametrize('trouble', ['down', 'lagging', 'trimmed'])
def test_what_the_lead_can_not_tell_is_read_directly(asker, lead, trouble):
    if trouble == 'down':
        lead.store.is_down = True
    elif trouble == 'lagging':
        lead.store.records = []
    else:
        lead.store.records = [b'x'] * (MAX_KEPT_RECORDS + 5)
    asker.store.records = [b'a', b'b']
    found = asker.shared.read('t', 1, WAIT).unwrap()
    assert found.batch.bodies == (b'b',)
    assert asker.store.reads == 1


def test_an_asker_stays_as_fresh_as_its_lead():
    """Both read on and on; no ask may always come just behind a read."""
    clock = SystemClock()
    patience = Patience(SECOND * 0.1, SECOND * 0.01)
    lead, asker = Gateway(clock), Gateway(clock)

    def wait_and_read(topic, from_offset, wait, _call_most):
        gevent.sleep(wait.total_seconds())
        return lead.store.read(topic, from_offset, wait)

    lead.shared._read_store = wait_and_read
    asker.link = RealLink(lead)
    leading = gevent.spawn(read_on, lead, patience, 1.0)
    ages = read_on(asker, patience, 1.0)
    leading.join()
    assert asker.store.reads == 0
    assert max(ages) < 0.3


def read_on(gateway, patience, seconds):
    """Read for a while; return how old the newest word became, in seconds."""
    clock = SystemClock()
    end = clock.elapsed() + SECOND * seconds
    known_at = clock.elapsed()
    ages = []
    while clock.elapsed() < end:
        found = gateway.shared.read('t', 0, patience).unwrap()
        ages.append((clock.elapsed() - known_at).total_seconds())
        known_at = found.known_at or known_at
    return ages


class RealLink:
    """A link that takes its replies as they come, in real time."""

    address = 'lead'

    def __init__(self, lead):
        self.lead = lead

    def ask(self, ask_id, ask, timeout):
        gevent.sleep(0.002)
        self.lead.shared.hear(b'asker', ask)
        with gevent.Timeout(timeout.total_seconds(), False):
            while True:
                for reply in self.lead.replies:
                    if reply.ask_id == ask_id:
                        return reply
                gevent.sleep(0.002)
        return None


def test_a_silent_lead_is_left_alone_for_a_while(clock, asker, lead):
    """The lead was killed or is frozen."""
    lead.shared.hear = lambda *_ask: None
    asker.store.records = [b'a']
    for _ in range(3):
        found = asker.shared.read('t', 0, WAIT).unwrap()
        assert found.batch.bodies == (b'a',)
    before = clock.elapsed()
    asker.shared.read('t', 0, WAIT)
    assert clock.elapsed() == before
    clock.advance(LEADER_COOLDOWN)
    asker.shared.read('t', 0, WAIT)
    assert clock.elapsed() > before + LEADER_COOLDOWN


def test_a_lead_that_was_held_up_vouches_for_nothing(clock, asker, lead):
    """It froze between its read and the answers to those who asked."""
    lead.store.during = lambda: clock.advance(WAIT.wait + 2 * WAIT.lateness)
    asker.store.records = [b'a', b'b', b'c']
    found = asker.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a', b'b', b'c')
    assert asker.store.reads == 1


def test_a_read_that_may_not_wait_asks_nobody(clock, asker, lead):
    before = clock.elapsed()
    asker.store.records = [b'a']
    found = asker.shared.read('t', 0, WAIT.at_once()).unwrap()
    assert found.batch.bodies == (b'a',)
    assert (clock.elapsed(), lead.store.reads) == (before, 0)
