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
from verbenamux_relay.picking import Beliefs, Lack, Query, pick
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
    NEWS_TIME,
    UNAVAILABLE,
    RequestRefusedError,
    SettleTools,
    answer,
    deliver,
    refuse,
    refuse_early,
    settle,
)
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.targets import REPLACED_REST, InFlight, Target
from verbenamux_relay.waiting import (
    RETRY_LEAST,
    Outlook,
    Verdict,
    judge,
    urgency,
)

BAD_REQUEST = 400
GATEWAY_TIMEOUT = 504
STOPPING = 'the gateway is stopping'
# Retry-After base for a model whose load has no known end.
LOADING_TIME = timedelta(seconds=1)
# Maximum wait for a model that is not in place, as a fraction of the time that
# the caller waits for the first event.
MODEL_WAIT_PART = 0.85
# A request refused by a stopping gateway may be sent to another one at once.
ELSEWHERE_TIME = RETRY_LEAST
# Callers disconnect from a stream without events after the longer of these; the
# factor is on the objective.
STAY_LEAST = timedelta(seconds=2)
STAY_FACTOR = 4


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
        refuse_early(reply, terms, refused, settling)
        return
    with tools.open_jobs.counted(job), _in_demand(job, tools.demand):
        _carry(job, tools)


def _check_stop(job: Job, stop: StopPlan) -> None:
    """Refuse a stream that the gateway might break off when it stops.

    Raises RequestRefusedError.
    """
    is_stream = job.route.kind is RouteKind.STREAMING
    if is_stream and not stop.may_take_stream(job.arrived_at):
        raise RequestRefusedError(UNAVAILABLE, STOPPING, ELSEWHERE_TIME)


@contextmanager
def _in_demand(job: Job, demand: DemandMeter) -> Iterator[None]:
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


def _carry(job: Job, tools: RelayTools) -> None:
    """Run a job to its outcome, which is recorded once."""
    try:
        _run(job, tools)
    except CallerGone:
        settle(job, 'caller_gone', tools.settling)
        raise
    except Exception as error:
        refused = _explain_error(job, error, tools.settling)
        refuse(job, refused, tools.settling)


def _explain_stop(job: Job, cause: str) -> RequestRefusedError:
    """Return the refusal of an open request; a sent one may have run."""
    if job.runs:
        return RequestRefusedError(BAD_GATEWAY, cause)
    return RequestRefusedError(UNAVAILABLE, cause, ELSEWHERE_TIME)


def _explain_error(
    job: Job,
    error: Exception,
    settling: SettleTools,
) -> RequestRefusedError:
    """Return the refusal for a request that ended with an exception."""
    if isinstance(error, RequestRefusedError):
        return error
    if isinstance(error, ListenerStopping):
        return _explain_stop(job, str(error))
    # The answer must be correct even after a bug in this gateway.
    settling.log(
        'task_error',
        request_id=job.terms.request_id,
        cause=repr(error),
    )
    status = BAD_GATEWAY if job.runs else UNAVAILABLE
    return RequestRefusedError(status, 'internal error', NEWS_TIME)


def _run(job: Job, tools: RelayTools) -> None:
    tools.budget_of(job.service.name).note_first()
    last: Outcome | None = None
    choice = _choose(job, last, tools)
    while choice.target is not None and _may_send(job, tools):
        last = _send_once(job, choice.target, choice.option, tools)
        job.cause = last.cause
        if last.ending is Ending.DELIVERED:
            deliver(job, last.answer, tools.settling)
            return
        if last.ending is not Ending.NOT_RUN and not job.may_repeat:
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
    job.steps.append('no repeat left in the budget')
    return False


def _choose(job: Job, last: Outcome | None, tools: RelayTools) -> Choice:
    """Return the target to send to; waits while its model is loaded."""
    while job.time_left(tools.now()) > timedelta():
        if not tools.stop.may_send(tools.now()):
            break
        found = pick(_query(job), tools.beliefs, tools.now())
        choice: Choice | None
        if isinstance(found, Option):
            choice = _weigh(job, found, tools)
        else:
            choice = _wait(job, found, last, tools)
        if choice is not None:
            return choice
    return Choice()


def _query(job: Job, *besides: str) -> Query:
    """Return the query of a job; targets already tried are excluded."""
    return Query(
        job.service,
        job.terms,
        len(job.request.body),
        frozenset(job.excluded.union(besides)),
    )


def _has_other(job: Job, target: Target, tools: RelayTools) -> bool:
    """Return whether another target has the model or could load it."""
    query = _query(job, target.entry.target_id)
    return pick(query, tools.beliefs, tools.now()) is not Lack.TARGET


def _wait(
    job: Job,
    lack: Lack,
    last: Outcome | None,
    tools: RelayTools,
) -> Choice | None:
    """Wait for the model; return no target if it will not come in time."""
    if lack is Lack.TARGET or _is_turned_away(last):
        return Choice()
    return None if _await_model(job, tools) else Choice()


def _weigh(job: Job, option: Option, tools: RelayTools) -> Choice | None:
    """Return the choice for an option; None to pick another one."""
    if not job.sends and _is_hopeless(job, option, tools.now()):
        return Choice(option=option)
    target = tools.beliefs.book.by_id[option.target_id]
    if option.lacks_adapter and not _load_adapter(job, target, option, tools):
        return None
    return Choice(target, option)


def _is_turned_away(last: Outcome | None) -> bool:
    """Return whether the last target was full; waiting would not help."""
    return (
        last is not None
        and last.ending is Ending.NOT_RUN
        and last.arrived
        and not last.lacks_model
    )


def _is_hopeless(job: Job, option: Option, now: timedelta) -> bool:
    outlook = Outlook(
        predicted=predict(option),
        time_left=job.time_left(now),
        objective=job.route.objective,
    )
    return judge(outlook) is Verdict.REFUSE


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
            option.order_left,
            wait_until - tools.now(),
        )
    if is_loaded:
        return True
    job.excluded.add(target.entry.target_id)
    job.steps.append(f'no adapter at {target.entry.target_id}')
    return False


def _await_model(job: Job, tools: RelayTools) -> bool:
    """Wait for a change of the model; False if it would be too late."""
    model = job.terms.model or ''
    engine = job.service.engine
    if engine is None or model not in engine.models_by_name:
        return False
    now = tools.now()
    allowed = tools.stop.limited(
        job.arrived_at + _stay(job) * MODEL_WAIT_PART,
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
        job.steps.append('the model is not in place in time')
        job.expected_at = expected
        return False
    with job.waiting_for(Stage.MODEL):
        tools.loader.await_change(allowed - now)
    return True


def _stay(job: Job) -> timedelta:
    """Return how long the caller waits for the first event."""
    left = job.deadline - job.arrived_at
    if job.route.kind is not RouteKind.STREAMING:
        return left
    return min(left, max(STAY_LEAST, job.route.objective * STAY_FACTOR))


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
    tools.loader.note_adapter_use(target, job.terms)
    sent = Send(
        job,
        target,
        in_flight,
        _rank(job),
        tools.sending,
        has_other=partial(_has_other, job, target, tools),
    )
    with (
        job.waiting_for(Stage.CONNECTING),
        _counted(target, in_flight, tools.sequence),
    ):
        outcome = send(sent)
    _learn(job, target, outcome, tools)
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


def _learn(
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
        job.note_not_run()
    if outcome.ending is Ending.DELIVERED:
        target.note_success(tools.now())
        return
    job.excluded.add(target_id)
    if outcome.lacks_model:
        target.absent_models.add(job.terms.model or '')
        tools.beliefs.prompts.forget_model(target_id, job.terms.model or '')
    elif outcome.is_replaced:
        _set_aside(job, target, tools)
    elif outcome.ending is not Ending.NOT_RUN or outcome.is_unreachable:
        _doubt(job, target, outcome, tools)


def _set_aside(job: Job, target: Target, tools: RelayTools) -> None:
    """Stop sending to a target whose address now belongs to another."""
    target.note_replaced(tools.now())
    tools.settling.log(
        'target_replaced',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        rest_ms=to_milliseconds(REPLACED_REST),
    )


def _doubt(
    job: Job,
    target: Target,
    outcome: Outcome,
    tools: RelayTools,
) -> None:
    target.note_failure(tools.now(), outcome.is_unreachable)
    tools.sending.pool.drop(target.entry.address)
    tools.settling.log(
        'target_failed',
        request_id=job.terms.request_id,
        target=target.entry.target_id,
        cause=outcome.cause,
        failure_rate=round(target.failure_rate, 3),
        in_row=target.failures_in_row,
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
        is_behind = choice.target is None
        raise _explain(job, choice.option if is_behind else None, tools)


def _explain(
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
        return _explain_stop(job, STOPPING)
    if option is not None:
        return RequestRefusedError(
            UNAVAILABLE,
            'all targets are behind',
            predict(option) - job.route.objective,
        )
    wait = LOADING_TIME if job.terms.model else NEWS_TIME
    if job.expected_at is not None:
        wait = job.expected_at - now
    return RequestRefusedError(
        UNAVAILABLE,
        job.cause or 'no target can take the request',
        wait,
    )
