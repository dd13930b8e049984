"""A keeper that is stopped answers the requests it received."""

from datetime import timedelta

import gevent
import pytest

from verbenamux_contracts.messages import (
    AdapterAsk,
    KeeperHello,
    KeeperLeaving,
    LoadReply,
    ModelAsk,
)

REPLY_MARGIN_SECONDS = 0.5


@pytest.fixture
def keeper(keeper):
    keeper.publish_changes()
    return keeper


def replies(sent):
    return {
        message.ask_id: message
        for _, message in sent
        if isinstance(message, LoadReply)
    }


def test_stopping_keeper_answers_pending_requests(keeper, sent, engine):
    """A keeper that exited without answers made gateways wait up to 12 s."""
    keeper.receive(b'one', ModelAsk('loading', 'm1'))
    keeper.receive(b'two', ModelAsk('queued', 'm2'))
    keeper.receive(b'one', AdapterAsk('adapter', 'm1', 'a1', 9000))
    gevent.sleep(0.05)
    assert not replies(sent)
    keeper.stop()
    assert replies(sent).keys() == {'loading', 'queued', 'adapter'}
    assert not any(reply.in_place for reply in replies(sent).values())
    sender_by_request = {
        message.ask_id: sender
        for sender, message in sent
        if isinstance(message, LoadReply)
    }
    assert sender_by_request == {
        'loading': b'one',
        'queued': b'two',
        'adapter': b'one',
    }
    order_count = engine.order_count
    gevent.sleep(1.5)
    assert engine.order_count == order_count
    assert len([1 for _, message in sent if hasattr(message, 'cause')]) == 3


def test_requests_that_arrive_after_a_stop_are_answered_at_once(
    keeper, sent, engine
):
    keeper.stop()
    keeper.receive(b'one', ModelAsk('model', 'm1'))
    keeper.receive(b'one', AdapterAsk('adapter', 'm1', 'a1', 9000))
    assert replies(sent).keys() == {'model', 'adapter'}
    assert not any(reply.in_place for reply in replies(sent).values())
    gevent.sleep(0.05)
    assert not engine.order_count


def test_stopping_keeper_announces_it_and_sends_no_more_reports(
    keeper, sent, engine
):
    sent.clear()
    keeper.stop()
    assert sent == [(b'gateway', KeeperLeaving('engine-1'))]
    engine.restart()
    keeper.orders.refresh()
    keeper.receive(b'gateway', KeeperHello('gateway', wants_report=True))
    assert len(sent) == 1


def test_concurrent_requests_for_a_model_get_a_reply_each(keeper, sent):
    with gevent.Timeout(
        REPLY_MARGIN_SECONDS + timedelta(seconds=4).total_seconds()
    ):
        keeper.receive(b'one', ModelAsk('first', 'm1'))
        keeper.receive(b'two', ModelAsk('second', 'm1'))
        while len(replies(sent)) < 2:
            gevent.sleep(0.01)
    assert all(reply.in_place for reply in replies(sent).values())
    keeper.stop()
    assert len([1 for _, message in sent if hasattr(message, 'cause')]) == 2
