"""Heartbeats go out when due, at once on a change, and stay short."""

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


class Follower:
    """A gateway that follows an agent, and what it got."""

    def __init__(self, clock: ManualClock) -> None:
        self.got: list[Message] = []
        self.table = SubscriberTable(clock, self._take)

    def greet(self, period_ms: int) -> None:
        hello = Hello('g', InstanceId('i'), 1, '', period_ms=period_ms)
        self.table.greet(GATEWAY, hello)

    def publish(self, *, changed: bool = False, stored: int = 0) -> int:
        self.got.clear()
        progress = Progress(stored)
        self.table.publish(self._heartbeat, progress, changed=changed)
        return len(self.got)

    def _heartbeat(self, told: Progress) -> Heartbeat:
        return Heartbeat('t', InstanceId('a'), 1, free_mb=told.stored)

    def _take(self, gateway: bytes, message: Message) -> bool:
        self.got.append(message)
        return True


@pytest.fixture
def follower(clock: ManualClock) -> Follower:
    return Follower(clock)


def test_heartbeats_keep_to_the_period_but_for_changes(
    follower: Follower,
    clock: ManualClock,
) -> None:
    follower.greet(5000)
    assert follower.publish() == 1
    clock.advance(timedelta(seconds=4))
    assert follower.publish() == 0
    assert follower.publish(changed=True) == 1
    clock.advance(timedelta(seconds=5))
    assert follower.publish() == 1


def test_silent_gateway_is_dropped_by_its_own_period(
    follower: Follower,
    clock: ManualClock,
) -> None:
    follower.greet(60_000)
    clock.advance(timedelta(minutes=3))
    assert follower.publish() == 1
    clock.advance(timedelta(minutes=2))
    assert follower.publish(changed=True) == 0


def test_each_heartbeat_continues_where_the_last_one_ended(
    follower: Follower,
    clock: ManualClock,
) -> None:
    follower.greet(0)
    follower.publish(stored=7)
    follower.greet(0)
    clock.advance(timedelta(seconds=1))
    follower.publish(stored=9)
    assert follower.got[0].free_mb == 7


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


def test_blocks_are_told_once() -> None:
    engine = FakeEngine()
    prefixes = PrefixFollower(engine)
    engine.store(1, 70)
    prefixes.poll()
    assert prefixes.since(Progress()) == (70,)
    assert prefixes.since(prefixes.progress) == ()
    assert prefixes.trusts(Progress())


def test_gap_rebuilds_the_map_and_says_so() -> None:
    engine = FakeEngine()
    prefixes = PrefixFollower(engine)
    engine.store(3, 9)
    prefixes.poll()
    assert not prefixes.trusts(Progress())
    assert prefixes.trusts(prefixes.progress)
    assert set(prefixes.since(Progress())) == {7, 8, 9}
