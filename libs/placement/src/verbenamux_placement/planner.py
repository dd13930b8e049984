"""Plans model copies: demand against the cost of a move."""

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType

from verbenamux_config.entities import Model

FAST_HALF_LIFE = timedelta(seconds=5)
SLOW_HALF_LIFE = timedelta(seconds=60)
GROW_UTILISATION = 0.7
SHRINK_UTILISATION = 0.5
NO_ADAPTERS: Mapping[str, int] = MappingProxyType({})


class PlacementPolicy(enum.Enum):
    """How copies follow demand; static is a baseline."""

    DEMAND = 'demand'
    STATIC = 'static'


class MoveKind(enum.Enum):
    """What a move does."""

    PLACE = 'place'
    DROP = 'drop'


@dataclass(frozen=True, slots=True)
class Move:
    """One order to one agent, with its reason for the log."""

    kind: MoveKind
    target: str
    model: str
    version: str
    reason: str
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HostState:
    """The planner's view of an engine; memory in MB.

    `adapters_mb` is used by adapters, which are evicted for each other;
    `pending_models` names the models that were ordered and are not reported
    yet.
    """

    name: str
    free_mb: int
    tokens_per_second: float
    version_by_model: Mapping[str, str]
    allowed_models: frozenset[str] = frozenset()
    adapters_mb: int = 0
    pending_models: frozenset[str] = frozenset()

    def may_hold(self, model: str) -> bool:
        """Return whether the target accepts this model at all."""
        return not self.allowed_models or model in self.allowed_models


@dataclass(slots=True)
class Demand:
    """Fast and slow averages of a model's tokens a second."""

    fast: float = 0
    slow: float = 0

    @property
    def level(self) -> float:
        """The larger average: growth counts at once, decline slowly."""
        return max(self.fast, self.slow)


@dataclass(slots=True)
class DemandTable:
    """Demand of every model, decaying over time."""

    by_model: dict[str, Demand] = field(default_factory=dict)

    def observe(
        self,
        rates: Mapping[str, float],
        elapsed: timedelta,
    ) -> None:
        """Fold one interval's tokens a second into the averages."""
        for model in self.by_model.keys() | rates.keys():
            demand = self.by_model.setdefault(model, Demand())
            rate = rates.get(model, 0)
            demand.fast = _average(demand.fast, rate, elapsed, FAST_HALF_LIFE)
            demand.slow = _average(demand.slow, rate, elapsed, SLOW_HALF_LIFE)

    def level(self, model: str) -> float:
        """Return the tokens a second a model needs."""
        demand = self.by_model.get(model)
        return demand.level if demand else 0


def plan_moves(
    models: Iterable[Model],
    hosts: Iterable[HostState],
    demand: DemandTable,
    max_moves: int,
    adapter_reserve_mb: int = 0,
    adapter_mb_by_model: Mapping[str, int] = NO_ADAPTERS,
) -> list[Move]:
    """Return at most `max_moves` moves, the most urgent first.

    First every model gets a copy, then each model's adapters get memory at
    one of its holders, then new versions are placed, then busy models get
    more copies. A spare copy is dropped only when its memory is needed. A
    drop names the other holders, one of which must agree. Each host keeps
    `adapter_reserve_mb` free for adapters, except for a model without any
    holder; `adapter_mb_by_model` is the largest adapter of each model.
    """
    state = _PlanState(
        {host.name: host for host in hosts},
        demand,
        adapter_reserve_mb,
        adapter_mb_by_model,
    )
    ordered = sorted(models, key=lambda model: -demand.level(model.name))
    moves = _all_moves(state, ordered)
    return [move for move, _ in zip(moves, range(max_moves), strict=False)]


@dataclass(slots=True)
class _PlanState:
    hosts_by_name: dict[str, HostState]
    demand: DemandTable
    adapter_reserve_mb: int
    adapter_mb_by_model: Mapping[str, int]
    planned_mb: Counter[str] = field(default_factory=Counter)
    dropped: set[str] = field(default_factory=set)
    holders_by_model: defaultdict[str, list[HostState]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def __post_init__(self) -> None:
        for host in self.hosts_by_name.values():
            for model in host.version_by_model:
                self.holders_by_model[model].append(host)

    def holders(self, model: str) -> list[HostState]:
        return self.holders_by_model[model]

    def remaining_mb(self, host: HostState) -> int:
        return host.free_mb - self.planned_mb[host.name]

    def missing_adapter_mb(self, model: str, host: HostState) -> int:
        """Return the memory missing at a host for a model's largest adapter."""
        needed = self.adapter_mb_by_model.get(model, 0)
        if needed == 0:
            return 0
        return needed - self.remaining_mb(host) - host.adapters_mb

    def has_adapter_capacity(self, model: str) -> bool:
        """Return whether some holder has memory for any adapter of a model."""
        return any(
            self.missing_adapter_mb(model, host) <= 0
            for host in self.holders(model)
        )

    def can_drop(self, model: str, host: HostState) -> bool:
        """Return whether a model's adapters lose no capacity by a drop."""
        return self.missing_adapter_mb(model, host) > 0 or any(
            self.missing_adapter_mb(model, other) <= 0
            for other in self.holders(model)
            if other.name != host.name
        )

    def place(
        self,
        model: Model,
        reason: str,
        reserve_mb: int | None = None,
    ) -> Move | None:
        """Return a load on the host with most free memory, or None.

        `reserve_mb` more than the model needs must be free; by default what
        each host reserves for adapters.
        """
        kept_free_mb = (
            self.adapter_reserve_mb if reserve_mb is None else reserve_mb
        )
        needed = model.memory_mb + kept_free_mb
        fitting_hosts = [
            host
            for host in self.hosts_by_name.values()
            if host.may_hold(model.name)
            and host.version_by_model.get(model.name) != model.version
            and self.remaining_mb(host) >= needed
        ]
        if not fitting_hosts:
            return None
        best = max(
            fitting_hosts, key=lambda host: (self.remaining_mb(host), host.name)
        )
        self.planned_mb[best.name] += model.memory_mb
        return Move(
            MoveKind.PLACE,
            best.name,
            model.name,
            model.version,
            reason,
        )

    def drop(self, model: str, host: HostState, reason: str) -> Move:
        others = tuple(
            holder.name
            for holder in self.holders(model)
            if holder.name != host.name
        )
        self.dropped.add(model)
        version = host.version_by_model[model]
        return Move(MoveKind.DROP, host.name, model, version, reason, others)


def _all_moves(plan: _PlanState, models: list[Model]) -> Iterator[Move]:
    yield from _first_copies(plan, models)
    yield from _copies_for_adapters(plan, models)
    yield from _new_versions(plan, models)
    yield from _grow(plan, models)


def _first_copies(plan: _PlanState, models: list[Model]) -> Iterator[Move]:
    for model in models:
        held = len(plan.holders(model.name))
        for copy_index in range(held, model.copies_least):
            # A first copy has priority over memory reserved for adapters.
            move = plan.place(
                model,
                'below its minimum number of copies',
                reserve_mb=None if copy_index else 0,
            )
            if move is None:
                move = _drop_spare_copy(plan, models, model)
            if move is not None:
                yield move


def _copies_for_adapters(
    plan: _PlanState, models: list[Model]
) -> Iterator[Move]:
    """Yield moves for models whose adapters fit at no holder.

    Another copy is placed where both fit; otherwise a spare copy is dropped
    where that frees enough memory, or another model on the same host moves.
    """
    for model in models:
        if not plan.holders(model.name) or plan.has_adapter_capacity(
            model.name
        ):
            continue
        reason = 'no holder has memory for its adapters'
        move = (
            plan.place(model, reason)
            or plan.place(
                model,
                reason,
                reserve_mb=plan.adapter_mb_by_model[model.name],
            )
            or _drop_for_adapters(plan, models, model)
            or _move_for_adapters(plan, models, model)
        )
        if move is not None:
            yield move


def _drop_for_adapters(
    plan: _PlanState,
    models: list[Model],
    beneficiary: Model,
) -> Move | None:
    """Drop a spare copy where that lets an adapter of a model fit."""

    def helps(model: Model, host: HostState) -> bool:
        missing_mb = plan.missing_adapter_mb(beneficiary.name, host)
        if beneficiary.name not in host.version_by_model:
            missing_mb += beneficiary.memory_mb
        return missing_mb <= model.memory_mb

    return _drop_spare_copy(plan, models, beneficiary, helps)


def _move_for_adapters(
    plan: _PlanState,
    models: list[Model],
    beneficiary: Model,
) -> Move | None:
    """Place a model elsewhere, so that its copy next to another can go."""
    for model in reversed(models):
        shares_host = any(
            model.name in host.version_by_model
            and plan.missing_adapter_mb(beneficiary.name, host)
            <= model.memory_mb
            for host in plan.holders(beneficiary.name)
        )
        if model.name == beneficiary.name or not shares_host:
            continue
        move = plan.place(
            model, f'frees memory for adapters of {beneficiary.name}'
        )
        if move is not None:
            return move
    return None


def _new_versions(plan: _PlanState, models: list[Model]) -> Iterator[Move]:
    for model in models:
        holders = plan.holders(model.name)
        old = [
            host
            for host in holders
            if host.version_by_model[model.name] != model.version
        ]
        if not old:
            continue
        fitting_holders = [
            host for host in old if plan.remaining_mb(host) >= model.memory_mb
        ]
        if fitting_holders:
            plan.planned_mb[fitting_holders[0].name] += model.memory_mb
            yield Move(
                MoveKind.PLACE,
                fitting_holders[0].name,
                model.name,
                model.version,
                'new version next to the old one',
            )
        elif len(holders) > 1:
            yield plan.drop(
                model.name, old[0], 'old version, no memory for both'
            )
        else:
            move = plan.place(model, 'new version on another host first')
            if move is not None:
                yield move


def _grow(plan: _PlanState, models: list[Model]) -> Iterator[Move]:
    for model in models:
        holders = plan.holders(model.name)
        wanted = _wanted_copies(plan, model, holders, GROW_UTILISATION)
        if holders and wanted > len(holders):
            reason = f'demand requires {wanted} copies'
            move = plan.place(model, reason) or _drop_spare_copy(
                plan, models, model
            )
            if move is not None:
                yield move


def _wanted_copies(
    plan: _PlanState,
    model: Model,
    holders: list[HostState],
    utilisation: float,
) -> int:
    if not holders:
        return model.copies_least
    tokens_per_second = sum(host.tokens_per_second for host in holders) / len(
        holders
    )
    load = plan.demand.level(model.name) / (tokens_per_second * utilisation)
    return max(model.copies_least, math.ceil(load))


def _drop_spare_copy(
    plan: _PlanState,
    models: list[Model],
    beneficiary: Model,
    helps: Callable[[Model, HostState], bool] | None = None,
) -> Move | None:
    """Drop a spare copy of the model with the least demand that has one.

    The only copy with memory for its adapters is dropped only for a model
    without any holder. Where given, `helps` selects the copies worth a drop.
    """
    is_first_copy = not plan.holders(beneficiary.name)
    for model in reversed(models):
        if model.name in plan.dropped or model.name == beneficiary.name:
            continue
        hosts = [
            host
            for host in _spare_holders(plan, model)
            if host.may_hold(beneficiary.name)
            and (is_first_copy or plan.can_drop(model.name, host))
            and (helps is None or helps(model, host))
        ]
        if hosts:
            victim = min(hosts, key=lambda host: host.free_mb)
            return plan.drop(
                model.name, victim, f'memory for {beneficiary.name}'
            )
    return None


def _spare_holders(plan: _PlanState, model: Model) -> list[HostState]:
    """Return a model's holders when it has more than it needs.

    A pending copy does not count: its host can't agree to keep it.
    """
    holders = [
        host
        for host in plan.holders(model.name)
        if model.name not in host.pending_models
    ]
    wanted = _wanted_copies(plan, model, holders, SHRINK_UTILISATION)
    return holders if len(holders) > wanted else []


def _average(
    old: float,
    rate: float,
    elapsed: timedelta,
    half_life: timedelta,
) -> float:
    keep = 0.5 ** (elapsed / half_life)
    return old * keep + rate * (1 - keep)
