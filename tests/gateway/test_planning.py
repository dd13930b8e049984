"""Demand reports: paced, kept until the next, forgotten in the end."""

from datetime import timedelta

import pytest

from verbenamux_config.entities import Adapter, Model, Target, TargetKind
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import (
    DemandReport,
    Heartbeat,
    ResidentModel,
)
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.peering import PeerTable
from verbenamux_gateway.planning import PlannerDuty
from verbenamux_gateway.settings import PlanningSettings
from verbenamux_placement.planner import Move, MoveKind

INTERVAL = timedelta(seconds=2)


@pytest.fixture
def duty(clock: ManualClock) -> PlannerDuty:
    fleet = Fleet('g-1', clock, lambda *_: None)
    peers = PeerTable('g', 'g-1', clock, lambda *_: None)
    return PlannerDuty(
        'g',
        PlanningSettings(),
        clock,
        fleet,
        peers,
        lambda *_, **__: None,
    )


def test_report_holds_until_the_next_one(
    duty: PlannerDuty,
    clock: ManualClock,
) -> None:
    duty.take_report(DemandReport('other', {'m': 50.0}))
    for _ in range(2):
        clock.advance(INTERVAL)
        duty.note('m', 20)
        assert duty._rates(INTERVAL) == {'m': 60.0}


def test_silent_gateway_is_forgotten(
    duty: PlannerDuty,
    clock: ManualClock,
) -> None:
    duty.take_report(DemandReport('other', {'m': 50.0}))
    clock.advance(timedelta(minutes=1))
    assert not duty._rates(INTERVAL)


def test_period_grows_with_gateways_and_models(duty: PlannerDuty) -> None:
    assert duty.report_period() == INTERVAL
    duty.peers.by_name = {f'g{number}': None for number in range(29)}
    for number in range(660):
        duty.note(f'm{number}', 1)
    assert duty.report_period() > timedelta(minutes=4)


def hear(
    duty: PlannerDuty,
    name: str,
    models: tuple[str, ...],
    **changes: object,
) -> None:
    resident = tuple(ResidentModel(model, 'v1') for model in models)
    told = Heartbeat(
        name, InstanceId(f'{name}-1'), 1, resident=resident, **changes
    )
    duty.fleet.views.learn(told, duty.clock.elapsed())


def test_adapters_count_in_the_plan_as_reported_and_ordered(
    duty: PlannerDuty,
    clock: ManualClock,
) -> None:
    decided: list[tuple[str, str]] = []
    duty.decide = lambda _, **told: decided.append(
        (told['model'], told['target'])
    )
    duty.fleet.views.replace_targets(
        Target(name, TargetKind.ENGINE, '127.0.0.1:1', 'here')
        for name in ('full', 'empty')
    )
    configuration = Configuration(
        models_by_name={'a': Model('a', 'v1', 10)},
        adapters_by_name={'fr': Adapter('fr', 'a', 2)},
    )
    hear(duty, 'empty', (), free_mb=40)
    hear(duty, 'full', ('a',), adapters=('fr',))
    duty._carry_out(configuration, INTERVAL)
    assert not decided
    hear(duty, 'full', ('a',))
    duty._carry_out(configuration, INTERVAL)
    assert decided == [('a', 'empty')]
    move = Move(MoveKind.PLACE, 'empty', 'a', 'v1', '')
    duty.pending['empty', 'a'] = (clock.elapsed(), move)
    duty._carry_out(configuration, INTERVAL)
    assert decided == [('a', 'empty')]
    by_name = {host.name: host for host in duty._hosts()}
    assert by_name['empty'].coming == {'a'}
