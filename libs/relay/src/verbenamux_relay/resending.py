"""Decides whether a request is sent once more, and when an answer is given up.

Load pattern: targets refuse, fail or answer late in numbers. A retry is
reserved before a run is given up for it, and spent only once it is sent.
"""

from datetime import timedelta

from verbenamux_balancing.late_answer import (
    LATE_FACTOR,
    NO_RETRY_LEFT,
    LateAnswer,
    reason_to_wait,
)
from verbenamux_contracts.clock import to_milliseconds
from verbenamux_http.errors import ExchangeFailure
from verbenamux_relay.admitting import is_key_valid
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.job import Job
from verbenamux_relay.relay_context import RelayContext
from verbenamux_relay.sending import CONNECT_TIMEOUT
from verbenamux_relay.target_selection import (
    Query,
    UnavailableReason,
    capable_targets,
    is_reachable,
    pick,
)
from verbenamux_relay.targets import InFlight, Target

# Maximum wait for a model that is not in place, as a fraction of the time that
# the caller waits for the first event.
MODEL_WAIT_FRACTION = 0.85
# Callers disconnect from a stream without events after the longer of these; the
# factor is on the objective.
MIN_FIRST_EVENT_WAIT = timedelta(seconds=2)
FIRST_EVENT_WAIT_FACTOR = 4


def query_for(job: Job, *also_excluded: str) -> Query:
    """Return the query of a job; targets already tried are excluded."""
    return Query(
        job.service,
        job.terms,
        len(job.request.body),
        frozenset(job.excluded.union(also_excluded)),
    )


def model_wait_end(job: Job, context: RelayContext) -> timedelta:
    """Return until when a job may wait for its model."""
    wait = _first_event_wait(job) * MODEL_WAIT_FRACTION
    return context.stop.limit(job.arrived_at + wait)


def _first_event_wait(job: Job) -> timedelta:
    """Return how long the caller waits for the first event."""
    left = job.deadline - job.arrived_at
    if job.route.kind is not RouteKind.STREAMING:
        return left
    return min(
        left,
        max(
            MIN_FIRST_EVENT_WAIT, job.route.objective * FIRST_EVENT_WAIT_FACTOR
        ),
    )


def take_retry(job: Job, context: RelayContext) -> bool:
    """Reserve a retry of the budget, if one is left, and log the decision."""
    budget = context.retry_budget_for(job.service.name)
    if job.retry_reserved_at is None:
        job.retry_reserved_at = budget.reserve()
    is_taken = job.retry_reserved_at is not None
    if not is_taken:
        job.steps.append(NO_RETRY_LEFT)
    state = budget.state()
    context.outcome_context.metrics.count(
        'retries_total',
        service=job.service.name,
        outcome='taken' if is_taken else 'denied',
    )
    context.outcome_context.log(
        'retry_taken' if is_taken else 'retry_denied',
        request_id=job.terms.request_id,
        service=job.service.name,
        cause=job.cause,
        sends=job.sends,
        runs=job.runs,
        max_attempts=job.route.max_attempts,
        budget_first_sends=state.first_sends,
        budget_retries=state.retries,
        budget_extra=round(state.extra, 2),
        budget_left=round(state.left, 2),
        left_ms=to_milliseconds(job.time_left(context.now())),
    )
    return is_taken


def renew_retry(job: Job, context: RelayContext) -> None:
    """Count a reserved retry from now on, as it is about to be sent."""
    if job.retry_reserved_at is not None:
        budget = context.retry_budget_for(job.service.name)
        job.retry_reserved_at = budget.renew(job.retry_reserved_at)


def give_back_retry(job: Job, context: RelayContext) -> None:
    """Give back a retry that was reserved and not sent."""
    if job.retry_reserved_at is not None:
        budget = context.retry_budget_for(job.service.name)
        budget.give_back(job.retry_reserved_at)
        job.retry_reserved_at = None


def may_give_up(
    job: Job,
    target: Target,
    in_flight: InFlight,
    context: RelayContext,
) -> bool:
    """Decide whether a late answer is given up, and log the decision.

    The retry for the next send is reserved then.
    """
    budget = context.retry_budget_for(job.service.name)
    late = LateAnswer(
        usual=context.send_context.answer_times.usual(job.route.name),
        time_left=job.time_left(context.now()),
        may_send_again=_may_send_again(job, context),
        retries_left=budget.left(),
        is_other_better=lambda: is_other_better(
            job, target, in_flight, context
        ),
    )
    reason = reason_to_wait(late)
    if reason is None:
        job.retry_reserved_at = job.retry_reserved_at or budget.reserve()
        if job.retry_reserved_at is None:
            # Others took the last one while the other target was connected to.
            reason = NO_RETRY_LEFT
    if reason is None or in_flight.late_cause is None:
        _log_late(job, target, in_flight, late, reason, context)
    in_flight.late_cause = reason
    in_flight.is_given_up = reason is None
    return in_flight.is_given_up


def _may_send_again(job: Job, context: RelayContext) -> bool:
    """Return whether another send of a job would be allowed now."""
    configuration = context.outcome_context.configuration_state()
    return (
        job.may_retry
        and context.stop.may_send(context.now())
        and is_key_valid(job, configuration)
    )


def is_other_better(
    job: Job,
    target: Target,
    in_flight: InFlight,
    context: RelayContext,
) -> bool:
    """Return whether another target can take over, and is not late itself."""
    now = context.now()
    query = query_for(job, target.entry.target_id)
    capable = capable_targets(query, context.routing_state, now)
    if isinstance(capable, UnavailableReason):
        return capable is UnavailableReason.MODEL and _is_model_in_time(
            job, context
        )
    if not any(
        _answers_sooner(other, job, in_flight, context) for other in capable
    ):
        return False
    picked = pick(query, context.routing_state, now)
    if isinstance(picked, UnavailableReason):
        return False
    other = context.routing_state.target_table.by_id[picked.target_id]
    return _answers_sooner(other, job, in_flight, context) and _is_open(
        other, context
    )


def _is_model_in_time(job: Job, context: RelayContext) -> bool:
    """Return whether the model is being loaded, and awaited when it is."""
    expected = context.loader.expected_at(job.terms.model or '')
    return expected is not None and (
        max(context.now(), expected) < model_wait_end(job, context)
    )


def _answers_sooner(
    other: Target,
    job: Job,
    in_flight: InFlight,
    context: RelayContext,
) -> bool:
    """Return whether a target is expected to answer, and has been quicker.

    An idle one is expected to answer as it last did. In a pause of a stream it
    counts whether others flow.
    """
    now = context.now()
    last = context.send_context.answer_times.last(
        job.route.name, other.entry.target_id
    )
    if in_flight.is_started:
        is_quicker = other.last_received_at > in_flight.last_received_at
    elif last is None or (other.in_flight and last.at < in_flight.sent_at):
        is_quicker = False
    else:
        is_quicker = last.took * LATE_FACTOR <= now - in_flight.sent_at
    is_idle = not other.in_flight and (in_flight.is_started or last is None)
    return (is_quicker or is_idle) and is_reachable(other, now)


def _is_open(other: Target, context: RelayContext) -> bool:
    """Return whether a target takes connections; one is kept for the send."""
    pool = context.send_context.pool
    try:
        connection = pool.take(other.entry.address, CONNECT_TIMEOUT)
    except ExchangeFailure:
        other.record_failure(context.now(), is_unreachable=True)
        return False
    pool.keep(other.entry.address, connection)
    return True


def _log_late(
    job: Job,
    target: Target,
    in_flight: InFlight,
    late: LateAnswer,
    reason: str | None,
    context: RelayContext,
) -> None:
    now = context.now()
    context.outcome_context.log(
        'send_given_up' if reason is None else 'late_answer_awaited',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        cause=reason,
        waited_ms=to_milliseconds(now - in_flight.last_received_at),
        usual_ms=None if late.usual is None else to_milliseconds(late.usual),
        left_ms=to_milliseconds(late.time_left),
        has_event=in_flight.is_started,
        target_silent_ms=to_milliseconds(now - target.last_received_at),
        budget_left=round(late.retries_left, 2),
        sends=job.sends,
        runs=job.runs,
        max_attempts=job.route.max_attempts,
    )
