"""Demand reports: their interval, replacement and expiry."""

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
from verbenamux_gateway.planning import PlacementPlanner
from verbenamux_gateway.settings import PlanningSettings
from verbenamux_placement.planner import Move, MoveKind

INTERVAL = timedelta(seconds=2)


@pytest.fixture
def planner(clock: ManualClock) -> PlacementPlanner:
    fleet = Fleet('g-1', clock, lambda *_: None)
    peers = PeerTable('g', 'g-1', clock, lambda *_: None)
    return PlacementPlanner(
        'g',
        PlanningSettings(),
        clock,
        fleet,
        peers,
        lambda *_, **__: None,
    )


def test_report_is_used_until_the_next_one(
    planner: PlacementPlanner,
    clock: ManualClock,
) -> None:
    planner.receive_report(DemandReport('other', {'m': 50.0}))
    for _ in range(2):
        clock.advance(INTERVAL)
        planner.count_demand('m', 20)
        assert planner._rates(INTERVAL) == {'m': 60.0}


def test_report_of_an_unresponsive_gateway_expires(
    planner: PlacementPlanner,
    clock: ManualClock,
) -> None:
    planner.receive_report(DemandReport('other', {'m': 50.0}))
    clock.advance(timedelta(minutes=1))
    assert not planner._rates(INTERVAL)


def test_report_interval_grows_with_gateways_and_models(
    planner: PlacementPlanner,
) -> None:
    assert planner.report_interval() == INTERVAL
    planner.peers.by_name = {f'g{number}': None for number in range(29)}
    for number in range(660):
        planner.count_demand(f'm{number}', 1)
    assert planner.report_interval() > timedelta(minutes=4)


def receive_heartbeat(
    planner: PlacementPlanner,
    name: str,
    models: tuple[str, ...],
    **changes: object,
) -> None:
    resident = tuple(ResidentModel(model, 'v1') for model in models)
    heartbeat = Heartbeat(
        name, InstanceId(f'{name}-1'), 1, resident=resident, **changes
    )
    planner.fleet.views.apply_heartbeat(heartbeat, planner.clock.elapsed())


def test_plan_counts_reported_adapters_and_pending_orders(
    planner: PlacementPlanner,
    clock: ManualClock,
) -> None:
    logged_moves: list[tuple[str, str]] = []
    planner.log_decision = lambda _, **fields: logged_moves.append(
        (fields['model'], fields['target'])
    )
    planner.fleet.views.replace_targets(
        Target(name, TargetKind.ENGINE, '127.0.0.1:1', 'here')
        for name in ('full', 'empty')
    )
    configuration = Configuration(
        models_by_name={'a': Model('a', 'v1', 10)},
        adapters_by_name={'fr': Adapter('fr', 'a', 2)},
    )
    receive_heartbeat(planner, 'empty', (), free_mb=40)
    receive_heartbeat(planner, 'full', ('a',), adapters=('fr',))
    planner._plan_and_send(configuration, INTERVAL)
    assert not logged_moves
    receive_heartbeat(planner, 'full', ('a',))
    planner._plan_and_send(configuration, INTERVAL)
    assert logged_moves == [('a', 'empty')]
    move = Move(MoveKind.PLACE, 'empty', 'a', 'v1', '')
    planner.pending_moves['empty', 'a'] = (clock.elapsed(), move)
    planner._plan_and_send(configuration, INTERVAL)
    assert logged_moves == [('a', 'empty')]
    by_name = {host.name: host for host in planner._host_states()}
    assert by_name['empty'].pending_models == {'a'}
