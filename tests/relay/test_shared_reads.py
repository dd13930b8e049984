"""One gateway reads the store for others, which never trust stale data."""

from datetime import timedelta

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Success

from verbenamux_contracts.clock import ManualClock, SystemClock
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_contracts.messages import ReadAsk, ReadReply
from verbenamux_relay.shared_reads import (
    LEADER_COOLDOWN,
    MAX_KEPT_RECORDS,
    ReadTimeouts,
    SharedReads,
)

SECOND = timedelta(seconds=1)
WAIT = ReadTimeouts(SECOND)
TICK = timedelta(milliseconds=10)
DOWN = Failure(LogFailure(LogFault.UNANSWERED, 'down'))


class Store:
    """A topic whose reads take no time unless `during_read` does."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.is_down = False
        self.max_batch = MAX_KEPT_RECORDS * 2
        self.during_read = lambda: None

    def read(self, _topic, from_offset, _wait, _call_most=None):
        self.reads += 1
        self.during_read()
        if self.is_down:
            return DOWN
        end = len(self.records)
        bodies = tuple(self.records[from_offset:][: self.max_batch])
        next_offset = from_offset + len(bodies)
        return Success(RecordBatch(from_offset, next_offset, bodies, end))


class Link:
    """A link to a leader; `ask` runs `during_read` before the leader reads."""

    address = 'leader'

    def __init__(self, leader, clock, during_read=lambda: None):
        self.leader = leader
        self.clock = clock
        self.during_read = during_read

    def ask(self, _ask_id, ask, timeout):
        self.clock.advance(TICK)
        self.leader.shared.handle_request(b'requester', ask)
        self.during_read()
        self.clock.advance(TICK)
        self.leader.shared.read(ask.topic, 0, WAIT)
        replies = [
            reply
            for reply in self.leader.replies
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
def leader(clock):
    made = Gateway(clock)
    made.store.records = [b'a', b'b']
    return made


@pytest.fixture
def requester(clock, leader):
    return Gateway(clock, Link(leader, clock))


def test_the_store_is_read_once_for_all(clock, requester, leader):
    before = clock.elapsed()
    found = requester.shared.read('t', 1, WAIT).unwrap()
    assert found.batch.bodies == (b'b',)
    assert found.known_at == before
    assert (requester.store.reads, leader.store.reads) == (0, 1)


def test_a_read_in_progress_is_not_fresh_for_a_later_request(clock, leader):
    """A key is withdrawn while a slow read is in progress."""

    def ask():
        clock.advance(TICK)
        leader.shared.handle_request(b'requester', ReadAsk('late', 't', 0))

    leader.store.during_read = ask
    leader.shared.read('t', 0, WAIT)
    assert leader.replies[0].records == (b'a', b'b')
    assert not leader.replies[0].fresh


class LateLink:
    """A link whose requests reach the leader during its read.

    `delay` is the network latency of a request.
    """

    address = 'leader'

    def __init__(self, leader, clock, delay):
        self.leader = leader
        self.clock = clock
        self.delay = delay

    def ask(self, ask_id, ask, _timeout):
        self.clock.advance(self.delay)
        self.leader.shared.handle_request(b'requester', ask)
        self.leader.may_continue.set()
        self.leader.reading.join()
        replies = {reply.ask_id: reply for reply in self.leader.replies}
        return replies[ask_id]


def begin_read(leader):
    """Let the leader begin a read that ends when a request arrives."""
    leader.may_continue = Event()
    leader.store.during_read = leader.may_continue.wait
    leader.reading = gevent.spawn(leader.shared.read, 't', 0, WAIT)
    gevent.sleep(0)


@pytest.mark.parametrize('ticks', [0.3, 3.25])
def test_a_late_request_is_as_fresh_as_the_read_in_progress(
    clock,
    requester,
    leader,
    ticks,
):
    """On a busy host each request arrives after the leader's read began.

    Such a requester was never confirmed as up to date, and refused keys.
    """
    requester.link = LateLink(leader, clock, TICK * ticks)
    for _ in range(3):
        clock.advance(TICK)
        begin_read(leader)
        began_at = clock.elapsed()
        clock.advance(SECOND / 2)
        found = requester.shared.read('t', 0, WAIT).unwrap()
        assert found.known_at is not None
        # Earlier than the read by the network latency, up to rounding.
        earliest = began_at - TICK * ticks - timedelta(milliseconds=1)
        assert earliest < found.known_at <= began_at - TICK * ticks
    assert requester.store.reads == 0


def test_a_partial_read_is_not_known_to_be_current(
    requester,
    leader,
):
    """After a long absence, the store's answer holds only part of the records.

    Keys withdrawn by the later records were trusted as just confirmed.
    """
    leader.store.max_batch = 1
    assert leader.shared.read('t', 0, WAIT).unwrap().known_at is None
    found = requester.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a',)
    assert found.known_at is None


def test_a_reply_that_is_not_fresh_has_no_known_time(clock, requester, leader):
    leader.shared.handle_request = lambda _sender, ask: leader.replies.append(
        ReadReply(ask.ask_id, found=True, records=(b'a',)),
    )
    found = requester.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a',)
    assert found.known_at is None


@pytest.mark.parametrize('fault', ['down', 'lagging', 'trimmed'])
def test_what_the_leader_cannot_answer_is_read_directly(
    requester, leader, fault
):
    if fault == 'down':
        leader.store.is_down = True
    elif fault == 'lagging':
        leader.store.records = []
    else:
        leader.store.records = [b'x'] * (MAX_KEPT_RECORDS + 5)
    requester.store.records = [b'a', b'b']
    found = requester.shared.read('t', 1, WAIT).unwrap()
    assert found.batch.bodies == (b'b',)
    assert requester.store.reads == 1


def test_a_requester_stays_as_fresh_as_its_leader():
    """Both read continuously; requests must not always just miss a read."""
    clock = SystemClock()
    timeouts = ReadTimeouts(SECOND * 0.1, SECOND * 0.01)
    leader, requester = Gateway(clock), Gateway(clock)

    def wait_and_read(topic, from_offset, wait, _call_most):
        gevent.sleep(wait.total_seconds())
        return leader.store.read(topic, from_offset, wait)

    leader.shared._read_store = wait_and_read
    requester.link = RealLink(leader)
    leading = gevent.spawn(read_on, leader, timeouts, 1.0)
    ages = read_on(requester, timeouts, 1.0)
    leading.join()
    assert requester.store.reads == 0
    assert max(ages) < 0.3


def read_on(gateway, timeouts, seconds):
    """Read for a while; return the age of the state at each read, in s."""
    clock = SystemClock()
    end = clock.elapsed() + SECOND * seconds
    known_at = clock.elapsed()
    ages = []
    while clock.elapsed() < end:
        found = gateway.shared.read('t', 0, timeouts).unwrap()
        ages.append((clock.elapsed() - known_at).total_seconds())
        known_at = found.known_at or known_at
    return ages


class RealLink:
    """A link that polls for its replies in real time."""

    address = 'leader'

    def __init__(self, leader):
        self.leader = leader

    def ask(self, ask_id, ask, timeout):
        gevent.sleep(0.002)
        self.leader.shared.handle_request(b'requester', ask)
        with gevent.Timeout(timeout.total_seconds(), False):
            while True:
                for reply in self.leader.replies:
                    if reply.ask_id == ask_id:
                        return reply
                gevent.sleep(0.002)
        return None


def test_an_unresponsive_leader_is_not_asked_during_the_cooldown(
    clock, requester, leader
):
    """The leader was killed or is paused."""
    leader.shared.handle_request = lambda *_ask: None
    requester.store.records = [b'a']
    for _ in range(3):
        found = requester.shared.read('t', 0, WAIT).unwrap()
        assert found.batch.bodies == (b'a',)
    before = clock.elapsed()
    requester.shared.read('t', 0, WAIT)
    assert clock.elapsed() == before
    clock.advance(LEADER_COOLDOWN)
    requester.shared.read('t', 0, WAIT)
    assert clock.elapsed() > before + LEADER_COOLDOWN


def test_a_paused_leader_gives_no_answer(clock, requester, leader):
    """It was paused between its read and its answers to the requests."""
    leader.store.during_read = lambda: clock.advance(
        WAIT.wait + 2 * WAIT.lateness
    )
    requester.store.records = [b'a', b'b', b'c']
    found = requester.shared.read('t', 0, WAIT).unwrap()
    assert found.batch.bodies == (b'a', b'b', b'c')
    assert requester.store.reads == 1


def test_a_read_without_wait_is_direct(clock, requester, leader):
    before = clock.elapsed()
    requester.store.records = [b'a']
    found = requester.shared.read('t', 0, WAIT.without_wait()).unwrap()
    assert found.batch.bodies == (b'a',)
    assert (clock.elapsed(), leader.store.reads) == (before, 0)
