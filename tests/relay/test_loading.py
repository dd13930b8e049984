"""Requests to keepers that end before they answer."""

from dataclasses import replace
from datetime import timedelta

import gevent
import pytest

from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.messages import LoadReply
from verbenamux_contracts.report_timing import silence_timeout
from verbenamux_relay.loading import WATCH_INTERVAL, Loader
from verbenamux_relay.model_placement import Demand, Move
from verbenamux_relay.target_selection import holdings
from verbenamux_relay.targets import (
    TargetEntry,
    TargetReport,
    TargetTable,
)

# How soon a wait ends after it is known that no reply will come.
END_TIMEOUT = (WATCH_INTERVAL * 1.4).total_seconds()
ORDER_TIME_LEFT = timedelta(seconds=4)
# The caller waits longer than the request may take.
MAX_WAIT = timedelta(minutes=1)


class Link:
    """A link to a keeper that gives the reply that is set, or none."""

    def __init__(self):
        self.reply = None
        self.request_count = 0

    def ask(self, ask_id, message, timeout):
        self.request_count += 1
        if self.reply is None:
            gevent.sleep(timeout.total_seconds())
            return None
        return LoadReply(ask_id, *self.reply)


class Gateway:
    def __init__(self):
        self.clock = SystemClock()
        self.target_table = TargetTable()
        self.link = Link()
        entry = TargetEntry('engine', 's', ('h', 80), 'z', 8)
        self.target_table.add_or_update(entry, self.clock.elapsed())
        self.target = self.target_table.by_id['engine']
        self.report(keeper='run-1')
        self.loader = Loader(
            target_table=self.target_table,
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
            ORDER_TIME_LEFT,
            MAX_WAIT,
        )

    def leave(self):
        self.target.report = replace(self.target.report, is_keeper_leaving=True)

    def become_unresponsive(self):
        timeout = silence_timeout(self.target.report.interval)
        before = self.clock.elapsed() - timeout * 1.1
        self.target.report = replace(self.target.report, received_at=before)

    def restart(self):
        self.report(keeper='run-2')

    def vanish(self):
        self.target_table.forget('engine')


@pytest.fixture
def gateway():
    return Gateway()


@pytest.mark.parametrize(
    'end', ['leave', 'become_unresponsive', 'restart', 'vanish']
)
@pytest.mark.parametrize('kind', ['model', 'adapter'])
def test_a_request_ends_when_its_keeper_ended(gateway, kind, end):
    """Callers waited for 12 s, or for a whole load, without a reply."""
    pending_reply = gateway.start(kind)
    gevent.sleep(0.05)
    assert gateway.link.request_count
    assert not pending_reply.ready()
    getattr(gateway, end)()
    pending_reply.join(END_TIMEOUT)
    assert pending_reply.ready()
    assert pending_reply.value is False


@pytest.mark.parametrize('kind', ['model', 'adapter'])
@pytest.mark.parametrize('in_place', [True, False])
def test_a_reply_ends_a_request_at_once(gateway, kind, in_place):
    gateway.link.reply = (in_place, '')
    pending_reply = gateway.start(kind)
    pending_reply.join(0.1)
    assert pending_reply.value is in_place


@pytest.mark.parametrize('kind', ['model', 'adapter'])
def test_a_request_continues_while_its_keeper_reports(gateway, kind):
    pending_reply = gateway.start(kind)
    for _ in range(4):
        gevent.sleep(0.4)
        gateway.report(keeper='run-1')
    assert not pending_reply.ready()
    pending_reply.kill()


def test_a_leaving_keeper_gets_no_moves_until_one_reports(gateway):
    def order_candidates():
        return list(
            holdings(gateway.target_table, 's', gateway.clock.elapsed())
        )

    assert order_candidates()
    gateway.leave()
    assert not order_candidates()
    gateway.report(keeper='run-2')
    assert order_candidates()
