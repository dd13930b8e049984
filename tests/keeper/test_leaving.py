"""What a keeper that is told to stop owes to those that asked it."""

from datetime import timedelta

import gevent
import pytest

from keeper.engines import FakeEngine, make_keeper
from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.messages import (
    AdapterAsk,
    KeeperHello,
    KeeperLeaving,
    LoadReply,
    ModelAsk,
)

SOON = 0.5


@pytest.fixture
def engine():
    return FakeEngine(SystemClock())


@pytest.fixture
def sent():
    return []


@pytest.fixture
def keeper(engine, sent):
    made = make_keeper(engine, engine.clock, sent)
    made.orders.refresh()
    made.tell()
    return made


def replies(sent):
    return {
        message.ask_id: message
        for _, message in sent
        if isinstance(message, LoadReply)
    }


def test_a_keeper_that_stops_answers_what_is_open(keeper, sent, engine):
    """It ended at once: those that had asked waited up to 12 s."""
    keeper.receive(b'one', ModelAsk('loading', 'm1'))
    keeper.receive(b'two', ModelAsk('queued', 'm2'))
    keeper.receive(b'one', AdapterAsk('adapter', 'm1', 'a1', 9000))
    gevent.sleep(0.05)
    assert not replies(sent)
    keeper.stop()
    assert replies(sent).keys() == {'loading', 'queued', 'adapter'}
    assert not any(reply.in_place for reply in replies(sent).values())
    by_ask = {
        message.ask_id: sender
        for sender, message in sent
        if isinstance(message, LoadReply)
    }
    assert by_ask == {'loading': b'one', 'queued': b'two', 'adapter': b'one'}
    orders = engine.orders
    gevent.sleep(1.5)
    assert engine.orders == orders
    assert len([1 for _, message in sent if hasattr(message, 'cause')]) == 3


def test_asks_that_cross_a_stop_are_answered_at_once(keeper, sent, engine):
    keeper.stop()
    keeper.receive(b'one', ModelAsk('model', 'm1'))
    keeper.receive(b'one', AdapterAsk('adapter', 'm1', 'a1', 9000))
    assert replies(sent).keys() == {'model', 'adapter'}
    assert not any(reply.in_place for reply in replies(sent).values())
    gevent.sleep(0.05)
    assert not engine.orders


def test_a_keeper_that_stops_says_so_and_reports_no_more(keeper, sent, engine):
    sent.clear()
    keeper.stop()
    assert sent == [(b'gateway', KeeperLeaving('engine-1'))]
    engine.restart()
    keeper.orders.refresh()
    keeper.receive(b'gateway', KeeperHello('gateway', wants_report=True))
    assert len(sent) == 1


def test_a_second_ask_is_not_answered_for_the_first(keeper, sent):
    with gevent.Timeout(SOON + timedelta(seconds=4).total_seconds()):
        keeper.receive(b'one', ModelAsk('first', 'm1'))
        keeper.receive(b'two', ModelAsk('second', 'm1'))
        while len(replies(sent)) < 2:
            gevent.sleep(0.01)
    assert all(reply.in_place for reply in replies(sent).values())
    keeper.stop()
    assert len([1 for _, message in sent if hasattr(message, 'cause')]) == 2
