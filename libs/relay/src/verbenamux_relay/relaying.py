"""Relays one caller's request: admission, sends, and one outcome."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from verbenamux_balancing.send_decision import (
    MIN_RETRY_AFTER,
    SendDecision,
    WaitForecast,
    decide,
    urgency,
)
from verbenamux_balancing.target_cost import Option, predict
from verbenamux_contracts.clock import to_milliseconds
from verbenamux_http.errors import (
    CallerDisconnected,
    ListenerStopping,
    RequestError,
)
from verbenamux_http.parsing import Request
from verbenamux_http.server import Reply
from verbenamux_relay.admitting import (
    BAD_GATEWAY,
    admit,
    charge,
    check_key,
)
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.cut_answers import record_cut, record_end
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.dialect import Refusal
from verbenamux_relay.job import Job, Stage
from verbenamux_relay.outcomes import (
    UNAVAILABLE,
    UPDATE_RETRY_DELAY,
    OutcomeContext,
    RequestRefusedError,
    answer,
    deliver,
    record_outcome,
    refuse,
    refuse_unadmitted,
)
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.relay_context import RelayContext
from verbenamux_relay.resending import (
    give_back_retry,
    may_give_up,
    model_wait_end,
    query_for,
    renew_retry,
    take_retry,
)
from verbenamux_relay.sending import (
    MAX_CONNECTING_TIME,
    Ending,
    Outcome,
    Send,
    send,
)
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.target_selection import (
    UnavailableReason,
    earliest_hold_off_end,
    has_cold_room,
    pick,
)
from verbenamux_relay.targets import REPLACED_COOLDOWN, InFlight, Target

BAD_REQUEST = 400
GATEWAY_TIMEOUT = 504
STOPPING = 'the gateway is stopping'
CRASHING_PARTS = 'targets crash under the prompt parts'
# Retry-After base for a model whose load has no known end.
MODEL_LOAD_RETRY_DELAY = timedelta(seconds=1)
# A request refused by a stopping gateway may be sent to another one at once.
STOPPING_RETRY_DELAY = MIN_RETRY_AFTER


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a job is sent next; without a target it is not sent.

    `option` is the best target's, also when its predicted time is too long to
    send there.
    """

    target: Target | None = None
    option: Option | None = None


def relay(request: Request, reply: Reply, context: RelayContext) -> None:
    """Answer one request; raises CallerDisconnected."""
    arrived_at = context.now()
    outcome_context = context.outcome_context
    try:
        terms = outcome_context.dialect.read_terms(request.headers)
    except RequestError as error:
        status = error.status or BAD_REQUEST
        outcome_context.log(
            'request_malformed', cause=error.message, status=status
        )
        answer(reply, Refusal(status, error.message), outcome_context)
        return
    try:
        job = admit(
            request,
            reply,
            terms,
            outcome_context.configuration_state(),
            arrived_at,
            outcome_context.random,
        )
        _check_admitted(job, context)
        charge(job, outcome_context.allowance)
    except RequestRefusedError as refused:
        refuse_unadmitted(reply, terms, refused, outcome_context)
        return
    with context.open_jobs.track(job), _counted_in_demand(job, context.demand):
        try:
            _run_to_outcome(job, context)
        finally:
            context.send_context.pool.body_memory.release(job.kept_answer_bytes)


def _check_admitted(job: Job, context: RelayContext) -> None:
    """Refuse what can't be served here now; raises RequestRefusedError."""
    _check_stop(job, context.stop)
    _check_prompt(job, context.quarantine)


def _check_stop(job: Job, stop: StopPlan) -> None:
    """Refuse a stream that the gateway might break off when it stops.

    Raises RequestRefusedError.
    """
    is_stream = job.route.kind is RouteKind.STREAMING
    if is_stream and not stop.may_accept_stream(job.arrived_at):
        raise RequestRefusedError(UNAVAILABLE, STOPPING, STOPPING_RETRY_DELAY)


def _check_prompt(job: Job, quarantine: Quarantine) -> None:
    """Refuse a prompt with a part that crashes targets.

    No Retry-After is given: the request is refused again until a probe passes.
    Raises RequestRefusedError.
    """
    parts = quarantine.blocked_parts(job.workspace_name, job.terms)
    if parts is not None:
        status = BAD_GATEWAY if job.runs else UNAVAILABLE
        raise RequestRefusedError(status, f'{CRASHING_PARTS} {parts}')


@contextmanager
def _counted_in_demand(job: Job, demand: DemandMeter) -> Iterator[None]:
    model = job.terms.model
    if model is None:
        yield
        return
    demand.begin(model)
    try:
        yield
    finally:
        if job.first_event_at is None:
            demand.end(model)


def _run_to_outcome(job: Job, context: RelayContext) -> None:
    """Run a job to its outcome, which is recorded once."""
    try:
        _run(job, context)
    except CallerDisconnected:
        context.quarantine.record_withdrawal(job.terms.request_id)
        record_outcome(job, 'caller_gone', context.outcome_context)
        raise
    except Exception as error:
        refused = _error_refusal(job, error, context.outcome_context)
        refuse(job, refused, context.outcome_context)
    finally:
        record_end(job, context)


def _stop_refusal(job: Job, cause: str) -> RequestRefusedError:
    """Return the refusal of an open request; a sent one may have run."""
    if job.runs:
        return RequestRefusedError(BAD_GATEWAY, cause)
    return RequestRefusedError(UNAVAILABLE, cause, STOPPING_RETRY_DELAY)


def _error_refusal(
    job: Job,
    error: Exception,
    outcome_context: OutcomeContext,
) -> RequestRefusedError:
    """Return the refusal for a request that ended with an exception."""
    if isinstance(error, RequestRefusedError):
        return error
    if isinstance(error, ListenerStopping):
        return _stop_refusal(job, str(error))
    # The answer must be correct even after a bug in this gateway.
    outcome_context.log(
        'task_error',
        request_id=job.terms.request_id,
        cause=repr(error),
    )
    status = BAD_GATEWAY if job.runs else UNAVAILABLE
    return RequestRefusedError(status, 'internal error', UPDATE_RETRY_DELAY)


def _run(job: Job, context: RelayContext) -> None:
    try:
        _send_until_answered(job, context)
    finally:
        give_back_retry(job, context)


def _send_until_answered(job: Job, context: RelayContext) -> None:
    context.retry_budget_for(job.service.name).record_first_send()
    last: Outcome | None = None
    choice = _choose(job, last, context)
    while choice.target is not None and _may_send(job, context):
        last = _send_once(job, choice.target, choice.option, context)
        job.cause = last.cause
        if last.ending is Ending.DELIVERED:
            deliver(job, last.answer, context.outcome_context)
            return
        if not job.may_retry:
            _expect_room(job, context)
            break
        choice = _choose(job, last, context)
    _give_up(job, last, choice, context)


def _expect_room(job: Job, context: RelayContext) -> None:
    """Note when a target takes requests again, if no other one does now."""
    now = context.now()
    if isinstance(
        pick(query_for(job), context.routing_state, now), UnavailableReason
    ):
        job.expected_at = job.expected_at or earliest_hold_off_end(
            query_for(job), context.routing_state, now
        )


def _may_send(job: Job, context: RelayContext) -> bool:
    if not context.stop.may_send(context.now()):
        job.steps.append(STOPPING)
        return False
    if not job.runs and job.connecting >= MAX_CONNECTING_TIME:
        job.steps.append('no time left for connections')
        return False
    return not job.sends or take_retry(job, context)


def _choose(job: Job, last: Outcome | None, context: RelayContext) -> Choice:
    """Return the target to send to; waits while its model is loaded."""
    while job.time_left(context.now()) > timedelta():
        if not context.stop.may_send(context.now()):
            break
        picked = pick(query_for(job), context.routing_state, context.now())
        choice: Choice | None
        if isinstance(picked, Option):
            choice = _choice_for(job, picked, context)
        else:
            choice = _handle_unavailable(job, picked, last, context)
        if choice is not None:
            return choice
    return Choice()


def _handle_unavailable(
    job: Job,
    reason: UnavailableReason,
    last: Outcome | None,
    context: RelayContext,
) -> Choice | None:
    """Wait for the model; return no target if it will not come in time."""
    if reason is UnavailableReason.TARGET or _was_refused_by_target(last):
        job.expected_at = job.expected_at or earliest_hold_off_end(
            query_for(job), context.routing_state, context.now()
        )
        return Choice()
    return None if _await_model(job, context) else Choice()


def _choice_for(
    job: Job, option: Option, context: RelayContext
) -> Choice | None:
    """Return the choice for an option; None to pick another one."""
    if not job.sends and _is_predicted_late(job, option, context.now()):
        return Choice(option=option)
    target = context.routing_state.target_table.by_id[option.target_id]
    if target.closes_at is not None and job.terms.model is not None:
        # It holds the only copy, and its data centre is evacuated.
        context.loader.request_model(job.service, job.terms.model)
    if option.is_adapter_missing and not _load_adapter(
        job, target, option, context
    ):
        return None
    return Choice(target, option)


def _was_refused_by_target(last: Outcome | None) -> bool:
    """Return whether the last target was full; waiting would not help."""
    return (
        last is not None
        and last.ending is Ending.NOT_RUN
        and last.arrived
        and not last.is_model_missing
    )


def _is_predicted_late(job: Job, option: Option, now: timedelta) -> bool:
    forecast = WaitForecast(
        predicted=predict(option),
        time_left=job.time_left(now),
        objective=job.route.objective,
    )
    return decide(forecast) is SendDecision.REFUSE


def _load_adapter(
    job: Job,
    target: Target,
    option: Option,
    context: RelayContext,
) -> bool:
    terms = job.terms
    model = terms.model or ''
    adapter = terms.adapter or ''
    wait_until = context.stop.limit(job.deadline)
    with job.waiting_for(Stage.ADAPTER):
        is_loaded = context.loader.load_adapter(
            target,
            model,
            adapter,
            option.order_time_left,
            wait_until - context.now(),
        )
    if is_loaded:
        return True
    job.excluded.add(target.entry.target_id)
    job.steps.append(f'adapter not loaded at {target.entry.target_id}')
    return False


def _await_model(job: Job, context: RelayContext) -> bool:
    """Wait for a change of the model; False if it would be too late."""
    model = job.terms.model or ''
    engine = job.service.engine
    if engine is None or model not in engine.models_by_name:
        return False
    now = context.now()
    allowed = model_wait_end(job, context)
    context.loader.request_model(job.service, model)
    if context.stop.is_under_way:
        # The loading task must start before the expected time is known.
        context.send_context.clock.sleep(timedelta())
    expected = context.loader.expected_at(model)
    if expected is None and context.stop.is_under_way:
        job.cause = STOPPING
        return False
    if max(now, expected or now) >= allowed:
        job.steps.append('the model will not be loaded in time')
        job.expected_at = expected
        return False
    with job.waiting_for(Stage.MODEL):
        context.loader.await_change(allowed - now)
    return True


def _send_once(
    job: Job,
    target: Target,
    option: Option | None,
    context: RelayContext,
) -> Outcome:
    check_key(job, context.outcome_context.configuration_state())
    _check_prompt(job, context.quarantine)
    now = context.now()
    if not _take_cold_room(job, target, context):
        job.excluded.add(target.entry.target_id)
        return Outcome(Ending.NOT_RUN, 'the target is cold', arrived=False)
    job.sent_at = now
    job.target_id = target.entry.target_id
    in_flight = InFlight(
        sent_at=now,
        last_received_at=now,
        missing_tokens=option.missing_tokens if option else 0,
        total_tokens=job.terms.prompt_tokens + job.terms.output_tokens,
    )
    context.loader.notify_adapter_use(target, job.terms)
    sent = Send(
        job,
        target,
        in_flight,
        _rank(job),
        context.send_context,
        may_give_up=partial(may_give_up, job, target, in_flight, context),
    )
    renew_retry(job, context)
    with (
        job.waiting_for(Stage.CONNECTING),
        _counted(target, in_flight, context.sequence),
    ):
        outcome = send(sent)
    _record_send_outcome(sent, outcome, context)
    return outcome


def _take_cold_room(job: Job, target: Target, context: RelayContext) -> bool:
    """Count a request to a cold target; return whether it may be sent."""
    now = context.now()
    state = context.routing_state
    if not has_cold_room(target, job.service, state, now):
        return False
    if target.cold_until > now and state.cold_sends is not None:
        state.cold_sends.record(target.entry.target_id)
    return True


def _rank(job: Job) -> int | None:
    if job.service.engine is None:
        return None
    workspace = job.workspace
    return urgency(
        workspace.priority if workspace else None,
        job.route.priority,
    )


@contextmanager
def _counted(
    target: Target,
    in_flight: InFlight,
    sequence: Iterator[int],
) -> Iterator[None]:
    number = next(sequence)
    target.in_flight[number] = in_flight
    try:
        yield
    finally:
        target.in_flight.pop(number, None)


def _record_send_outcome(
    sent: Send,
    outcome: Outcome,
    context: RelayContext,
) -> None:
    """Update the job and its target with the outcome of a send."""
    job, target = sent.job, sent.target
    target_id = target.entry.target_id
    job.steps.append(f'{target_id}: {outcome.ending.value} {outcome.cause}')
    context.outcome_context.metrics.count(
        'sends_total', ending=outcome.ending.value
    )
    if outcome.ending is Ending.NOT_RUN and outcome.arrived:
        job.record_not_run()
    if outcome.ending is Ending.DELIVERED:
        _record_success(sent, context)
        return
    job.excluded.add(target_id)
    if outcome.is_model_missing:
        target.missing_models.add(job.terms.model or '')
        context.routing_state.prompts.forget_model(
            target_id, job.terms.model or ''
        )
    elif outcome.is_replaced:
        _record_replaced(job, target, context)
    elif outcome.ending is not Ending.NOT_RUN or outcome.is_unreachable:
        _record_failure(sent, outcome, context)


def _record_success(sent: Send, context: RelayContext) -> None:
    sent.target.record_success(context.now())
    if not sent.in_flight.has_gone_on:
        context.quarantine.record_answer(sent.job.terms)


def _record_replaced(job: Job, target: Target, context: RelayContext) -> None:
    """Stop sending to a target whose address now belongs to another."""
    target.record_replaced(context.now())
    context.quarantine.confirm_end(target.entry.target_id)
    context.outcome_context.log(
        'target_replaced',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        rest_ms=to_milliseconds(REPLACED_COOLDOWN),
    )


def _record_failure(
    sent: Send,
    outcome: Outcome,
    context: RelayContext,
) -> None:
    job, target = sent.job, sent.target
    now = context.now()
    target.record_failure(now, outcome.is_unreachable)
    context.send_context.pool.drop(target.entry.address)
    context.outcome_context.log(
        'target_failed',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        cause=outcome.cause,
        failure_rate=round(target.failure_rate, 3),
        in_row=target.consecutive_failures,
        sent_ms=to_milliseconds(now - sent.in_flight.sent_at),
        has_head=sent.in_flight.has_head,
        has_event=sent.in_flight.is_started,
        model=job.terms.model_key,
        parts=[part.part_id for part in job.terms.parts],
    )
    record_cut(sent, outcome, context)


def _give_up(
    job: Job,
    last: Outcome | None,
    choice: Choice,
    context: RelayContext,
) -> None:
    """End a request that no target answered, with the best known cause.

    Raises RequestRefusedError if the gateway answers itself.
    """
    if job.events:
        # The caller detects the broken stream by its missing end.
        record_outcome(job, 'broken_off', context.outcome_context)
    elif last is not None and last.answer is not None:
        deliver(job, last.answer, context.outcome_context)
    else:
        has_no_target = choice.target is None
        raise _final_refusal(
            job, choice.option if has_no_target else None, context
        )


def _final_refusal(
    job: Job,
    option: Option | None,
    context: RelayContext,
) -> RequestRefusedError:
    now = context.now()
    if job.runs:
        is_late = job.time_left(now) <= timedelta()
        status = GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
        return RequestRefusedError(status, job.cause or 'no usable answer')
    if job.cause == STOPPING or not context.stop.may_send(now):
        return _stop_refusal(job, STOPPING)
    if option is not None:
        return RequestRefusedError(
            UNAVAILABLE,
            'all targets are behind',
            predict(option) - job.route.objective,
        )
    wait = MODEL_LOAD_RETRY_DELAY if job.terms.model else UPDATE_RETRY_DELAY
    if job.expected_at is not None:
        wait = job.expected_at - now
    return RequestRefusedError(
        UNAVAILABLE,
        job.cause or 'no target can take the request',
        wait,
    )
