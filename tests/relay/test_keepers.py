"""Notices from gateways to keepers, and handling of keeper reports."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.messages import (
    EngineNotice,
    KeeperHello,
    KeeperLoad,
    KeeperReport,
)
from verbenamux_keeper.reporting import IMMEDIATE_FIELDS, Reporter
from verbenamux_relay.catalog import Catalog, EngineTerms, Service
from verbenamux_relay.keepers import (
    GREETING_ROUNDS,
    INFORM_DELAY,
    INFORM_INTERVAL,
    Keepers,
    decode_report,
)
from verbenamux_relay.targets import TargetEntry, TargetTable


class Link:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def close(self):
        """No connection to close."""


class Gateway:
    """A gateway's view of one engine and the link to its keeper."""

    def __init__(self, clock, *, rank=0):
        self.clock = clock
        self.target_table = TargetTable()
        self.link = Link()
        self.keepers = Keepers(
            'run-1',
            1,
            self.target_table,
            clock.elapsed,
            rank=lambda: rank,
            on_message=lambda message: None,
        )
        self.keepers._links_by_host['h'] = self.link
        entry = TargetEntry('engine', 's', ('h', 80), 'z', 8)
        self.target_table.add_or_update(entry, clock.elapsed())
        self.target = self.target_table.by_id['engine']
        self.adopt(1)

    def adopt(self, version, weights_mb=100.0):
        engine = EngineTerms(8, 1000, weights_mb, 2, 1.0, {})
        service = Service('s', 10, engine)
        self.keepers.adopt(Catalog(version, {}, {'s': service}))

    def report(self, **fields):
        report = KeeperReport('engine', revision=1, **fields)
        self.target.report = decode_report(report, self.clock.elapsed())

    def change(self, message):
        report = self.keepers.with_changes(message)
        if report is not None:
            self.target.report = report

    def sent_of_kind(self, kind):
        return [
            sent_message
            for sent_message in self.link.sent
            if isinstance(sent_message, kind)
        ]


@pytest.fixture
def clock():
    return ManualClock()


def test_a_keeper_gets_its_terms_once(clock):
    """Configurations change in quick succession, but not these terms."""
    gateway = Gateway(clock)
    gateway.keepers.notify()
    notice = gateway.sent_of_kind(EngineNotice)[-1]
    gateway.report(terms=notice.terms)
    for version in range(2, 20):
        gateway.adopt(version)
        gateway.keepers.notify()
    assert len(gateway.sent_of_kind(EngineNotice)) == 1
    gateway.adopt(20, weights_mb=120.0)
    gateway.keepers.notify()
    assert gateway.sent_of_kind(EngineNotice)[-1].weights_mb == 120


def test_other_gateways_inform_only_after_a_delay(clock):
    gateway = Gateway(clock, rank=2)
    gateway.report(terms='other')
    gateway.keepers.notify()
    clock.advance(INFORM_DELAY)
    gateway.keepers.notify()
    assert not gateway.sent_of_kind(EngineNotice)
    clock.advance(INFORM_DELAY)
    gateway.keepers.notify()
    assert gateway.sent_of_kind(EngineNotice)


def test_a_keeper_is_not_informed_again_at_once(clock):
    """A keeper without an engine that answers reports no terms."""
    gateway = Gateway(clock)
    for _ in range(4):
        gateway.keepers.notify()
        clock.advance(INFORM_INTERVAL / 4)
    assert len(gateway.sent_of_kind(EngineNotice)) == 1
    gateway.keepers.notify()
    assert len(gateway.sent_of_kind(EngineNotice)) == 2


def test_changes_are_applied_and_a_lost_one_causes_a_request(clock):
    gateway = Gateway(clock)
    gateway.report(models=('m',), adapters=('m/a1',))
    gateway.change(KeeperLoad('engine', 1, 1, unstarted=4, active=9))
    assert gateway.target.report.unstarted == 4
    assert gateway.target.report.adapters == {'m/a1'}
    gateway.change(KeeperLoad('engine', 1, 1, adapters=('m/a2',)))
    assert gateway.target.report.adapters == {'m/a2'}
    gateway.change(KeeperLoad('engine', 1, 2, pending=('n',), ordered_ms=40))
    report = gateway.target.report
    assert (report.models, report.pending) == ({'m'}, {'n'})
    assert clock.elapsed() - report.ordered_at == timedelta(milliseconds=40)
    gateway.change(KeeperLoad('engine', 3, 4, unstarted=7))
    assert gateway.target.report.unstarted == 0
    assert gateway.sent_of_kind(KeeperHello)[-1].wants_report


def test_a_silent_keeper_is_told_what_the_gateway_has(clock):
    """Only a keeper that knows better answers with a whole report."""
    gateway = Gateway(clock)
    gateway.report()
    clock.advance(timedelta(seconds=2))
    gateway.keepers.notify()
    (hello,) = gateway.sent_of_kind(KeeperHello)
    assert hello == KeeperHello('run-1', False, 'engine', 1)


HELD = st.sets(st.sampled_from('abcd')).map(lambda held: tuple(sorted(held)))
REPORTS = st.builds(
    KeeperReport,
    st.just('engine'),
    models=HELD,
    adapters=HELD,
    pending=HELD,
    on_disk=HELD,
    in_memory=HELD,
    unstarted=st.integers(0, 2),
    is_ordering=st.booleans(),
    store_loads_ready=st.booleans(),
    terms=st.sampled_from(['one', 'other']),
    total_tokens=st.sampled_from([100, 200]),
)


@given(st.lists(st.tuples(REPORTS, st.booleans()), max_size=30))
def test_lost_messages_never_leave_a_wrong_report(steps):
    """After any lost message, the report is correct or requested again."""
    clock = ManualClock()
    gateway = Gateway(clock)
    lost = []

    def deliver(_sender, message):
        if lost:
            return
        if isinstance(message, KeeperLoad):
            gateway.change(message)
        else:
            gateway.target.report = decode_report(message, clock.elapsed())

    reporter = Reporter(clock, deliver)
    reporter.subscribe(b'gateway', KeeperHello('gateway', True))
    quiet = steps[-1:] * 2 or [(KeeperReport('engine'), False)]
    for report, is_lost in [*steps, *[(report, False) for report, _ in quiet]]:
        lost[:] = [True] if is_lost else []
        reporter.send_changes(report)
        clock.advance(timedelta(seconds=1))
        for _ in range(GREETING_ROUNDS):
            gateway.keepers.notify()
        for hello in gateway.sent_of_kind(KeeperHello):
            reporter.subscribe(b'gateway', hello)
        gateway.link.sent.clear()
    reporter.send_changes(quiet[-1][0])
    expected = decode_report(quiet[-1][0], clock.elapsed())
    for name in (*IMMEDIATE_FIELDS, 'adapters', 'unstarted', 'total_tokens'):
        actual = getattr(gateway.target.report, name)
        assert actual == getattr(expected, name), name


def test_an_unresponsive_keeper_is_greeted_in_each_round(clock):
    gateway = Gateway(clock)
    for _ in range(5):
        gateway.keepers.notify()
    assert len(gateway.sent_of_kind(KeeperHello)) == 5
    gateway.report()
    for _ in range(GREETING_ROUNDS):
        gateway.keepers.notify()
    assert len(gateway.sent_of_kind(KeeperHello)) == 6
    clock.advance(timedelta(seconds=2))
    gateway.keepers.notify()
    assert len(gateway.sent_of_kind(KeeperHello)) == 7
