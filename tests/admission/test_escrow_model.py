"""Units and spending under kills, pauses, cuts, outages and lost messages.

A hypothesis state machine drives the escrow of three gateways, three
witnesses and a log. Every rule that keeps the total in bounds is also disabled
once: then a fixed run of the machine exceeds the bound.
"""

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from admission.escrow_machine import EscrowMachine, Mechanisms

BASE_SETTINGS = {
    'deadline': None,
    'derandomize': True,
    'database': None,
    'suppress_health_check': list(HealthCheck),
}


def test_units_and_spending_stay_in_bounds() -> None:
    run_state_machine_as_test(
        EscrowMachine,
        settings=settings(
            max_examples=150, stateful_step_count=60, **BASE_SETTINGS
        ),
    )


FIRST_LOAN = SimpleNamespace(draw=lambda _: 0)
ELEVEN_SECONDS = timedelta(seconds=11)
SIX_SECONDS = timedelta(seconds=6)
THREE_SECONDS = timedelta(seconds=3)
ONE_SECOND = timedelta(seconds=1)
SHORT_STEP = timedelta(milliseconds=300)
RECLAIM_STEPS = [
    ('pass_long_time', ELEVEN_SECONDS),
    ('reclaim', 'b', 'a'),
    ('renew_with_all', 'b'),
]
BOTH_SPEND_STEPS = [
    ('renew_with_all', 'a'),
    ('renew_with_all', 'b'),
    ('spend_all', 'a'),
    ('spend_all', 'b'),
]
LOAN_STEPS = [('ask_for_loan', 'a', 'b', 100), ('deliver_loan', FIRST_LOAN)]

# For each rule, a run that exceeds the bound without the rule.
RUN_BY_RULE: dict[str, list[tuple[Any, ...]]] = {
    'lease_needed': [
        *RECLAIM_STEPS,
        ('pass_long_time', ELEVEN_SECONDS),
        *BOTH_SPEND_STEPS,
    ],
    'debit_first': [*LOAN_STEPS, ('spend', 'b', 100), ('spend_all', 'a')],
    'loans_expire': [
        *LOAN_STEPS,
        ('pass_long_time', ELEVEN_SECONDS),
        ('renew_with_all', 'a'),
        ('renew_with_all', 'b'),
        ('spend', 'b', 100),
        ('spend_all', 'a'),
    ],
    'lent_tokens_count': [
        *LOAN_STEPS,
        ('pass_time', ONE_SECOND),
        ('pass_time', SHORT_STEP),
        ('pass_time', SHORT_STEP),
        ('pass_time', SHORT_STEP),
        ('spend', 'b', 100),
        ('spend_all', 'a'),
    ],
    'witness_waits': [
        ('pass_long_time', THREE_SECONDS),
        ('renew_with_all', 'a'),
        ('restart_witness', 'w0'),
        ('restart_witness', 'w1'),
        ('announce_witness', 'w0'),
        ('announce_witness', 'w1'),
        ('reclaim', 'b', 'a'),
        ('pass_long_time', SIX_SECONDS),
        ('renew_with_all', 'b'),
        ('spend_all', 'a'),
        ('spend_all', 'b'),
    ],
    'consents_checked': [
        ('reclaim', 'b', 'a'),
        ('pass_long_time', ELEVEN_SECONDS),
        *BOTH_SPEND_STEPS,
    ],
    'reclaimed_starts_empty': [
        ('pass_long_time', SIX_SECONDS),
        ('pass_long_time', THREE_SECONDS),
        ('spend_all', 'a'),
        ('pass_time', ONE_SECOND),
        ('pass_time', ONE_SECOND),
        ('reclaim', 'b', 'a'),
        ('renew_with_all', 'b'),
        ('spend_all', 'b'),
    ],
    'release_before_grant': [
        ('grant_units', 'a', 'b', 1_000_000),
        ('follow', 'b'),
        ('pass_long_time', ELEVEN_SECONDS),
        *BOTH_SPEND_STEPS,
    ],
    'refused_after_consent': [
        *RECLAIM_STEPS,
        ('renew_with_all', 'a'),
        ('pass_long_time', SIX_SECONDS),
        *BOTH_SPEND_STEPS,
    ],
}


# Runs that exceeded the bound before a fix.
REGRESSION_RUNS: dict[str, list[tuple[Any, ...]]] = {
    'a new holder name kept its balance and earned more': [
        ('register_new_holder', 'a'),
        ('pass_long_time', THREE_SECONDS),
        ('renew_with_all', 'a'),
        ('spend_all', 'a'),
    ],
    'units were granted and granted back': [
        ('grant_units', 'a', 'b', 500_000),
        ('follow', 'b'),
        ('follow', 'a'),
        ('grant_units', 'b', 'a', 500_000),
        ('follow', 'a'),
        ('pass_long_time', THREE_SECONDS),
        ('renew_with_all', 'a'),
        ('spend_all', 'a'),
    ],
    'units were granted while their tokens were lent': [
        ('ask_for_loan', 'a', 'b', 100),
        ('deliver_loan', FIRST_LOAN),
        ('grant_units', 'a', 'c', 1_000_000),
        ('follow', 'c'),
        ('follow', 'a'),
        ('pass_time', ONE_SECOND),
        ('pass_time', SHORT_STEP),
        ('spend', 'b', 100),
        ('spend_all', 'c'),
    ],
    'a loan outlived the lease': [
        ('pass_long_time', SIX_SECONDS),
        ('pass_long_time', THREE_SECONDS),
        ('pass_time', SHORT_STEP),
        ('pass_time', SHORT_STEP),
        ('pass_time', SHORT_STEP),
        ('ask_for_loan', 'a', 'b', 100),
        ('deliver_loan', FIRST_LOAN),
        ('pass_time', SHORT_STEP),
        ('reclaim', 'c', 'a'),
        ('renew_with_all', 'c'),
        ('pass_time', ONE_SECOND),
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


@pytest.mark.parametrize('name', REGRESSION_RUNS)
def test_regression_run_stays_in_bounds(name: str) -> None:
    play(Mechanisms(), REGRESSION_RUNS[name])


@pytest.mark.parametrize('name', RUN_BY_RULE)
def test_run_stays_in_bounds_with_every_rule(name: str) -> None:
    play(Mechanisms(), RUN_BY_RULE[name])


@pytest.mark.parametrize('name', RUN_BY_RULE)
def test_run_exceeds_the_bounds_without_its_rule(name: str) -> None:
    with pytest.raises(AssertionError):
        play(Mechanisms(**{name: False}), RUN_BY_RULE[name])
