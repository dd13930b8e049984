"""Decides which target loads a model, and which models are evicted for it.

Load patterns: a rare model is requested that no target holds; demand shifts
between busy models within seconds; a target with many models is lost. Copies
follow the requests that wait for their first event, whatever a model's speed;
requests that are being answered need no further copy. The models with the
least demand per copy are evicted.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from heapq import heapify, heappop, heappush

from verbenamux_contracts.rendezvous import weight
from verbenamux_relay.catalog import EngineTerms, ModelTerms

# A copy is added only if more requests than this wait per copy; the threshold
# is higher for loads from the weight store, which all targets share.
MIN_WAITING_PER_COPY = 1.0
MIN_WAITING_PER_COLD_COPY = 1.5
# The evicted models' demand must be lower than the new one's by this factor.
EVICTION_HYSTERESIS = 2.0
# Factor on the loss of evicting the only copy of a model.
LAST_COPY_FACTOR = 3.0
# Cost of evicting a copy, per unit of its demand.
EVICTION_COST = timedelta(seconds=1)
# Cost per running request at a target: a copy beside other busy models reduces
# the load little.
RUNNING_REQUEST_COST = timedelta(milliseconds=40)
# Cost of a load from the weight store in addition to its duration.
STORE_LOAD_PENALTY = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Holding:
    """The models at a target, and its capacity for more.

    `can_load_cold` is false while its share of the weight store's load rate is
    used up; `loading` names the model being loaded, `running` counts its
    requests.
    """

    target_id: str
    models: frozenset[str]
    on_disk: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    loading: str | None = None
    can_load_cold: bool = True
    running: int = 0


@dataclass(frozen=True, slots=True)
class Move:
    """A model to load at a target, and the models to evict first."""

    target_id: str
    model: str
    evict: tuple[str, ...] = ()
    is_cold: bool = False
    load_time: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting requests and the recent request rate, by model.

    Both cover all gateways. `recent_by_model` is in requests per second.
    """

    waiting_by_model: Mapping[str, float]
    recent_by_model: Mapping[str, float]

    def weight(self, model: str) -> float:
        """Return a model's demand, in requests."""
        recent = self.recent_by_model.get(model, 0)
        return self.waiting_by_model.get(model, 0) + recent


def copies(holdings: Iterable[Holding]) -> dict[str, int]:
    """Count the copies of each model, including those being loaded."""
    count_by_model: dict[str, int] = {}
    for holding in holdings:
        model_names = holding.models | {holding.loading or ''}
        for model in model_names - {''}:
            count_by_model[model] = count_by_model.get(model, 0) + 1
    return count_by_model


def place(
    model: str,
    holdings: tuple[Holding, ...],
    terms: EngineTerms,
    demand: Demand,
) -> Move | None:
    """Return the cheapest move by load time and loss from evictions.

    None when no target can load the model now.
    """
    return _cheapest_move(model, holdings, terms, demand, copies(holdings))


def plan(
    holdings: tuple[Holding, ...],
    terms: EngineTerms,
    demand: Demand,
) -> Iterator[Move]:
    """Yield moves that adapt copies to demand, highest gain first.

    Models without any copy are loaded into free memory only; a request for
    one loads it anyway.
    """
    holding_by_target = {holding.target_id: holding for holding in holdings}
    count_by_model = copies(holdings)
    by_gain = [
        (-_gain(name, demand, count_by_model), name)
        for name in terms.models_by_name
    ]
    heapify(by_gain)
    while by_gain:
        _, model = heappop(by_gain)
        candidates = tuple(holding_by_target.values())
        move = _worthwhile_move(
            model, candidates, terms, demand, count_by_model
        )
        if move is None:
            continue
        yield move
        holding_by_target[move.target_id] = replace(
            holding_by_target[move.target_id],
            loading=model,
        )
        count_by_model[model] = count_by_model.get(model, 0) + 1
        heappush(by_gain, (-_gain(model, demand, count_by_model), model))


def _worthwhile_move(
    model: str,
    candidates: tuple[Holding, ...],
    terms: EngineTerms,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> Move | None:
    """Return a model's best move if it is worth its cost.

    Only targets that qualify are evaluated: evaluating all of them for each
    model is too slow for a large fleet.
    """
    if not count_by_model.get(model):
        candidates = tuple(
            _with_free_memory(terms.models_by_name[model], candidates, terms)
        )
    elif not _has_enough_waiting(model, demand, count_by_model):
        return None
    move = _cheapest_move(model, candidates, terms, demand, count_by_model)
    if move is None or not _is_worthwhile(move, demand, count_by_model):
        return None
    return move


def _cheapest_move(
    model: str,
    holdings: Iterable[Holding],
    terms: EngineTerms,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> Move | None:
    if model not in terms.models_by_name:
        return None
    priced_moves = (
        _priced_move(model, holding, terms, demand, count_by_model)
        for holding in holdings
        if holding.loading is None and model not in holding.models
    )
    best = min(
        (
            priced_move
            for priced_move in priced_moves
            if priced_move is not None
        ),
        key=lambda priced_move: (
            priced_move[0],
            -weight(model, priced_move[1].target_id),
        ),
        default=None,
    )
    return best[1] if best else None


def _has_enough_waiting(
    model: str,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> bool:
    """Return whether enough requests wait to consider another copy."""
    return (
        _waiting_per_copy(model, demand, count_by_model) > MIN_WAITING_PER_COPY
    )


def _waiting_per_copy(
    model: str,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> float:
    """Return the waiting requests per copy of a model."""
    waiting = demand.waiting_by_model.get(model, 0)
    return waiting / max(count_by_model.get(model, 0), 1)


def _with_free_memory(
    new_model: ModelTerms,
    holdings: Iterable[Holding],
    terms: EngineTerms,
) -> Iterator[Holding]:
    """Yield the targets with enough free memory without any eviction."""
    for holding in holdings:
        taken = sum(
            terms.models_by_name[name].weights_mb
            for name in holding.models & terms.models_by_name.keys()
        )
        if taken + new_model.weights_mb <= terms.weights_mb:
            yield holding


def load_time(terms: ModelTerms, holding: Holding) -> timedelta:
    """Return how long a load takes at a target."""
    if terms.name in holding.in_memory:
        return terms.warm_load
    if terms.name in holding.on_disk:
        return terms.disk_load
    return terms.cold_load


def _gain(
    model: str,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> float:
    """Return the gain from one more copy; it is highest for the first."""
    return demand.weight(model) / (count_by_model.get(model, 0) + 0.5)


def _is_worthwhile(
    move: Move,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> bool:
    if count_by_model.get(move.model, 0):
        return _reduces_load(move, demand, count_by_model)
    return not move.evict and (
        not move.is_cold or demand.weight(move.model) > 0
    )


def _reduces_load(
    move: Move,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> bool:
    gain = _waiting_per_copy(move.model, demand, count_by_model)
    loss = sum(
        _demand_per_copy(victim, demand, count_by_model)
        for victim in move.evict
    )
    threshold = (
        MIN_WAITING_PER_COLD_COPY if move.is_cold else MIN_WAITING_PER_COPY
    )
    return gain > threshold and gain > loss * EVICTION_HYSTERESIS


def _priced_move(
    model: str,
    holding: Holding,
    terms: EngineTerms,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> tuple[timedelta, Move] | None:
    new_model = terms.models_by_name[model]
    is_cold = model not in holding.on_disk | holding.in_memory
    if is_cold and not holding.can_load_cold:
        return None
    evict = _select_evictions(new_model, holding, terms, demand, count_by_model)
    if evict is None:
        return None
    loss = sum(
        _eviction_loss(victim, demand, count_by_model) for victim in evict
    )
    price = load_time(new_model, holding) + EVICTION_COST * loss
    price += RUNNING_REQUEST_COST * holding.running
    if is_cold:
        price += STORE_LOAD_PENALTY
    move = Move(
        holding.target_id,
        model,
        evict,
        is_cold,
        load_time(new_model, holding),
    )
    return price, move


def _select_evictions(
    new_model: ModelTerms,
    holding: Holding,
    terms: EngineTerms,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> tuple[str, ...] | None:
    """Return the models to evict, least loss first.

    None if the space does not suffice or the size of a model is unknown.
    """
    sizes = {
        name: terms.models_by_name[name].weights_mb
        for name in holding.models
        if name in terms.models_by_name
    }
    if len(sizes) < len(holding.models):
        return None
    free = terms.weights_mb - sum(sizes.values())
    evict: list[str] = []
    by_loss = sorted(
        sizes,
        key=lambda name: (_eviction_loss(name, demand, count_by_model), name),
    )
    for name in by_loss:
        if free >= new_model.weights_mb:
            break
        evict.append(name)
        free += sizes[name]
    return tuple(evict) if free >= new_model.weights_mb else None


def _demand_per_copy(
    model: str,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> float:
    return demand.weight(model) / max(count_by_model.get(model, 0), 1)


def _eviction_loss(
    model: str,
    demand: Demand,
    count_by_model: Mapping[str, int],
) -> float:
    value = _demand_per_copy(model, demand, count_by_model)
    if count_by_model.get(model, 0) > 1:
        return value
    return value * LAST_COPY_FACTOR
