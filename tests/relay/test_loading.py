"""Asks to keepers that end before they answer."""

from dataclasses import replace
from datetime import timedelta

import gevent
import pytest

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.messages import LoadReply
from verbenamux_relay.loading import WATCH_PERIOD, Loader
from verbenamux_relay.picking import holdings
from verbenamux_relay.placing import Demand, Move
from verbenamux_relay.targets import (
    KEEPER_SILENCE,
    TargetBook,
    TargetEntry,
    TargetReport,
)

# How soon a wait ends once it is known that nobody replies.
NOTICED = (WATCH_PERIOD * 1.4).total_seconds()
ORDER_LEFT = timedelta(seconds=4)
# The caller stays longer than its ask may take.
WAIT_MOST = timedelta(minutes=1)


class Link:
    """A link to a keeper that answers nothing, or what is set."""

    def __init__(self):
        self.reply = None
        self.asked = 0

    def ask(self, ask_id, message, timeout):
        self.asked += 1
        if self.reply is None:
            gevent.sleep(timeout.total_seconds())
            return None
        return LoadReply(ask_id, *self.reply)


class Gateway:
    def __init__(self):
        self.clock = SystemClock()
        self.book = TargetBook()
        self.link = Link()
        entry = TargetEntry('engine', 's', ('h', 80), 'z', 8)
        self.book.put(entry, self.clock.elapsed())
        self.target = self.book.by_id['engine']
        self.report(keeper='run-1')
        self.loader = Loader(
            book=self.book,
            link_of=lambda target_id: self.link,
            clock=self.clock,
            log=lambda event, **fields: None,
            count=lambda name, **labels: None,
            demand=lambda: Demand({}, {}),
        )

    def report(self, **fields):
        now = self.clock.elapsed()
        self.target.report = TargetReport('engine', now, **fields)

    def start(self, kind):
        if kind == 'model':
            move = Move('engine', 'm', (), timedelta(seconds=4))
            return gevent.spawn(self.loader.carry_out, move)
        return gevent.spawn(
            self.loader.load_adapter,
            self.target,
            'm',
            'a',
            ORDER_LEFT,
            WAIT_MOST,
        )

    def leave(self):
        self.target.report = replace(self.target.report, is_keeper_leaving=True)

    def fall_silent(self):
        before = self.clock.elapsed() - KEEPER_SILENCE * 1.1
        self.target.report = replace(self.target.report, received_at=before)

    def start_anew(self):
        self.report(keeper='run-2')

    def vanish(self):
        self.book.forget('engine')


@pytest.fixture
def gateway():
    return Gateway()


@pytest.mark.parametrize(
    'end', ['leave', 'fall_silent', 'start_anew', 'vanish']
)
@pytest.mark.parametrize('kind', ['model', 'adapter'])
def test_an_ask_ends_when_its_keeper_did(gateway, kind, end):
    """Callers waited for 12 s, or through a whole load, for no reply."""
    asking = gateway.start(kind)
    gevent.sleep(0.05)
    assert gateway.link.asked
    assert not asking.ready()
    getattr(gateway, end)()
    asking.join(NOTICED)
    assert asking.ready()
    assert asking.value is False


@pytest.mark.parametrize('kind', ['model', 'adapter'])
@pytest.mark.parametrize('in_place', [True, False])
def test_a_reply_ends_an_ask_at_once(gateway, kind, in_place):
    gateway.link.reply = (in_place, '')
    asking = gateway.start(kind)
    asking.join(0.1)
    assert asking.value is in_place


@pytest.mark.parametrize('kind', ['model', 'adapter'])
def test_an_ask_goes_on_while_its_keeper_reports(gateway, kind):
    asking = gateway.start(kind)
    for _ in range(4):
        gevent.sleep(0.4)
        gateway.report(keeper='run-1')
    assert not asking.ready()
    asking.kill()


def test_a_keeper_that_leaves_gets_no_moves_until_one_reports(gateway):
    def places():
        return list(holdings(gateway.book, 's', gateway.clock.elapsed()))

    assert places()
    gateway.leave()
    assert not places()
    gateway.report(keeper='run-2')
    assert places()
