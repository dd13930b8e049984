"""Units and spending under kills, pauses, cuts, outages and lost messages.

A hypothesis state machine drives the escrow of three gateways, three
witnesses and a log. Every rule that keeps the total in bounds is also taken
away once: then a fixed run of the machine breaks the bound.
"""

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from admission.escrow_machine import EscrowMachine, Mechanisms

QUIET = {
    'deadline': None,
    'derandomize': True,
    'database': None,
    'suppress_health_check': list(HealthCheck),
}


def test_units_and_spending_stay_in_bounds() -> None:
    run_state_machine_as_test(
        EscrowMachine,
        settings=settings(max_examples=150, stateful_step_count=60, **QUIET),
    )


FIRST_LOAN = SimpleNamespace(draw=lambda _: 0)
LONG = timedelta(seconds=11)
SIX = timedelta(seconds=6)
THREE = timedelta(seconds=3)
ONE = timedelta(seconds=1)
PART = timedelta(milliseconds=300)
RECLAIMED = [
    ('pass_long_time', LONG),
    ('reclaim', 'b', 'a'),
    ('renew_with_all', 'b'),
]
BOTH_SPEND = [
    ('renew_with_all', 'a'),
    ('renew_with_all', 'b'),
    ('spend_all', 'a'),
    ('spend_all', 'b'),
]
LENT = [('ask_for_loan', 'a', 'b', 100), ('deliver_loan', FIRST_LOAN)]

# For each rule, a run that breaks the bound as soon as the rule is away.
RUN_BY_RULE: dict[str, list[tuple[Any, ...]]] = {
    'lease_needed': [*RECLAIMED, ('pass_long_time', LONG), *BOTH_SPEND],
    'debit_first': [*LENT, ('spend', 'b', 100), ('spend_all', 'a')],
    'loans_expire': [
        *LENT,
        ('pass_long_time', LONG),
        ('renew_with_all', 'a'),
        ('renew_with_all', 'b'),
        ('spend', 'b', 100),
        ('spend_all', 'a'),
    ],
    'lent_counts': [
        *LENT,
        ('pass_time', ONE),
        ('pass_time', PART),
        ('pass_time', PART),
        ('pass_time', PART),
        ('spend', 'b', 100),
        ('spend_all', 'a'),
    ],
    'witness_waits': [
        ('pass_long_time', THREE),
        ('renew_with_all', 'a'),
        ('restart_witness', 'w0'),
        ('restart_witness', 'w1'),
        ('announce_witness', 'w0'),
        ('announce_witness', 'w1'),
        ('reclaim', 'b', 'a'),
        ('pass_long_time', SIX),
        ('renew_with_all', 'b'),
        ('spend_all', 'a'),
        ('spend_all', 'b'),
    ],
    'consents_checked': [
        ('reclaim', 'b', 'a'),
        ('pass_long_time', LONG),
        *BOTH_SPEND,
    ],
    'reclaimed_starts_empty': [
        ('pass_long_time', SIX),
        ('pass_long_time', THREE),
        ('spend_all', 'a'),
        ('pass_time', ONE),
        ('pass_time', ONE),
        ('reclaim', 'b', 'a'),
        ('renew_with_all', 'b'),
        ('spend_all', 'b'),
    ],
    'part_before_grant': [
        ('grant_units', 'a', 'b', 1_000_000),
        ('follow', 'b'),
        ('pass_long_time', LONG),
        *BOTH_SPEND,
    ],
    'refused_after_consent': [
        *RECLAIMED,
        ('renew_with_all', 'a'),
        ('pass_long_time', SIX),
        *BOTH_SPEND,
    ],
}


# Runs that once broke the bound.
FOUND_RUNS: dict[str, list[tuple[Any, ...]]] = {
    'a fresh name kept a balance and earned on top': [
        ('rehome', 'a'),
        ('pass_long_time', THREE),
        ('renew_with_all', 'a'),
        ('spend_all', 'a'),
    ],
    'units went and came back': [
        ('grant_units', 'a', 'b', 500_000),
        ('follow', 'b'),
        ('follow', 'a'),
        ('grant_units', 'b', 'a', 500_000),
        ('follow', 'a'),
        ('pass_long_time', THREE),
        ('renew_with_all', 'a'),
        ('spend_all', 'a'),
    ],
    'units went while their tokens were lent': [
        ('ask_for_loan', 'a', 'b', 100),
        ('deliver_loan', FIRST_LOAN),
        ('grant_units', 'a', 'c', 1_000_000),
        ('follow', 'c'),
        ('follow', 'a'),
        ('pass_time', ONE),
        ('pass_time', PART),
        ('spend', 'b', 100),
        ('spend_all', 'c'),
    ],
    'a loan outlived the lease': [
        ('pass_long_time', SIX),
        ('pass_long_time', THREE),
        ('pass_time', PART),
        ('pass_time', PART),
        ('pass_time', PART),
        ('ask_for_loan', 'a', 'b', 100),
        ('deliver_loan', FIRST_LOAN),
        ('pass_time', PART),
        ('reclaim', 'c', 'a'),
        ('renew_with_all', 'c'),
        ('pass_time', ONE),
        ('spend', 'b', 100),
        ('spend_all', 'c'),
    ],
}


def play(mechanisms: Mechanisms, run: list[tuple[Any, ...]]) -> None:
    machine = EscrowMachine()
    machine.mechanisms = mechanisms
    machine.begin()
    for name, *arguments in run:
        getattr(machine, name)(*arguments)
        machine.units_never_exceed_the_whole()
        machine.no_window_exceeds_rate_and_burst()


@pytest.mark.parametrize('name', FOUND_RUNS)
def test_run_that_once_broke_the_bound(name: str) -> None:
    play(Mechanisms(), FOUND_RUNS[name])


@pytest.mark.parametrize('name', RUN_BY_RULE)
def test_run_stays_in_bounds_with_every_rule(name: str) -> None:
    play(Mechanisms(), RUN_BY_RULE[name])


@pytest.mark.parametrize('name', RUN_BY_RULE)
def test_each_rule_is_needed(name: str) -> None:
    with pytest.raises(AssertionError):
        play(Mechanisms(**{name: False}), RUN_BY_RULE[name])
