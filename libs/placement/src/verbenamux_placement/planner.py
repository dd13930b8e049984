"""Which models to copy where: demand against what a move costs."""

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
GROW_AT = 0.7
SHRINK_AT = 0.5
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
    """What the planner knows of an engine; memory in MB.

    `adapters_mb` is taken by adapters, which make way for each other;
    `coming` names the models that were ordered and are not reported yet.
    """

    name: str
    free_mb: int
    tokens_per_second: float
    version_by_model: Mapping[str, str]
    allowed: frozenset[str] = frozenset()
    adapters_mb: int = 0
    coming: frozenset[str] = frozenset()

    def may_hold(self, model: str) -> bool:
        """Tell whether the target takes this model at all."""
        return not self.allowed or model in self.allowed


@dataclass(slots=True)
class Demand:
    """Fast and slow averages of a model's tokens a second."""

    fast: float = 0
    slow: float = 0

    @property
    def level(self) -> float:
        """Growth is believed at once, decline only slowly."""
        return max(self.fast, self.slow)


@dataclass(slots=True)
class DemandTable:
    """Demand of every model, decayed by the clock."""

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
    most: int,
    adapter_room_mb: int = 0,
    adapter_mb_by_model: Mapping[str, int] = NO_ADAPTERS,
) -> list[Move]:
    """Return at most so many moves, the most urgent first.

    First every model gets a copy, then each model's adapters get room at
    one of its holders, then new versions come in, then busy models grow. A
    spare copy goes only when its room is needed. A drop names the other
    holders, one of which must agree. Each host keeps some room free for
    adapters, `adapter_room_mb`, but for a model that nobody holds;
    `adapter_mb_by_model` is the largest adapter of each model.
    """
    state = _Plan(
        {host.name: host for host in hosts},
        demand,
        adapter_room_mb,
        adapter_mb_by_model,
    )
    ordered = sorted(models, key=lambda model: -demand.level(model.name))
    moves = _all_moves(state, ordered)
    return [move for move, _ in zip(moves, range(most), strict=False)]


@dataclass(slots=True)
class _Plan:
    hosts_by_name: dict[str, HostState]
    demand: DemandTable
    adapter_room_mb: int
    adapter_mb_by_model: Mapping[str, int]
    taken_mb: Counter[str] = field(default_factory=Counter)
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

    def room(self, host: HostState) -> int:
        return host.free_mb - self.taken_mb[host.name]

    def lacks_mb(self, model: str, host: HostState) -> int:
        """Return what a model's largest adapter lacks at a host."""
        needed = self.adapter_mb_by_model.get(model, 0)
        if needed == 0:
            return 0
        return needed - self.room(host) - host.adapters_mb

    def serves_adapters(self, model: str) -> bool:
        """Tell whether some holder has room for any adapter of a model."""
        return any(
            self.lacks_mb(model, host) <= 0 for host in self.holders(model)
        )

    def may_drop(self, model: str, host: HostState) -> bool:
        """Tell whether a model's adapters lose no room by a drop."""
        return self.lacks_mb(model, host) > 0 or any(
            self.lacks_mb(model, other) <= 0
            for other in self.holders(model)
            if other.name != host.name
        )

    def place(
        self,
        model: Model,
        reason: str,
        room_mb: int | None = None,
    ) -> Move | None:
        """Return a load where there is most room, or None.

        So much stays free beside the model; by default the room that each
        host keeps for adapters.
        """
        spare_mb = self.adapter_room_mb if room_mb is None else room_mb
        needed = model.memory_mb + spare_mb
        fitting = [
            host
            for host in self.hosts_by_name.values()
            if host.may_hold(model.name)
            and host.version_by_model.get(model.name) != model.version
            and self.room(host) >= needed
        ]
        if not fitting:
            return None
        best = max(fitting, key=lambda host: (self.room(host), host.name))
        self.taken_mb[best.name] += model.memory_mb
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


def _all_moves(plan: _Plan, models: list[Model]) -> Iterator[Move]:
    yield from _first_copies(plan, models)
    yield from _adapter_room(plan, models)
    yield from _new_versions(plan, models)
    yield from _grow(plan, models)


def _first_copies(plan: _Plan, models: list[Model]) -> Iterator[Move]:
    for model in models:
        held = len(plan.holders(model.name))
        for copy in range(held, model.copies_least):
            # A model that nobody holds goes before room for adapters.
            move = plan.place(
                model,
                'below its least copies',
                room_mb=None if copy else 0,
            )
            if move is None:
                move = _make_room(plan, models, model)
            if move is not None:
                yield move


def _adapter_room(plan: _Plan, models: list[Model]) -> Iterator[Move]:
    """Yield moves for models whose adapters have no room at any holder.

    Another copy comes where there is room for both; else a spare copy goes
    where that makes room, or a copy beside the model moves elsewhere.
    """
    for model in models:
        if not plan.holders(model.name) or plan.serves_adapters(model.name):
            continue
        reason = 'no holder has room for its adapters'
        move = (
            plan.place(model, reason)
            or plan.place(
                model,
                reason,
                room_mb=plan.adapter_mb_by_model[model.name],
            )
            or _drop_for_adapters(plan, models, model)
            or _move_for_adapters(plan, models, model)
        )
        if move is not None:
            yield move


def _drop_for_adapters(
    plan: _Plan,
    models: list[Model],
    needy: Model,
) -> Move | None:
    """Drop a spare copy where that lets in an adapter of a model."""

    def helps(model: Model, host: HostState) -> bool:
        lacking = plan.lacks_mb(needy.name, host)
        if needy.name not in host.version_by_model:
            lacking += needy.memory_mb
        return lacking <= model.memory_mb

    return _make_room(plan, models, needy, helps)


def _move_for_adapters(
    plan: _Plan,
    models: list[Model],
    needy: Model,
) -> Move | None:
    """Place a model elsewhere, so that its copy beside another can go."""
    for model in reversed(models):
        beside = any(
            model.name in host.version_by_model
            and plan.lacks_mb(needy.name, host) <= model.memory_mb
            for host in plan.holders(needy.name)
        )
        if model.name == needy.name or not beside:
            continue
        move = plan.place(model, f'leaves room for adapters of {needy.name}')
        if move is not None:
            return move
    return None


def _new_versions(plan: _Plan, models: list[Model]) -> Iterator[Move]:
    for model in models:
        holders = plan.holders(model.name)
        old = [
            host
            for host in holders
            if host.version_by_model[model.name] != model.version
        ]
        if not old:
            continue
        beside = [host for host in old if plan.room(host) >= model.memory_mb]
        if beside:
            plan.taken_mb[beside[0].name] += model.memory_mb
            yield Move(
                MoveKind.PLACE,
                beside[0].name,
                model.name,
                model.version,
                'new version beside the old',
            )
        elif len(holders) > 1:
            yield plan.drop(model.name, old[0], 'old version, no room beside')
        else:
            move = plan.place(model, 'new version elsewhere first')
            if move is not None:
                yield move


def _grow(plan: _Plan, models: list[Model]) -> Iterator[Move]:
    for model in models:
        holders = plan.holders(model.name)
        wanted = _wanted_copies(plan, model, holders, GROW_AT)
        if holders and wanted > len(holders):
            reason = f'demand asks for {wanted} copies'
            move = plan.place(model, reason) or _make_room(plan, models, model)
            if move is not None:
                yield move


def _wanted_copies(
    plan: _Plan,
    model: Model,
    holders: list[HostState],
    utilisation: float,
) -> int:
    if not holders:
        return model.copies_least
    pace = sum(host.tokens_per_second for host in holders) / len(holders)
    load = plan.demand.level(model.name) / (pace * utilisation)
    return max(model.copies_least, math.ceil(load))


def _make_room(
    plan: _Plan,
    models: list[Model],
    needy: Model,
    helps: Callable[[Model, HostState], bool] | None = None,
) -> Move | None:
    """Drop a spare copy of the least wanted model that has one.

    A copy that alone has room for its adapters goes only for a model that
    nobody holds. Where given, `helps` tells which copies are worth a drop.
    """
    unheld = not plan.holders(needy.name)
    for model in reversed(models):
        if model.name in plan.dropped or model.name == needy.name:
            continue
        hosts = [
            host
            for host in _spare_holders(plan, model)
            if host.may_hold(needy.name)
            and (unheld or plan.may_drop(model.name, host))
            and (helps is None or helps(model, host))
        ]
        if hosts:
            victim = min(hosts, key=lambda host: host.free_mb)
            return plan.drop(model.name, victim, f'room for {needy.name}')
    return None


def _spare_holders(plan: _Plan, model: Model) -> list[HostState]:
    """Return a model's holders when it has more than it needs.

    A copy on its way counts as none: its host can't agree to keep it.
    """
    holders = [
        host
        for host in plan.holders(model.name)
        if model.name not in host.coming
    ]
    wanted = _wanted_copies(plan, model, holders, SHRINK_AT)
    return holders if len(holders) > wanted else []


def _average(
    old: float,
    rate: float,
    elapsed: timedelta,
    half_life: timedelta,
) -> float:
    keep = 0.5 ** (elapsed / half_life)
    return old * keep + rate * (1 - keep)
