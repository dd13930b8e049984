"""Which reports of an engine gateways get, and how often."""

from datetime import timedelta
from itertools import pairwise

import msgspec
import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.messages import KeeperHello, KeeperLoad, KeeperReport
from verbenamux_contracts.report_timing import idle_interval, silence_timeout
from verbenamux_keeper.reporting import (
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
    subscribed.subscribe(b'one', hello(REPORT))
    subscribed.send_changes(REPORT)
    return subscribed


def hello(known=None, *, wants_report=False):
    if known is None:
        return KeeperHello('gateway', wants_report)
    return KeeperHello('gateway', wants_report, known.target_id, known.revision)


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


def test_changed_terms_are_sent_at_once_without_other_fields(reporter, sent):
    """Terms change in all keepers whenever an engine starts or ends."""
    reporter.send_changes(changed(terms='other'))
    change = sent[-1][1]
    assert isinstance(change, KeeperLoad)
    assert (change.terms, change.models) == ('other', None)
    assert change.revision > sent[0][1].revision


def test_a_changed_memory_size_is_sent_in_a_whole_report(reporter, sent):
    reporter.send_changes(changed(total_tokens=7))
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
        reporter.subscribe(b'%d' % number, hello())
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
    assert len(sent) == 100 * TICK / idle_interval(1)


@pytest.mark.parametrize('is_new', [True, False])
def test_requested_report_is_whole(reporter, sent, is_new):
    reporter.subscribe(
        b'two' if is_new else b'one',
        hello(sent[0][1], wants_report=not is_new),
    )
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


def test_a_silent_keeper_sends_a_gateway_nothing_that_it_has(reporter, sent):
    """Dozens of gateways greet a keeper whose reports are late."""
    whole = sent[0][1]
    sent.clear()
    for _ in range(8):
        assert not reporter.subscribe(b'one', hello(whole))
        reporter.send_changes(REPORT)
    assert not sent


@pytest.mark.parametrize(
    'known',
    [KeeperReport('other', revision=1), KeeperReport('engine', revision=0)],
)
def test_a_gateway_that_missed_a_change_gets_a_whole_report(
    reporter, sent, known
):
    """The engine restarted under another id, or its holdings changed."""
    assert reporter.subscribe(b'one', hello(known))
    reporter.send_changes(REPORT)
    assert isinstance(sent[-1][1], KeeperReport)


@pytest.mark.parametrize('gateways', [2, 30, 68, 100, 390])
@pytest.mark.parametrize('is_busy', [True, False])
def test_reports_keep_the_interval_that_they_promise(
    clock, sent, gateways, is_busy
):
    """A gateway judges a keeper by the interval in its newest report."""
    reporter = Reporter(
        clock, lambda sender, message: sent.append((clock.elapsed(), message))
    )
    for number in range(gateways):
        reporter.subscribe(b'%d' % number, hello(REPORT))
    for step in range(400):
        for number in range(gateways):
            reporter.subscribe(b'%d' % number, hello(REPORT))
        reporter.send_changes(changed(active=step if is_busy else 3))
        clock.advance(TICK)
    sent_at = sorted({at for at, _ in sent})
    pairs = tuple(pairwise(sent_at))
    assert pairs
    timeout = silence_timeout(timedelta(milliseconds=sent[-1][1].interval_ms))
    assert max(after - before for before, after in pairs) * 2 < timeout
