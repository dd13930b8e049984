"""Which reports of an engine gateways get, and how often."""

from datetime import timedelta

import msgspec
import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.messages import KeeperLoad, KeeperReport
from verbenamux_keeper.reporting import (
    IDLE_REPORT_INTERVAL,
    SUBSCRIBER_TIMEOUT,
    Reporter,
)

REPORT = KeeperReport('engine', models=('m',), adapters=('m/a1',), active=3)
TICK = timedelta(milliseconds=50)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def reporter(clock, sent):
    subscribed = Reporter(
        clock, lambda sender, message: sent.append((sender, message))
    )
    subscribed.subscribe(b'one', wants_report=False)
    subscribed.send_changes(REPORT)
    return subscribed


def changed(**fields):
    return msgspec.structs.replace(REPORT, **fields)


def test_changed_holdings_are_sent_at_once_without_other_fields(reporter, sent):
    reporter.send_changes(changed(models=('m', 'n')))
    (_, whole), (_, change) = sent
    assert whole.models == ('m',)
    assert change.models == ('m', 'n')
    assert change.on_disk is None
    assert (change.follows, change.revision) == (
        whole.revision,
        whole.revision + 1,
    )


def test_changed_terms_are_sent_in_a_whole_report(reporter, sent):
    reporter.send_changes(changed(terms='other'))
    assert isinstance(sent[-1][1], KeeperReport)
    assert sent[-1][1].revision > sent[0][1].revision


def test_counts_and_adapters_are_delayed_and_sent_alone(reporter, sent, clock):
    """Adapters are loaded and evicted with every second request."""
    reporter.send_changes(changed(active=4, adapters=('m/a2',)))
    assert len(sent) == 1
    clock.advance(timedelta(milliseconds=150))
    reporter.send_changes(changed(active=4, adapters=('m/a2',)))
    _, load = sent[-1]
    assert isinstance(load, KeeperLoad)
    assert (load.active, load.adapters) == (4, ('m/a2',))
    clock.advance(timedelta(seconds=1))
    reporter.send_changes(changed(active=4, adapters=('m/a2',)))
    assert sent[-1][1].adapters is None


def test_many_gateways_get_reports_less_often(clock, sent):
    reporter = Reporter(
        clock, lambda sender, message: sent.append((sender, message))
    )
    for number in range(30):
        reporter.subscribe(b'%d' % number, wants_report=False)
    reporter.send_changes(REPORT)
    for active in range(40):
        clock.advance(TICK)
        reporter.send_changes(changed(active=active))
    assert len(sent) <= 30 * 6


def test_reports_without_changes_are_rare(reporter, sent, clock):
    """The age of a pending order alone is not a change."""
    reporter.send_changes(changed(models=('m', 'n'), ordered_ms=10))
    sent.clear()
    for ordered_ms in range(20, 120):
        clock.advance(TICK)
        reporter.send_changes(changed(models=('m', 'n'), ordered_ms=ordered_ms))
    assert len(sent) == 100 * TICK / IDLE_REPORT_INTERVAL


@pytest.mark.parametrize('is_new', [True, False])
def test_requested_report_is_whole(reporter, sent, is_new):
    reporter.subscribe(b'two' if is_new else b'one', wants_report=not is_new)
    reporter.send_changes(REPORT)
    sender, report = sent[-1]
    assert sender == (b'two' if is_new else b'one')
    assert report.models == ('m',)
    assert report.revision == sent[0][1].revision


def test_unresponsive_gateway_gets_no_more_reports(reporter, sent, clock):
    clock.advance(SUBSCRIBER_TIMEOUT + TICK)
    reporter.send_changes(REPORT)
    clock.advance(timedelta(seconds=1))
    count = len(sent)
    reporter.send_changes(REPORT)
    assert len(sent) == count
