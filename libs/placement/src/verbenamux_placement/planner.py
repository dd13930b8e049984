"""Which models to copy where: demand against what a move costs."""

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_config.entities import Model

FAST_HALF_LIFE = timedelta(seconds=5)
SLOW_HALF_LIFE = timedelta(seconds=60)
GROW_AT = 0.7
SHRINK_AT = 0.5


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
    """What the planner knows of an engine; memory in MB."""

    name: str
    free_mb: int
    tokens_per_second: float
    version_by_model: Mapping[str, str]
    allowed: frozenset[str] = frozenset()

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
) -> list[Move]:
    """Return at most so many moves, the most urgent first.

    First every model gets a copy, then new versions come in, then busy
    models grow. A spare copy goes only when its room is needed. A drop
    names the other holders, one of which must agree. Each host keeps some
    room free for adapters.
    """
    state = _Plan({host.name: host for host in hosts}, demand, adapter_room_mb)
    ordered = sorted(models, key=lambda model: -demand.level(model.name))
    moves = _all_moves(state, ordered)
    return [move for move, _ in zip(moves, range(most), strict=False)]


@dataclass(slots=True)
class _Plan:
    hosts_by_name: dict[str, HostState]
    demand: DemandTable
    adapter_room_mb: int
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

    def place(
        self,
        model: Model,
        reason: str,
        *,
        keep_room: bool = True,
    ) -> Move | None:
        needed = model.memory_mb + self.adapter_room_mb * keep_room
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
                keep_room=copy > 0,
            )
            if move is None:
                move = _make_room(plan, models, model)
            if move is not None:
                yield move


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
) -> Move | None:
    """Drop a spare copy of the least wanted model that has one."""
    for model in reversed(models):
        holders = plan.holders(model.name)
        spare = len(holders) - _wanted_copies(
            plan,
            model,
            holders,
            SHRINK_AT,
        )
        if model.name in plan.dropped or model.name == needy.name or spare < 1:
            continue
        hosts = [host for host in holders if host.may_hold(needy.name)]
        if hosts:
            victim = min(hosts, key=lambda host: host.free_mb)
            return plan.drop(model.name, victim, f'room for {needy.name}')
    return None


def _average(
    old: float,
    rate: float,
    elapsed: timedelta,
    half_life: timedelta,
) -> float:
    keep = 0.5 ** (elapsed / half_life)
    return old * keep + rate * (1 - keep)
