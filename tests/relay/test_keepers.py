"""What gateways tell keepers, and what they take from their word."""

from datetime import timedelta

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.messages import (
    EngineNotice,
    KeeperHello,
    KeeperLoad,
    KeeperReport,
)
from verbenamux_relay.catalog import Catalog, EngineTerms, Service
from verbenamux_relay.keepers import (
    INFORM_DELAY,
    Keepers,
    decode_report,
)
from verbenamux_relay.targets import TargetBook, TargetEntry


class Link:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def close(self):
        """Nothing is open."""


class Gateway:
    """A gateway's view of one engine and the link to its keeper."""

    def __init__(self, clock, *, is_first=True):
        self.clock = clock
        self.book = TargetBook()
        self.link = Link()
        self.keepers = Keepers(
            'run-1',
            1,
            self.book,
            clock.elapsed,
            is_first=lambda: is_first,
            hear=lambda message: None,
        )
        self.keepers._links_by_host['h'] = self.link
        entry = TargetEntry('engine', 's', ('h', 80), 'z', 8)
        self.book.put(entry, clock.elapsed())
        self.target = self.book.by_id['engine']
        self.adopt(1)

    def adopt(self, version, weights_mb=100.0):
        engine = EngineTerms(8, 1000, weights_mb, 2, 1.0, {})
        service = Service('s', 10, engine)
        self.keepers.adopt(Catalog(version, {}, {'s': service}))

    def report(self, **fields):
        report = KeeperReport('engine', revision=1, **fields)
        self.target.report = decode_report(report, self.clock.elapsed())

    def told(self, kind):
        return [each for each in self.link.sent if isinstance(each, kind)]


@pytest.fixture
def clock():
    return ManualClock()


def test_a_keeper_is_told_its_terms_once(clock):
    """Configurations come in quick succession and change other things."""
    gateway = Gateway(clock)
    gateway.keepers.tell()
    notice = gateway.told(EngineNotice)[-1]
    gateway.report(terms=notice.terms)
    for version in range(2, 20):
        gateway.adopt(version)
        gateway.keepers.tell()
    assert len(gateway.told(EngineNotice)) == 1
    gateway.adopt(20, weights_mb=120.0)
    gateway.keepers.tell()
    assert gateway.told(EngineNotice)[-1].weights_mb == 120


def test_other_gateways_leave_it_to_the_first_one(clock):
    gateway = Gateway(clock, is_first=False)
    gateway.report(terms='other')
    gateway.keepers.tell()
    assert not gateway.told(EngineNotice)
    clock.advance(INFORM_DELAY)
    gateway.keepers.tell()
    assert gateway.told(EngineNotice)


def test_counts_are_taken_and_a_lost_report_is_asked_for(clock):
    gateway = Gateway(clock)
    gateway.report(models=('m',), adapters=('m/a1',))
    gateway.keepers.take_load(KeeperLoad('engine', 1, unstarted=4, active=9))
    assert gateway.target.report.unstarted == 4
    assert gateway.target.report.adapters == {'m/a1'}
    gateway.keepers.take_load(KeeperLoad('engine', 1, adapters=('m/a2',)))
    assert gateway.target.report.adapters == {'m/a2'}
    gateway.keepers.take_load(KeeperLoad('engine', 2, unstarted=7))
    assert gateway.target.report.unstarted == 0
    assert gateway.told(KeeperHello)[-1].wants_report


def test_a_silent_keeper_is_greeted_with_each_round(clock):
    gateway = Gateway(clock)
    for _ in range(5):
        gateway.keepers.tell()
    assert len(gateway.told(KeeperHello)) == 5
    gateway.report()
    for _ in range(8):
        gateway.keepers.tell()
    assert len(gateway.told(KeeperHello)) == 6
    clock.advance(timedelta(seconds=2))
    gateway.keepers.tell()
    assert gateway.told(KeeperHello)[-1].wants_report
