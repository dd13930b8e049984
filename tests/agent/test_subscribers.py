"""Heartbeats are sent when due, at once on a change, and stay small."""

from datetime import timedelta

import msgspec
import pytest
from returns.result import Result, Success

from verbenamux_agent.prefixes import PrefixFollower, Progress
from verbenamux_agent.subscribers import SubscriberTable
from verbenamux_agent.target import Call, TargetFailure
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import Heartbeat, Hello, Message

GATEWAY = b'g'


class FakeSubscriber:
    """A gateway subscribed to an agent, and the messages it received."""

    def __init__(self, clock: ManualClock) -> None:
        self.received: list[Message] = []
        self.table = SubscriberTable(clock, self._receive)

    def say_hello(self, period_ms: int) -> None:
        hello = Hello('g', InstanceId('i'), 1, '', period_ms=period_ms)
        self.table.record_hello(GATEWAY, hello)

    def publish(self, *, changed: bool = False, stored: int = 0) -> int:
        self.received.clear()
        progress = Progress(stored)
        self.table.publish(self._heartbeat, progress, changed=changed)
        return len(self.received)

    def _heartbeat(self, published: Progress) -> Heartbeat:
        return Heartbeat('t', InstanceId('a'), 1, free_mb=published.stored)

    def _receive(self, gateway: bytes, message: Message) -> bool:
        self.received.append(message)
        return True


@pytest.fixture
def subscriber(clock: ManualClock) -> FakeSubscriber:
    return FakeSubscriber(clock)


def test_heartbeats_keep_to_the_period_but_for_changes(
    subscriber: FakeSubscriber,
    clock: ManualClock,
) -> None:
    subscriber.say_hello(5000)
    assert subscriber.publish() == 1
    clock.advance(timedelta(seconds=4))
    assert subscriber.publish() == 0
    assert subscriber.publish(changed=True) == 1
    clock.advance(timedelta(seconds=5))
    assert subscriber.publish() == 1


def test_inactive_gateway_is_removed_by_its_own_period(
    subscriber: FakeSubscriber,
    clock: ManualClock,
) -> None:
    subscriber.say_hello(60_000)
    clock.advance(timedelta(minutes=3))
    assert subscriber.publish() == 1
    clock.advance(timedelta(minutes=2))
    assert subscriber.publish(changed=True) == 0


def test_each_heartbeat_continues_where_the_last_one_ended(
    subscriber: FakeSubscriber,
    clock: ManualClock,
) -> None:
    subscriber.say_hello(0)
    subscriber.publish(stored=7)
    subscriber.say_hello(0)
    clock.advance(timedelta(seconds=1))
    subscriber.publish(stored=9)
    assert subscriber.received[0].free_mb == 7


class FakeEngine:
    """An engine whose cache events a test sets."""

    def __init__(self) -> None:
        self.events: list[dict[str, object]] = []

    def exchange(self, call: Call) -> Result[bytes, TargetFailure]:
        if call.path.startswith('/cache/blocks'):
            return Success(b'[7, 8, 9]')
        return Success(msgspec.json.encode(self.events))

    def store(self, sequence: int, block: int) -> None:
        event = {'sequence': sequence, 'block': block, 'stored': True}
        self.events = [event]


def test_blocks_are_published_once() -> None:
    engine = FakeEngine()
    prefixes = PrefixFollower(engine)
    engine.store(1, 70)
    prefixes.poll()
    assert prefixes.stored_since(Progress()) == (70,)
    assert prefixes.stored_since(prefixes.progress) == ()
    assert prefixes.has_no_gap_since(Progress())


def test_gap_rebuilds_the_blocks_and_is_reported() -> None:
    engine = FakeEngine()
    prefixes = PrefixFollower(engine)
    engine.store(3, 9)
    prefixes.poll()
    assert not prefixes.has_no_gap_since(Progress())
    assert prefixes.has_no_gap_since(prefixes.progress)
    assert set(prefixes.stored_since(Progress())) == {7, 8, 9}
