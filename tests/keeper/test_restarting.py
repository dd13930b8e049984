"""Engines that restart while their keeper waits for an order."""

from dataclasses import replace
from datetime import timedelta

import gevent

from verbenamux_contracts.messages import AdapterAsk, LoadReply, ModelAsk

# Enough time for a few reads of the engine.
RESTART_DETECTION_SECONDS = 0.5
LOAD_SECONDS = 2.5


def await_reply(sent, ask_id, seconds):
    with gevent.Timeout(seconds, exception=False):
        while True:
            for _, message in sent:
                if isinstance(message, LoadReply) and message.ask_id == ask_id:
                    return message
            gevent.sleep(0.01)
    return None


def test_load_fails_at_once_when_its_engine_restarts(keeper, sent, engine):
    """The keeper waited 20 s for the lost load and loaded nothing meanwhile."""
    keeper.receive(b'gateway', ModelAsk('first', 'm1'))
    gevent.sleep(0.2)
    assert engine.order_count == 1
    engine.restart()
    engine.ready_at = timedelta()
    reply = await_reply(sent, 'first', RESTART_DETECTION_SECONDS)
    assert reply is not None
    assert not reply.in_place
    keeper.receive(b'gateway', ModelAsk('second', 'm2'))
    assert await_reply(sent, 'second', LOAD_SECONDS).in_place
    assert set(engine.models) == {'m2'}


def test_adapter_load_fails_at_once_when_its_engine_restarts(
    keeper, sent, engine
):
    keeper.receive(b'gateway', ModelAsk('model', 'm1'))
    assert await_reply(sent, 'model', LOAD_SECONDS).in_place
    engine.adapter_load_seconds = 5
    keeper.receive(b'gateway', AdapterAsk('adapter', 'm1', 'a1'))
    gevent.sleep(0.05)
    engine.restart()
    reply = await_reply(sent, 'adapter', RESTART_DETECTION_SECONDS / 2)
    assert reply is not None
    assert 'restarted' in reply.cause


def test_overtaken_read_does_not_end_a_load(keeper, sent, engine):
    """It shows fewer orders than the read before it, as after a restart."""
    outdated_state = engine.read()
    keeper.receive(b'gateway', ModelAsk('ask', 'm1'))
    gevent.sleep(0.2)
    assert engine.order_count == 1
    original_port = keeper.orders._port
    keeper.orders._port = replace(original_port, read=lambda: outdated_state)
    keeper.orders.refresh()
    keeper.orders._port = original_port
    assert await_reply(sent, 'ask', LOAD_SECONDS).in_place
