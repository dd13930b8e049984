"""Picks a target for one request from the routing state."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_balancing.cold_start import ColdSends
from verbenamux_balancing.target_cost import Option, choose, preferred_target
from verbenamux_balancing.target_speed import ReadRateTable
from verbenamux_contracts.report_timing import silence_timeout
from verbenamux_relay.catalog import EngineTerms, Service
from verbenamux_relay.model_placement import Holding, load_time
from verbenamux_relay.prompt_cache import PromptMemory, affinity
from verbenamux_relay.targets import Target, TargetReport, TargetTable
from verbenamux_relay.terms import RequestTerms

# Prompt tokens assumed for a waiting request of another gateway.
TYPICAL_PROMPT_TOKENS = 2500
# Stream bytes per token: an event holds a few tokens and some framing.
BYTES_PER_TOKEN = 16
# Processing time assumed for a request to a service without engines.
TYPICAL_REQUEST_TIME = timedelta(milliseconds=80)
# Minimum remaining time of a model order in progress; also used when the model
# being loaded is unknown.
MIN_ORDER_TIME = timedelta(milliseconds=100)
# Value of `loading` while a target only unloads a model.
UNLOADING = ''
# A target without reports counts as alive for this long after its last answer.
ALIVE_WINDOW = timedelta(milliseconds=1200)


class UnavailableReason(enum.Enum):
    """Why no target can take a request now."""

    TARGET = 'no_target'
    MODEL = 'model_not_in_place'


@dataclass(frozen=True, slots=True)
class Query:
    """The request for which a target is picked."""

    service: Service
    terms: RequestTerms
    body_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RoutingState:
    """The state from which targets are picked."""

    target_table: TargetTable
    prompts: PromptMemory
    read_rates: ReadRateTable
    data_centre: str
    cold_sends: ColdSends | None = None


def is_serving(target: Target, now: timedelta) -> bool:
    """Return whether the registry allows new requests to a target.

    A target whose entry was just removed is still used while it answers: the
    entry may only have lapsed.
    """
    if target.entry.is_draining or target.has_said_leaving:
        return False
    if target.replaced_until > now:
        return False
    if target.closes_at is not None and target.closes_at <= now:
        return False
    if target.removed_at is None:
        return True
    alive_window = (
        silence_timeout(target.report.interval)
        if target.report
        else ALIVE_WINDOW
    )
    return (
        now < target.serves_until
        and now - target.last_received_at < alive_window
    )


def pick(
    query: Query,
    routing_state: RoutingState,
    now: timedelta,
) -> Option | UnavailableReason:
    """Return the best target for a request, or why there is none."""
    capable = capable_targets(query, routing_state, now)
    if isinstance(capable, UnavailableReason):
        return capable
    reachable = [target for target in capable if is_reachable(target, now)]
    affinity_key = affinity(query.terms)
    preferred_id = preferred_target(
        affinity_key,
        _affinity_candidates(
            query.terms,
            _warm(reachable, query.service, now) or reachable or capable,
            routing_state.data_centre,
        ),
    )
    options = (
        _option(target, query, routing_state, now, preferred_id)
        for target in reachable or capable
    )
    return choose(options, affinity_key) or UnavailableReason.TARGET


def is_reachable(target: Target, now: timedelta) -> bool:
    """Return whether a target is expected to answer."""
    return target.backoff_until <= now and not target.is_suspect(now)


def capable_targets(
    query: Query,
    routing_state: RoutingState,
    now: timedelta,
) -> list[Target] | UnavailableReason:
    """Return the targets that a request may be sent to now, or why none."""
    serving = [
        target
        for target in routing_state.target_table.of_service(query.service.name)
        if is_serving(target, now)
        and target.entry.target_id not in query.excluded
        and len(target.in_flight) < query.service.max_connections
    ]
    if not serving:
        return UnavailableReason.TARGET
    return _capable(serving, query, routing_state, now)


def _capable(
    serving: list[Target],
    query: Query,
    routing_state: RoutingState,
    now: timedelta,
) -> list[Target] | UnavailableReason:
    """Return the targets that could run a request now, or why none can."""
    capable = serving
    model = query.terms.model
    is_model_needed = query.service.engine is not None and model is not None
    if is_model_needed:
        capable = [
            target
            for target in serving
            if model in target.models and _can_hold_adapter(target, query.terms)
        ]
    if not capable:
        return UnavailableReason.MODEL
    capable = [target for target in capable if target.held_off_until <= now]
    if not capable:
        return UnavailableReason.TARGET
    capable = [
        target
        for target in capable
        if has_cold_room(target, query.service, routing_state, now)
    ]
    if capable:
        return _staying(capable) or capable
    # A model may be loaded at a warm target.
    return (
        UnavailableReason.MODEL if is_model_needed else UnavailableReason.TARGET
    )


def has_cold_room(
    target: Target,
    service: Service,
    routing_state: RoutingState,
    now: timedelta,
) -> bool:
    """Return whether a target is warm, or tolerates one more request."""
    cold_sends = routing_state.cold_sends
    if target.cold_until <= now or cold_sends is None:
        return True
    target_id = target.entry.target_id
    return cold_sends.room(target_id, service.cold_per_second) >= 1


def _staying(targets: list[Target]) -> list[Target]:
    """Return the targets whose data centre is not evacuated."""
    return [target for target in targets if target.closes_at is None]


def _warm(
    targets: list[Target], service: Service, now: timedelta
) -> list[Target]:
    """Return the targets that tolerate any number of requests."""
    if not service.cold_per_second:
        return targets
    return [target for target in targets if target.cold_until <= now]


def earliest_hold_off_end(
    query: Query, routing_state: RoutingState, now: timedelta
) -> timedelta | None:
    """Return when the first target that is held off takes requests again."""
    return min(
        (
            target.held_off_until
            for target in routing_state.target_table.of_service(
                query.service.name
            )
            if is_serving(target, now) and target.held_off_until > now
        ),
        default=None,
    )


def holdings(
    target_table: TargetTable,
    service: str,
    now: timedelta,
) -> Iterator[Holding]:
    """Yield the targets of a service whose keeper takes orders."""
    for target in target_table.of_service(service):
        report = target.report
        if report is None or not target.accepts_orders(now):
            continue
        if target.closes_at is not None:
            continue
        if is_serving(target, now):
            yield _holding(target.entry.target_id, report)


def _holding(target_id: str, report: TargetReport) -> Holding:
    return Holding(
        target_id=target_id,
        models=report.models,
        on_disk=report.on_disk,
        in_memory=report.in_memory,
        loading=_loading(report),
        can_load_cold=report.store_loads_ready,
        running=report.active,
    )


def _loading(report: TargetReport) -> str | None:
    """Return the model being loaded, or UNLOADING if one is unloaded."""
    for name in report.pending:
        if '/' not in name:
            return name
    return UNLOADING if report.is_ordering else None


def _affinity_candidates(
    terms: RequestTerms,
    targets: list[Target],
    data_centre: str,
) -> list[str]:
    """Return the affinity candidates of a request.

    Adapter requests use all targets, as adapter slots are few; others stay in
    their own data centre if the model is there.
    """
    local = [
        target.entry.target_id
        for target in targets
        if target.entry.data_centre == data_centre
    ]
    if local and terms.adapter is None:
        return local
    return [target.entry.target_id for target in targets]


def _can_hold_adapter(target: Target, terms: RequestTerms) -> bool:
    return terms.adapter is None or target.report is not None


def _option(
    target: Target,
    query: Query,
    routing_state: RoutingState,
    now: timedelta,
    preferred_id: str | None,
) -> Option:
    entry = target.entry
    engine = query.service.engine
    is_local = entry.data_centre == routing_state.data_centre
    if engine is None:
        return _option_without_engine(target, is_local, now)
    is_preferred = entry.target_id == preferred_id
    missing = routing_state.prompts.missing(
        entry.target_id,
        query.terms,
        is_preferred=is_preferred,
    )
    is_adapter_missing = not target.holds(
        query.terms.model, query.terms.adapter
    )
    own_waiting = sum(not sent.is_started for sent in target.in_flight.values())
    peer_waiting = max(target.waiting(now) - own_waiting, 0)
    running = target.running(now)
    return Option(
        target_id=entry.target_id,
        is_local=is_local,
        transferred_bytes=_transferred_bytes(query),
        waiting_tokens=target.unstarted_tokens()
        + peer_waiting * TYPICAL_PROMPT_TOKENS,
        missing_tokens=missing,
        tokens_per_second=routing_state.read_rates.rate_for(
            query.terms.model, entry.target_id
        )
        / target.slowdown(now),
        is_adapter_missing=is_adapter_missing,
        is_preferred=is_preferred,
        order_time_left=_order_time_left(target, engine, now)
        if is_adapter_missing
        else timedelta(),
        is_keeper_unresponsive=target.has_unresponsive_keeper(now),
        overflow_tokens=_overflow_tokens(target, query.terms, engine),
        failure_rate=target.failure_rate,
        busy_fraction=running / max(entry.slots, 1),
        streams=running,
    )


def _transferred_bytes(query: Query) -> int:
    return query.body_bytes + query.terms.output_tokens * BYTES_PER_TOKEN


def _order_time_left(
    target: Target,
    engine: EngineTerms,
    now: timedelta,
) -> timedelta:
    """Return how long a target's engine will not accept an order."""
    report = target.report
    if report is None or not report.is_ordering:
        return timedelta()
    holding = _holding(target.entry.target_id, report)
    model = engine.models_by_name.get(holding.loading or UNLOADING)
    if model is None:
        return MIN_ORDER_TIME
    age = now - report.ordered_at
    return max(load_time(model, holding) - age, MIN_ORDER_TIME)


def _overflow_tokens(
    target: Target, terms: RequestTerms, engine: EngineTerms
) -> int:
    report = target.report
    if report is None:
        return 0
    unread = sum(
        sent.total_tokens
        for sent in target.in_flight.values()
        if not sent.is_started
    )
    total = report.total_tokens or engine.memory_tokens
    wanted = terms.prompt_tokens + terms.output_tokens
    return max(report.used_tokens + unread + wanted - total, 0)


def _option_without_engine(
    target: Target, is_local: bool, now: timedelta
) -> Option:
    """Estimate a service without engines in milliseconds, not tokens."""
    slots = max(target.entry.slots, 1)
    work = int(TYPICAL_REQUEST_TIME / timedelta(milliseconds=1))
    request_count = max(
        len(target.in_flight),
        target.running(now) + target.waiting(now),
    )
    queue = max(request_count + 1 - slots, 0)
    return Option(
        target_id=target.entry.target_id,
        is_local=is_local,
        waiting_tokens=queue * work / slots,
        missing_tokens=work,
        tokens_per_second=timedelta(seconds=1)
        / timedelta(milliseconds=1)
        / target.slowdown(now),
        failure_rate=target.failure_rate,
        busy_fraction=request_count / slots,
    )
