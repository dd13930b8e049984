"""The ledger is never overcommitted, for any orders and reports."""

from datetime import timedelta
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from verbenamux_contracts.clock import ManualClock
from verbenamux_placement.ledger import Ledger, ReportedRow, Row, RowState

CAPACITY = 100
SETTLE = timedelta(seconds=5)
MAX_ORDER_DELAY = SETTLE
SIZES = {'a': 40, 'b': 50, 'c': 30, 'd': 20}
names = st.sampled_from(sorted(SIZES))


class LedgerMachine(RuleBasedStateMachine):
    """A target that loses, delays and repeats orders, and reports late.

    An answered order has been carried out or is lost; one whose answer was
    lost may still arrive, but no later than the settle time.
    """

    @initialize()
    def begin(self) -> None:
        self.clock = ManualClock()
        self.ledger = Ledger(CAPACITY, SETTLE)
        self.held_mb_by_name: dict[str, int] = {}
        self.reports: list[dict[str, int]] = [{}]
        self.late_orders: list[tuple[timedelta, str, str]] = []

    @rule(name=names, fate=st.sampled_from(['done', 'lost', 'late']))
    def load(self, name: str, fate: str) -> None:
        row = self.ledger.reserve(name, 'v1', SIZES[name])
        if row is not None:
            self._order('load', row, fate)

    @rule(name=names, fate=st.sampled_from(['done', 'lost', 'late']))
    def unload(self, name: str, fate: str) -> None:
        row = self.ledger.find_ready(name)
        if row is not None:
            self.ledger.begin_drop(row)
            self._order('unload', row, fate)

    @rule()
    def retry_orders(self) -> None:
        for row in list(self.ledger.row_by_key.values()):
            if row.state is RowState.LOADING:
                self._order('load', row, 'done')
            elif row.state is RowState.DROPPING:
                self._order('unload', row, 'done')

    @rule()
    def deliver_late_orders(self) -> None:
        arrived, self.late_orders = self.late_orders, []
        for until, action, name in arrived:
            if self.clock.elapsed() <= until:
                self._carry_out(action, name)

    @rule(seconds=st.integers(1, 3))
    def pass_time(self, seconds: int) -> None:
        self.clock.advance(timedelta(seconds=seconds))
        self.reports.append(dict(self.held_mb_by_name))

    @rule()
    def report(self) -> None:
        shown = self.reports[-2] if len(self.reports) > 1 else {}
        self.reports = self.reports[-2:]
        rows = [
            ReportedRow(name, 'v1', size, ready=True)
            for name, size in shown.items()
        ]
        self.ledger.apply_report(rows, self.clock.elapsed())

    @invariant()
    def memory_is_never_overcommitted(self) -> None:
        assert sum(self.held_mb_by_name.values()) <= CAPACITY

    def _order(self, action: str, row: Row, fate: str) -> None:
        if fate == 'done':
            self._carry_out(action, row.name)
        elif fate == 'late':
            row.uncertain = True
            until = self.clock.elapsed() + MAX_ORDER_DELAY
            self.late_orders.append((until, action, row.name))
        else:
            row.uncertain = True

    def _carry_out(self, action: str, name: str) -> None:
        if action == 'load':
            self.held_mb_by_name[name] = SIZES[name]
        else:
            self.held_mb_by_name.pop(name, None)


def test_memory_is_never_overcommitted() -> None:
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            max_examples=300,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


class LedgerIgnoringLostAnswers(Ledger):
    """Frees a row missing in a report although an answer was lost."""

    def _record_missing_drop(self, row: Row, now: timedelta) -> None:
        del self.row_by_key[row.key]


class LedgerIgnoringReportDelay(Ledger):
    """Treats a late report as current."""

    def _record_missing(self, row: Row, now: timedelta) -> None:
        del self.row_by_key[row.key]


LATE_LOAD_STEPS = [
    ('load', 'a', 'late'),
    ('retry_orders',),
    ('pass_time', 1),
    ('pass_time', 1),
    ('report',),
    ('unload', 'a', 'done'),
    ('pass_time', 1),
    ('pass_time', 1),
    ('report',),
    ('load', 'b', 'done'),
    ('load', 'c', 'done'),
    ('load', 'd', 'done'),
    ('deliver_late_orders',),
]
LATE_REPORT_STEPS = [
    ('load', 'a', 'done'),
    ('report',),
    ('load', 'b', 'done'),
    ('load', 'c', 'done'),
]


def play(ledger_type: type[Ledger], run: list[tuple[Any, ...]]) -> None:
    machine = LedgerMachine()
    machine.begin()
    machine.ledger = ledger_type(CAPACITY, SETTLE)
    for name, *arguments in run:
        getattr(machine, name)(*arguments)
        machine.memory_is_never_overcommitted()


@pytest.mark.parametrize(
    ('mutant', 'run'),
    [
        (LedgerIgnoringLostAnswers, LATE_LOAD_STEPS),
        (LedgerIgnoringReportDelay, LATE_REPORT_STEPS),
    ],
)
def test_ledger_without_a_rule_overcommits_memory(
    mutant: type[Ledger],
    run: list[tuple[Any, ...]],
) -> None:
    play(Ledger, run)
    with pytest.raises(AssertionError):
        play(mutant, run)


def ready(ledger: Ledger, name: str) -> Row:
    row = ledger.reserve(name, 'v1', SIZES[name])
    assert row is not None
    ledger.apply_report(
        [ReportedRow(name, 'v1', SIZES[name], ready=True)],
        timedelta(),
    )
    return row


def test_load_that_does_not_fit_is_refused() -> None:
    ledger = Ledger(CAPACITY, SETTLE)
    ledger.reserve('a', 'v1', 40)
    assert ledger.reserve('b', 'v1', 70) is None


def test_memory_is_freed_when_a_report_shows_it() -> None:
    ledger = Ledger(CAPACITY, SETTLE)
    row = ready(ledger, 'a')
    ledger.begin_drop(row)
    assert ledger.free_mb == 60
    ledger.apply_report([], timedelta(seconds=1))
    assert ledger.free_mb == 100


def test_uncertain_row_keeps_its_memory_for_the_settle_time() -> None:
    ledger = Ledger(CAPACITY, SETTLE)
    row = ready(ledger, 'a')
    row.uncertain = True
    ledger.begin_drop(row)
    ledger.apply_report([], timedelta(seconds=1))
    assert ledger.free_mb == 60
    ledger.apply_report([], timedelta(seconds=7))
    assert ledger.free_mb == 100


def test_row_ordered_by_an_earlier_instance_counts() -> None:
    ledger = Ledger(CAPACITY, SETTLE)
    rows = [ReportedRow('a', 'v0', 40, ready=True)]
    ledger.apply_report(rows, timedelta())
    assert ledger.free_mb == 60
    assert ledger.find_ready('a') is not None


def test_late_report_without_a_new_load_frees_nothing() -> None:
    ledger = Ledger(CAPACITY, SETTLE)
    ledger.reserve('a', 'v1', 40)
    ledger.apply_report([], timedelta())
    assert ledger.free_mb == 60
