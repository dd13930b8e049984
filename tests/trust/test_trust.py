"""Withdrawn and valid keys under any faults of gateways and store."""

from datetime import timedelta

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from trust import machine
from trust.machine import TrustMachine
from trust.simulation import MS, SECOND, World
from verbenamux_relay import shared_reads

BASE_SETTINGS = {
    'deadline': None,
    'derandomize': True,
    'database': None,
    'suppress_health_check': list(HealthCheck),
}
MAX_EXAMPLES = 100
STEPS = 30
LONG_RUN = 20 * SECOND


def test_keys_are_trusted_while_in_force_and_no_longer() -> None:
    run_state_machine_as_test(
        TrustMachine,
        settings=settings(
            max_examples=MAX_EXAMPLES,
            stateful_step_count=STEPS,
            **BASE_SETTINGS,
        ),
    )


# For each mechanism, a run that breaks a guarantee without it.
RUN_BY_MECHANISM = {
    'delayed_requests_count': [
        ('slow_peer_link', 'b', 60 * MS),
        ('pass_time', LONG_RUN),
    ],
    # The leader is suspended after its read; a gateway that starts queries it
    # meanwhile, and receives nothing after the answer.
    'delay_is_subtracted': [
        ('withdraw', 1),
        ('pass_time', 100 * MS),
        ('start', 'b'),
        ('slow_store_link', 'b', 850 * MS, 3 * SECOND),
        ('pass_time', 20 * MS),
        ('withdraw', 1),
        ('suspend', 'a', SECOND),
        ('pass_time', 10 * MS),
        ('withdraw', 1),
        ('pass_time', 997 * MS),
        ('kill', 'a'),
        ('cut_off', 'b', 8 * SECOND),
        ('pass_time', 6 * SECOND),
    ],
    'trust_ends': [
        ('cut_off', 'a', 8 * SECOND),
        ('withdraw', 1),
        ('pass_time', 8 * SECOND),
    ],
    'partial_reads_confirm_nothing': [
        ('suspend', 'a', 8 * SECOND),
        ('pass_time', SECOND),
        ('withdraw', 6),
        ('pass_time', 8 * SECOND),
    ],
}


def play(run) -> None:
    played_machine = TrustMachine()
    played_machine.begin()
    try:
        played_machine.pass_time(2 * SECOND)
        for name, *arguments in run:
            getattr(played_machine, name)(*arguments)
    finally:
        played_machine.teardown()


def disable(mechanism: str, monkeypatch) -> None:
    """Patch the code so that it lacks a mechanism."""
    if mechanism == 'delayed_requests_count':
        monkeypatch.setattr(
            shared_reads,
            '_known_at',
            lambda asked_at, reply: asked_at if reply.fresh else None,
        )
    elif mechanism == 'delay_is_subtracted':
        monkeypatch.setattr(
            shared_reads, '_known_at', lambda asked_at, _: asked_at
        )
    elif mechanism == 'trust_ends':
        monkeypatch.setattr(
            machine,
            'World',
            lambda: World(key_trust=timedelta.max),
        )
    else:
        monkeypatch.setattr(
            shared_reads.RecordBatch,
            'reaches_end',
            property(lambda _batch: True),
        )


@pytest.mark.parametrize('mechanism', RUN_BY_MECHANISM)
def test_run_keeps_both_guarantees(mechanism) -> None:
    play(RUN_BY_MECHANISM[mechanism])


@pytest.mark.parametrize('mechanism', RUN_BY_MECHANISM)
def test_run_breaks_a_guarantee_without_its_mechanism(
    mechanism, monkeypatch
) -> None:
    disable(mechanism, monkeypatch)
    with pytest.raises(AssertionError, match=r'trusts a key|refuses keys'):
        play(RUN_BY_MECHANISM[mechanism])
