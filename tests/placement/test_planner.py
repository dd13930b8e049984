"""The planner: first copies, then new versions, then demand."""

from datetime import timedelta

from verbenamux_config.entities import Model
from verbenamux_placement.planner import (
    DemandTable,
    HostState,
    Move,
    MoveKind,
    plan_moves,
)

MAX_MOVES = 10
TOKENS_PER_SECOND = 100.0


def host(name: str, free_mb: int, *models: str, **versions: str) -> HostState:
    held = dict.fromkeys(models, 'v1') | versions
    return HostState(name, free_mb, TOKENS_PER_SECOND, held)


def plan(
    models: list[Model],
    hosts: list[HostState],
    **rates: float,
) -> list[Move]:
    demand = DemandTable()
    demand.observe(rates, timedelta(hours=1))
    return plan_moves(models, hosts, demand, MAX_MOVES)


def test_every_model_gets_a_copy_first() -> None:
    models = [Model('a', 'v1', 10), Model('b', 'v1', 10)]
    moves = plan(models, [host('h', 20)])
    assert {move.model for move in moves} == {'a', 'b'}
    assert all(move.kind is MoveKind.PLACE for move in moves)


def test_only_a_spare_copy_is_dropped_for_memory() -> None:
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


def test_without_memory_for_both_one_old_copy_is_dropped_at_a_time() -> None:
    moves = plan([Model('a', 'v2', 10)], [host('h', 0, 'a'), host('i', 0, 'a')])
    assert [(move.kind, move.version) for move in moves] == [
        (MoveKind.DROP, 'v1'),
    ]


def test_no_more_moves_than_the_store_can_take() -> None:
    models = [Model(f'm{number}', 'v1', 1) for number in range(50)]
    assert len(plan(models, [host('h', 100)])) == MAX_MOVES


def test_adapter_reserve_is_kept_except_for_first_copies() -> None:
    models = [Model('a', 'v1', 10)]
    first = plan_moves(models, [host('h', 10)], DemandTable(), MAX_MOVES, 5)
    assert len(first) == 1
    second = [Model('a', 'v1', 10, copies_least=2)]
    hosts = [host('h', 0, 'a'), host('i', 10)]
    assert not plan_moves(second, hosts, DemandTable(), MAX_MOVES, 5)


ADAPTER_MB = 2
ADAPTER_RESERVE_MB = 8


def plan_for_adapters(
    models: list[Model],
    hosts: list[HostState],
    **rates: float,
) -> list[tuple[MoveKind, str, str]]:
    """Return kind, model and target of the moves; `a` has adapters."""
    demand = DemandTable()
    demand.observe(rates, timedelta(hours=1))
    moves = plan_moves(
        models, hosts, demand, MAX_MOVES, ADAPTER_RESERVE_MB, {'a': ADAPTER_MB}
    )
    return [(move.kind, move.model, move.target) for move in moves]


def models_of(names: str) -> list[Model]:
    return [Model(name, 'v1', 10) for name in names]


def test_model_without_adapter_capacity_gets_a_copy_elsewhere() -> None:
    hosts = [host('full', 0, 'a', 'b', 'c'), host('empty', 40)]
    assert plan_for_adapters(models_of('abc'), hosts) == [
        (MoveKind.PLACE, 'a', 'empty'),
    ]


def test_copy_for_adapters_leaves_space_for_the_largest() -> None:
    hosts = [host('full', 0, 'a'), host('tight', 12, 'b')]
    assert plan_for_adapters(models_of('ab'), hosts) == [
        (MoveKind.PLACE, 'a', 'tight'),
    ]
    hosts = [host('full', 0, 'a'), host('tight', 11, 'b')]
    assert not plan_for_adapters(models_of('ab'), hosts)


def test_memory_of_loaded_adapters_counts_as_adapter_capacity() -> None:
    loaded = HostState(
        'full', 0, TOKENS_PER_SECOND, {'a': 'v1'}, adapters_mb=ADAPTER_MB
    )
    assert not plan_for_adapters(models_of('a'), [loaded, host('empty', 40)])


def test_pending_copy_for_adapters_is_not_ordered_twice() -> None:
    ordered = HostState(
        'other',
        30,
        TOKENS_PER_SECOND,
        {'a': 'v1'},
        pending_models=frozenset('a'),
    )
    hosts = [host('full', 0, 'a'), ordered, host('empty', 40)]
    assert not plan_for_adapters(models_of('a'), hosts)


def test_spare_copy_is_dropped_where_that_lets_adapters_fit() -> None:
    hosts = [host('full', 0, 'a', 'b'), host('other', 0, 'b', 'c')]
    assert plan_for_adapters(models_of('abc'), hosts) == [
        (MoveKind.DROP, 'b', 'full'),
    ]


def test_model_on_the_same_host_moves_when_no_copy_is_spare() -> None:
    models = [Model('a', 'v1', 30), Model('b', 'v1', 10)]
    full = host('full', 0, 'a', 'b')
    assert plan_for_adapters(models, [full, host('other', 18)]) == [
        (MoveKind.PLACE, 'b', 'other'),
    ]
    pending = HostState(
        'other',
        8,
        TOKENS_PER_SECOND,
        {'b': 'v1'},
        pending_models=frozenset('b'),
    )
    assert not plan_for_adapters(models, [full, pending])
    assert plan_for_adapters(models, [full, host('other', 8, 'b')]) == [
        (MoveKind.DROP, 'b', 'full'),
    ]


def test_only_copy_with_adapter_capacity_stays_while_others_grow() -> None:
    hosts = [host('spacious', 5, 'a'), host('full', 0, 'a'), host('i', 0, 'b')]
    assert plan_for_adapters(models_of('ab'), hosts, b=90) == [
        (MoveKind.DROP, 'a', 'full'),
    ]
    restricted = HostState(
        'full', 0, TOKENS_PER_SECOND, {'a': 'v1'}, frozenset('a')
    )
    assert not plan_for_adapters(
        models_of('ab'), [hosts[0], restricted, hosts[2]], b=90
    )


def test_first_copy_of_a_model_precedes_adapter_capacity() -> None:
    restricted = HostState(
        'full', 0, TOKENS_PER_SECOND, {'a': 'v1'}, frozenset('a')
    )
    hosts = [host('spacious', 5, 'a'), restricted]
    assert plan_for_adapters(models_of('ab'), hosts) == [
        (MoveKind.DROP, 'a', 'spacious'),
    ]


def test_model_without_adapters_needs_no_adapter_capacity() -> None:
    # Ordered memory may exceed the free memory in a late report.
    hosts = [host('over', -10, 'b'), host('empty', 40)]
    assert not plan_for_adapters(models_of('b'), hosts)
