"""Withdrawn keys and keys in force, whatever befalls gateways and store."""

from datetime import timedelta

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from trust import machine
from trust.machine import TrustMachine
from trust.simulating import MS, SECOND, World
from verbenamux_relay import sharing

QUIET = {
    'deadline': None,
    'derandomize': True,
    'database': None,
    'suppress_health_check': list(HealthCheck),
}
EXAMPLES = 100
STEPS = 30
IN_TOUCH = 20 * SECOND


def test_keys_are_trusted_while_in_force_and_no_longer() -> None:
    run_state_machine_as_test(
        TrustMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            **QUIET,
        ),
    )


# For each mechanism, a run that breaks a promise as soon as it is away.
RUN_BY_MECHANISM = {
    'late_asks_count': [('move_apart', 'b', 60 * MS), ('pass_time', IN_TOUCH)],
    # The lead froze behind its read; a gateway that starts asks it meanwhile,
    # and hears no more behind the answer.
    'lateness_is_taken_off': [
        ('withdraw', 1),
        ('pass_time', 100 * MS),
        ('start', 'b'),
        ('slow_store_way', 'b', 850 * MS, 3 * SECOND),
        ('pass_time', 20 * MS),
        ('withdraw', 1),
        ('freeze', 'a', SECOND),
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
    'short_reads_vouch_for_nothing': [
        ('freeze', 'a', 8 * SECOND),
        ('pass_time', SECOND),
        ('withdraw', 6),
        ('pass_time', 8 * SECOND),
    ],
}


def play(run) -> None:
    played = TrustMachine()
    played.begin()
    try:
        played.pass_time(2 * SECOND)
        for name, *arguments in run:
            getattr(played, name)(*arguments)
    finally:
        played.teardown()


def take_away(mechanism: str, monkeypatch) -> None:
    """Make the code as if it lacked a mechanism."""
    if mechanism == 'late_asks_count':
        monkeypatch.setattr(
            sharing,
            '_known_at',
            lambda asked_at, reply: asked_at if reply.fresh else None,
        )
    elif mechanism == 'lateness_is_taken_off':
        monkeypatch.setattr(sharing, '_known_at', lambda asked_at, _: asked_at)
    elif mechanism == 'trust_ends':
        monkeypatch.setattr(
            machine,
            'World',
            lambda: World(key_trust=timedelta.max),
        )
    else:
        monkeypatch.setattr(
            sharing.RecordBatch,
            'reaches_end',
            property(lambda _batch: True),
        )


@pytest.mark.parametrize('mechanism', RUN_BY_MECHANISM)
def test_run_keeps_its_promise(mechanism) -> None:
    play(RUN_BY_MECHANISM[mechanism])


@pytest.mark.parametrize('mechanism', RUN_BY_MECHANISM)
def test_each_mechanism_is_needed(mechanism, monkeypatch) -> None:
    take_away(mechanism, monkeypatch)
    with pytest.raises(AssertionError, match=r'trusts a key|refuses keys'):
        play(RUN_BY_MECHANISM[mechanism])
