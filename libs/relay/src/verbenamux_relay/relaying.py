"""Relays one caller's request: admission, sends, and one outcome."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from verbenamux_contracts.clock import to_milliseconds
from verbenamux_http.errors import (
    CallerGone,
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
from verbenamux_relay.choosing import Option, predict
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.dialect import Refusal
from verbenamux_relay.job import Job, OpenJobs, Stage
from verbenamux_relay.loading import Loader
from verbenamux_relay.picking import Beliefs, Query, UnavailableReason, pick
from verbenamux_relay.repeats import RepeatBudget
from verbenamux_relay.sending import (
    CONNECTING_MOST,
    Ending,
    Outcome,
    Send,
    SendTools,
    send,
)
from verbenamux_relay.settling import (
    UNAVAILABLE,
    UPDATE_RETRY_DELAY,
    RequestRefusedError,
    SettleTools,
    answer,
    deliver,
    refuse,
    refuse_unadmitted,
    settle,
)
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.targets import REPLACED_COOLDOWN, InFlight, Target
from verbenamux_relay.waiting import (
    RETRY_LEAST,
    SendDecision,
    WaitForecast,
    decide,
    urgency,
)

BAD_REQUEST = 400
GATEWAY_TIMEOUT = 504
STOPPING = 'the gateway is stopping'
# Retry-After base for a model whose load has no known end.
MODEL_LOAD_RETRY_DELAY = timedelta(seconds=1)
# Maximum wait for a model that is not in place, as a fraction of the time that
# the caller waits for the first event.
MODEL_WAIT_FRACTION = 0.85
# A request refused by a stopping gateway may be sent to another one at once.
STOPPING_RETRY_DELAY = RETRY_LEAST
# Callers disconnect from a stream without events after the longer of these; the
# factor is on the objective.
MIN_FIRST_EVENT_WAIT = timedelta(seconds=2)
FIRST_EVENT_WAIT_FACTOR = 4


@dataclass(frozen=True, slots=True)
class RelayTools:
    """The process-wide context for relaying."""

    sending: SendTools
    settling: SettleTools
    beliefs: Beliefs
    loader: Loader
    demand: DemandMeter
    budget_of: Callable[[str], RepeatBudget]
    sequence: Iterator[int]
    open_jobs: OpenJobs
    stop: StopPlan

    def now(self) -> timedelta:
        """Return the time since an arbitrary start."""
        return self.sending.clock.elapsed()


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a job is sent next; without a target it is not sent.

    `option` is the best target's, also when its predicted time is too long to
    send there.
    """

    target: Target | None = None
    option: Option | None = None


def relay(request: Request, reply: Reply, tools: RelayTools) -> None:
    """Answer one request; raises CallerGone."""
    arrived_at = tools.now()
    settling = tools.settling
    try:
        terms = settling.dialect.read_terms(request.headers)
    except RequestError as error:
        status = error.status or BAD_REQUEST
        settling.log('request_malformed', cause=error.message, status=status)
        answer(reply, Refusal(status, error.message), settling)
        return
    try:
        job = admit(
            request,
            reply,
            terms,
            settling.knowledge(),
            arrived_at,
            settling.random,
        )
        _check_stop(job, tools.stop)
        charge(job, settling.allowance)
    except RequestRefusedError as refused:
        refuse_unadmitted(reply, terms, refused, settling)
        return
    with tools.open_jobs.counted(job), _counted_in_demand(job, tools.demand):
        _run_to_outcome(job, tools)


def _check_stop(job: Job, stop: StopPlan) -> None:
    """Refuse a stream that the gateway might break off when it stops.

    Raises RequestRefusedError.
    """
    is_stream = job.route.kind is RouteKind.STREAMING
    if is_stream and not stop.may_accept_stream(job.arrived_at):
        raise RequestRefusedError(UNAVAILABLE, STOPPING, STOPPING_RETRY_DELAY)


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


def _run_to_outcome(job: Job, tools: RelayTools) -> None:
    """Run a job to its outcome, which is recorded once."""
    try:
        _run(job, tools)
    except CallerGone:
        settle(job, 'caller_gone', tools.settling)
        raise
    except Exception as error:
        refused = _error_refusal(job, error, tools.settling)
        refuse(job, refused, tools.settling)


def _stop_refusal(job: Job, cause: str) -> RequestRefusedError:
    """Return the refusal of an open request; a sent one may have run."""
    if job.runs:
        return RequestRefusedError(BAD_GATEWAY, cause)
    return RequestRefusedError(UNAVAILABLE, cause, STOPPING_RETRY_DELAY)


def _error_refusal(
    job: Job,
    error: Exception,
    settling: SettleTools,
) -> RequestRefusedError:
    """Return the refusal for a request that ended with an exception."""
    if isinstance(error, RequestRefusedError):
        return error
    if isinstance(error, ListenerStopping):
        return _stop_refusal(job, str(error))
    # The answer must be correct even after a bug in this gateway.
    settling.log(
        'task_error',
        request_id=job.terms.request_id,
        cause=repr(error),
    )
    status = BAD_GATEWAY if job.runs else UNAVAILABLE
    return RequestRefusedError(status, 'internal error', UPDATE_RETRY_DELAY)


def _run(job: Job, tools: RelayTools) -> None:
    tools.budget_of(job.service.name).record_first_send()
    last: Outcome | None = None
    choice = _choose(job, last, tools)
    while choice.target is not None and _may_send(job, tools):
        last = _send_once(job, choice.target, choice.option, tools)
        job.cause = last.cause
        if last.ending is Ending.DELIVERED:
            deliver(job, last.answer, tools.settling)
            return
        if last.ending is not Ending.NOT_RUN and not job.may_retry:
            break
        choice = _choose(job, last, tools)
    _give_up(job, last, choice, tools)


def _may_send(job: Job, tools: RelayTools) -> bool:
    if not tools.stop.may_send(tools.now()):
        job.steps.append(STOPPING)
        return False
    if not job.runs and job.connecting >= CONNECTING_MOST:
        job.steps.append('no time left for connections')
        return False
    if not job.sends or tools.budget_of(job.service.name).take():
        return True
    job.steps.append('no retry left in the budget')
    return False


def _choose(job: Job, last: Outcome | None, tools: RelayTools) -> Choice:
    """Return the target to send to; waits while its model is loaded."""
    while job.time_left(tools.now()) > timedelta():
        if not tools.stop.may_send(tools.now()):
            break
        picked = pick(_query(job), tools.beliefs, tools.now())
        choice: Choice | None
        if isinstance(picked, Option):
            choice = _choice_for(job, picked, tools)
        else:
            choice = _handle_unavailable(job, picked, last, tools)
        if choice is not None:
            return choice
    return Choice()


def _query(job: Job, *also_excluded: str) -> Query:
    """Return the query of a job; targets already tried are excluded."""
    return Query(
        job.service,
        job.terms,
        len(job.request.body),
        frozenset(job.excluded.union(also_excluded)),
    )


def _has_other_target(job: Job, target: Target, tools: RelayTools) -> bool:
    """Return whether another target has the model or could load it."""
    query = _query(job, target.entry.target_id)
    return (
        pick(query, tools.beliefs, tools.now()) is not UnavailableReason.TARGET
    )


def _handle_unavailable(
    job: Job,
    reason: UnavailableReason,
    last: Outcome | None,
    tools: RelayTools,
) -> Choice | None:
    """Wait for the model; return no target if it will not come in time."""
    if reason is UnavailableReason.TARGET or _was_refused_by_target(last):
        return Choice()
    return None if _await_model(job, tools) else Choice()


def _choice_for(job: Job, option: Option, tools: RelayTools) -> Choice | None:
    """Return the choice for an option; None to pick another one."""
    if not job.sends and _is_predicted_late(job, option, tools.now()):
        return Choice(option=option)
    target = tools.beliefs.book.by_id[option.target_id]
    if option.is_adapter_missing and not _load_adapter(
        job, target, option, tools
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
    tools: RelayTools,
) -> bool:
    terms = job.terms
    model = terms.model or ''
    adapter = terms.adapter or ''
    wait_until = tools.stop.limited(job.deadline)
    with job.waiting_for(Stage.ADAPTER):
        is_loaded = tools.loader.load_adapter(
            target,
            model,
            adapter,
            option.order_time_left,
            wait_until - tools.now(),
        )
    if is_loaded:
        return True
    job.excluded.add(target.entry.target_id)
    job.steps.append(f'adapter not loaded at {target.entry.target_id}')
    return False


def _await_model(job: Job, tools: RelayTools) -> bool:
    """Wait for a change of the model; False if it would be too late."""
    model = job.terms.model or ''
    engine = job.service.engine
    if engine is None or model not in engine.models_by_name:
        return False
    now = tools.now()
    allowed = tools.stop.limited(
        job.arrived_at + _first_event_wait(job) * MODEL_WAIT_FRACTION,
    )
    tools.loader.ask(job.service, model)
    if tools.stop.is_under_way:
        # The loading task must start before the expected time is known.
        tools.sending.clock.sleep(timedelta())
    expected = tools.loader.expected_at(model)
    if expected is None and tools.stop.is_under_way:
        job.cause = STOPPING
        return False
    if max(now, expected or now) >= allowed:
        job.steps.append('the model will not be loaded in time')
        job.expected_at = expected
        return False
    with job.waiting_for(Stage.MODEL):
        tools.loader.await_change(allowed - now)
    return True


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


def _send_once(
    job: Job,
    target: Target,
    option: Option | None,
    tools: RelayTools,
) -> Outcome:
    check_key(job, tools.settling.knowledge())
    now = tools.now()
    job.sent_at = now
    job.target_id = target.entry.target_id
    in_flight = InFlight(
        sent_at=now,
        heard_at=now,
        missing_tokens=option.missing_tokens if option else 0,
        total_tokens=job.terms.prompt_tokens + job.terms.output_tokens,
    )
    tools.loader.notify_adapter_use(target, job.terms)
    sent = Send(
        job,
        target,
        in_flight,
        _rank(job),
        tools.sending,
        has_other_target=partial(_has_other_target, job, target, tools),
    )
    with (
        job.waiting_for(Stage.CONNECTING),
        _counted(target, in_flight, tools.sequence),
    ):
        outcome = send(sent)
    _record_outcome(job, target, outcome, tools)
    return outcome


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


def _record_outcome(
    job: Job,
    target: Target,
    outcome: Outcome,
    tools: RelayTools,
) -> None:
    """Update the job and its target with the outcome of a send."""
    target_id = target.entry.target_id
    job.steps.append(f'{target_id}: {outcome.ending.value} {outcome.cause}')
    tools.settling.metrics.count('sends_total', ending=outcome.ending.value)
    if outcome.ending is Ending.NOT_RUN and outcome.arrived:
        job.record_not_run()
    if outcome.ending is Ending.DELIVERED:
        target.record_success(tools.now())
        return
    job.excluded.add(target_id)
    if outcome.is_model_missing:
        target.missing_models.add(job.terms.model or '')
        tools.beliefs.prompts.forget_model(target_id, job.terms.model or '')
    elif outcome.is_replaced:
        _record_replaced(job, target, tools)
    elif outcome.ending is not Ending.NOT_RUN or outcome.is_unreachable:
        _record_failure(job, target, outcome, tools)


def _record_replaced(job: Job, target: Target, tools: RelayTools) -> None:
    """Stop sending to a target whose address now belongs to another."""
    target.record_replaced(tools.now())
    tools.settling.log(
        'target_replaced',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        rest_ms=to_milliseconds(REPLACED_COOLDOWN),
    )


def _record_failure(
    job: Job,
    target: Target,
    outcome: Outcome,
    tools: RelayTools,
) -> None:
    target.record_failure(tools.now(), outcome.is_unreachable)
    tools.sending.pool.drop(target.entry.address)
    tools.settling.log(
        'target_failed',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        cause=outcome.cause,
        failure_rate=round(target.failure_rate, 3),
        in_row=target.consecutive_failures,
    )


def _give_up(
    job: Job,
    last: Outcome | None,
    choice: Choice,
    tools: RelayTools,
) -> None:
    """End a request that no target answered, with the best known cause.

    Raises RequestRefusedError if the gateway answers itself.
    """
    if job.events:
        # The caller detects the broken stream by its missing end.
        settle(job, 'broken_off', tools.settling)
    elif last is not None and last.answer is not None:
        deliver(job, last.answer, tools.settling)
    else:
        has_no_target = choice.target is None
        raise _final_refusal(
            job, choice.option if has_no_target else None, tools
        )


def _final_refusal(
    job: Job,
    option: Option | None,
    tools: RelayTools,
) -> RequestRefusedError:
    now = tools.now()
    if job.runs:
        is_late = job.time_left(now) <= timedelta()
        status = GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
        return RequestRefusedError(status, job.cause or 'no usable answer')
    if job.cause == STOPPING or not tools.stop.may_send(now):
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
