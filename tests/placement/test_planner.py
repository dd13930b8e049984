"""The planner: reach first, then versions, then demand."""

from datetime import timedelta

from verbenamux_config.entities import Model
from verbenamux_placement.planner import (
    DemandTable,
    HostState,
    Move,
    MoveKind,
    plan_moves,
)

MOST = 10
PACE = 100.0


def host(name: str, free_mb: int, *models: str, **versions: str) -> HostState:
    held = dict.fromkeys(models, 'v1') | versions
    return HostState(name, free_mb, PACE, held)


def plan(
    models: list[Model],
    hosts: list[HostState],
    **rates: float,
) -> list[Move]:
    demand = DemandTable()
    demand.observe(rates, timedelta(hours=1))
    return plan_moves(models, hosts, demand, MOST)


def test_every_model_gets_a_copy_first() -> None:
    models = [Model('a', 'v1', 10), Model('b', 'v1', 10)]
    moves = plan(models, [host('h', 20)])
    assert {move.model for move in moves} == {'a', 'b'}
    assert all(move.kind is MoveKind.PLACE for move in moves)


def test_room_is_made_by_a_spare_copy_only() -> None:
    models = [Model('a', 'v1', 10), Model('b', 'v1', 10)]
    moves = plan(models, [host('h', 0, 'a'), host('i', 0, 'a')])
    assert [move.kind for move in moves] == [MoveKind.DROP]
    assert moves[0].model == 'a'
    assert len(moves[0].holders) == 1


def test_last_copy_is_never_dropped() -> None:
    models = [Model('a', 'v1', 10), Model('b', 'v1', 10)]
    assert not plan(models, [host('h', 0, 'a')])


def test_demand_grows_copies() -> None:
    models = [Model('a', 'v1', 10)]
    hosts = [host('h', 0, 'a'), host('i', 10)]
    assert not plan(models, hosts, a=50)
    moves = plan(models, hosts, a=90)
    assert [(move.kind, move.target) for move in moves] == [
        (MoveKind.PLACE, 'i'),
    ]


def test_copy_in_use_is_not_dropped_for_another() -> None:
    models = [Model('a', 'v1', 10), Model('b', 'v1', 10)]
    hosts = [host('h', 0, 'a'), host('i', 0, 'a'), host('j', 0, 'b')]
    assert not plan(models, hosts, a=90, b=90)


def test_new_version_loads_beside_the_old_where_it_fits() -> None:
    moves = plan([Model('a', 'v2', 10)], [host('h', 10, 'a')])
    assert [(move.kind, move.version) for move in moves] == [
        (MoveKind.PLACE, 'v2'),
    ]


def test_without_room_one_old_replica_goes_at_a_time() -> None:
    moves = plan([Model('a', 'v2', 10)], [host('h', 0, 'a'), host('i', 0, 'a')])
    assert [(move.kind, move.version) for move in moves] == [
        (MoveKind.DROP, 'v1'),
    ]


def test_no_more_moves_than_the_store_can_take() -> None:
    models = [Model(f'm{number}', 'v1', 1) for number in range(50)]
    assert len(plan(models, [host('h', 100)])) == MOST


def test_room_for_adapters_is_kept_but_not_before_first_copies() -> None:
    models = [Model('a', 'v1', 10)]
    first = plan_moves(models, [host('h', 10)], DemandTable(), MOST, 5)
    assert len(first) == 1
    second = [Model('a', 'v1', 10, copies_least=2)]
    hosts = [host('h', 0, 'a'), host('i', 10)]
    assert not plan_moves(second, hosts, DemandTable(), MOST, 5)
