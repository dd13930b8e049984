"""The way of one caller's request: admission, sends, and one outcome."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

from verbenamux_contracts.clock import Clock
from verbenamux_http.errors import CallerGone, RequestError
from verbenamux_http.parsing import Request
from verbenamux_http.server import Reply
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import (
    Catalog,
    Route,
    RouteKind,
    Workspace,
    pick_share,
)
from verbenamux_relay.choosing import Option, predict
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.dialect import Dialect, Refusal, RequestTerms
from verbenamux_relay.job import Job
from verbenamux_relay.loading import Loader
from verbenamux_relay.picking import Beliefs, Lack, Query, pick
from verbenamux_relay.repeats import RepeatBudget
from verbenamux_relay.sending import (
    Ending,
    Outcome,
    SendTools,
    WholeAnswer,
    send,
)
from verbenamux_relay.targets import InFlight, Target
from verbenamux_relay.waiting import (
    Outlook,
    Verdict,
    judge,
    retry_after,
    urgency,
)
from verbenamux_runtime.metrics import Metrics

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# A configuration not confirmed for this long is no ground for a 401 or 404.
CONFIRMED_LATELY = timedelta(milliseconds=2500)
# When a route, key or target that this gateway does not know may be there.
NEWS_TIME = timedelta(milliseconds=300)
# When a model that is being loaded may be in place.
LOADING_TIME = timedelta(seconds=1)
# A stop at the deadline leaves the caller this much time for the answer.
ANSWER_TIME = timedelta(milliseconds=15)
# How long a model that is not in place is waited for, as a part of the time
# left.
MODEL_WAIT_PART = 0.75
# Callers leave a stream without events after the longer of these.
STAY_LEAST = timedelta(seconds=2)
STAY_FACTOR = 4
KEY_UNSURE = 'the key could not be confirmed lately'


@dataclass(frozen=True, slots=True)
class Knowledge:
    """The configuration as a gateway knows it, and how sure it is.

    `confirmed_for` is the time since it was known to be the newest.
    """

    catalog: Catalog | None
    confirmed_for: timedelta
    is_key_trusted: bool


@dataclass(frozen=True, slots=True)
class RelayTools:
    """What relaying needs of its process."""

    clock: Clock
    dialect: Dialect
    sending: SendTools
    beliefs: Beliefs
    loader: Loader
    allowance: Allowance
    metrics: Metrics
    random: Random
    knowledge: Callable[[], Knowledge]
    budget_of: Callable[[str], RepeatBudget]
    demand: DemandMeter
    log: Callable[..., None]
    sequence: Iterator[int]


class _Refused(Exception):
    """A request that the gateway answers by itself."""

    def __init__(
        self,
        status: int,
        cause: str,
        wait: timedelta | None = None,
    ) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.wait = wait


def relay(request: Request, reply: Reply, tools: RelayTools) -> None:
    """Answer one request; raises CallerGone."""
    arrived_at = tools.clock.elapsed()
    try:
        terms = tools.dialect.read_terms(request.headers)
    except RequestError as error:
        status = error.status or BAD_REQUEST
        _answer(reply, Refusal(status, error.message), tools)
        tools.log('request_malformed', cause=error.message, status=status)
        return
    try:
        job = _admit(request, reply, terms, arrived_at, tools)
    except _Refused as refused:
        _refuse_early(reply, terms, refused, arrived_at, tools)
        return
    model = terms.model or ''
    tools.demand.begin(model)
    try:
        _run(job, tools)
    except CallerGone:
        _settle(job, tools, 'caller_gone')
        raise
    except _Refused as refused:
        _refuse(job, refused, tools)
    except Exception as error:
        # A defect of this gateway: the caller still gets a true answer.
        tools.log('task_error', request=terms.request_id, cause=repr(error))
        status = BAD_GATEWAY if job.sent_at else UNAVAILABLE
        _refuse(job, _Refused(status, 'internal error', NEWS_TIME), tools)
    finally:
        tools.demand.end(model)


def _admit(
    request: Request,
    reply: Reply,
    terms: RequestTerms,
    arrived_at: timedelta,
    tools: RelayTools,
) -> Job:
    known = tools.knowledge()
    catalog = known.catalog
    if catalog is None:
        raise _Refused(UNAVAILABLE, 'no configuration is known', NEWS_TIME)
    is_sure = known.confirmed_for < CONFIRMED_LATELY
    route = catalog.route_for(terms.host, request.target)
    if route is None:
        raise _unknown(NOT_FOUND, 'no such route', is_sure)
    workspace = _workspace_of(route, terms, known, is_sure)
    service = catalog.services_by_name.get(
        pick_share(route.shares, tools.random.random()),
    )
    if service is None:
        raise _Refused(UNAVAILABLE, 'the route has no service', NEWS_TIME)
    left = min(terms.time_left or route.timeout, route.timeout)
    job = Job(
        request=request,
        reply=reply,
        terms=terms,
        catalog=catalog,
        route=route,
        service=service,
        workspace=workspace,
        arrived_at=arrived_at,
        deadline=arrived_at + left - ANSWER_TIME,
        last_event_id=terms.last_event_id,
    )
    _charge(job, tools)
    if terms.model is not None:
        tools.demand.note_asked(terms.model)
    return job


def _workspace_of(
    route: Route,
    terms: RequestTerms,
    known: Knowledge,
    is_sure: bool,
) -> Workspace | None:
    catalog = known.catalog
    if route.is_public or catalog is None or not catalog.has_workspaces:
        return None
    workspace = catalog.workspaces_by_key.get(terms.key or '')
    if workspace is None:
        raise _unknown(UNAUTHORIZED, 'unknown key', is_sure)
    if not known.is_key_trusted:
        raise _Refused(
            UNAVAILABLE,
            KEY_UNSURE,
            LOADING_TIME,
        )
    return workspace


def _unknown(status: int, cause: str, is_sure: bool) -> _Refused:
    if is_sure:
        return _Refused(status, cause)
    return _Refused(
        UNAVAILABLE,
        f'{cause}, and the configuration could not be confirmed lately',
        NEWS_TIME,
    )


def _charge(job: Job, tools: RelayTools) -> None:
    workspace = job.workspace
    if workspace is None or not workspace.per_second:
        return
    charge = _cost(workspace, job.terms)
    wait = tools.allowance.take(workspace, charge)
    if wait is not None:
        raise _Refused(TOO_MANY, 'over the limit of the workspace', wait)
    job.charged = charge


def _cost(workspace: Workspace, terms: RequestTerms) -> float:
    if not workspace.counts_tokens:
        return 1
    if not terms.names_tokens:
        return workspace.plain_cost
    return terms.prompt_tokens + terms.output_tokens


def _run(job: Job, tools: RelayTools) -> None:
    tools.budget_of(job.service.name).note_first()
    last: Outcome | None = None
    while True:
        target, option = _find_target(job, last, tools)
        if target is None:
            _give_up(job, last, option, tools)
            return
        if job.sends and not tools.budget_of(job.service.name).take():
            job.steps.append('no repeat left in the budget')
            _give_up(job, last, None, tools)
            return
        last = _send_once(job, target, option, tools)
        job.cause = last.cause
        if last.ending is Ending.DELIVERED:
            _deliver(job, last.answer, tools)
            return
        if not _may_go_on(job, last):
            _give_up(job, last, None, tools)
            return


def _find_target(
    job: Job,
    last: Outcome | None,
    tools: RelayTools,
) -> tuple[Target | None, Option | None]:
    """Return the target to send to; waits while its model is loaded."""
    while True:
        now = tools.clock.elapsed()
        if job.time_left(now) <= timedelta():
            return None, None
        found = pick(
            Query(job.service, job.terms, frozenset(job.excluded)),
            tools.beliefs,
            now,
        )
        if isinstance(found, Option):
            if not job.sends and _is_hopeless(job, found, now):
                return None, found
            target = tools.beliefs.book.by_id[found.target_id]
            if not found.lacks_adapter or _load_adapter(job, target, tools):
                return target, found
            continue
        if found is Lack.TARGET or _is_turned_away(last):
            return None, None
        if not _await_model(job, now, tools):
            return None, None


def _is_turned_away(last: Outcome | None) -> bool:
    """Tell whether the targets are full: waiting for another is no use."""
    return (
        last is not None
        and last.ending is Ending.NOT_RUN
        and last.arrived
        and not last.is_misdirected
    )


def _is_hopeless(job: Job, option: Option, now: timedelta) -> bool:
    outlook = Outlook(
        predicted=predict(option),
        time_left=job.time_left(now),
        objective=job.route.objective,
    )
    return judge(outlook) is Verdict.REFUSE


def _load_adapter(job: Job, target: Target, tools: RelayTools) -> bool:
    terms = job.terms
    model, adapter = terms.model or '', terms.adapter or ''
    if tools.loader.load_adapter(target, model, adapter):
        return True
    job.excluded.add(target.entry.target_id)
    job.steps.append(f'no adapter at {target.entry.target_id}')
    return False


def _await_model(job: Job, now: timedelta, tools: RelayTools) -> bool:
    model = job.terms.model or ''
    engine = job.service.engine
    if engine is None or model not in engine.models_by_name:
        return False
    allowed = job.arrived_at + _stay(job) * MODEL_WAIT_PART
    expected = tools.loader.expected_at(model)
    if max(now, expected or now) >= allowed:
        job.steps.append('the model is not in place in time')
        job.expected_at = expected
        return False
    tools.loader.await_model(job.service, model, allowed - now)
    return True


def _stay(job: Job) -> timedelta:
    """Return how long the caller stays before the first event."""
    left = job.deadline - job.arrived_at
    if job.route.kind is not RouteKind.STREAMING:
        return left
    return min(left, max(STAY_LEAST, job.route.objective * STAY_FACTOR))


@contextmanager
def _counted(
    target: Target,
    in_flight: InFlight,
    tools: RelayTools,
) -> Iterator[None]:
    number = next(tools.sequence)
    target.in_flight[number] = in_flight
    try:
        yield
    finally:
        target.in_flight.pop(number, None)


def _send_once(
    job: Job,
    target: Target,
    option: Option | None,
    tools: RelayTools,
) -> Outcome:
    now = tools.clock.elapsed()
    _check_key(job, tools)
    job.sent_at = now
    job.target_id = target.entry.target_id
    in_flight = InFlight(
        sent_at=now,
        missing_tokens=option.missing_tokens if option else 0,
        total_tokens=job.terms.prompt_tokens + job.terms.output_tokens,
    )
    if job.terms.adapter is not None:
        tools.loader.note_adapter_use(
            target,
            job.terms.model or '',
            job.terms.adapter,
        )
    rank = None
    if job.service.engine is not None:
        workspace = job.workspace
        rank = urgency(
            workspace.priority if workspace else None,
            job.route.priority,
        )
    with _counted(target, in_flight, tools):
        outcome = send(job, target, in_flight, rank, tools.sending)
    _learn(job, target, outcome, tools)
    return outcome


def _check_key(job: Job, tools: RelayTools) -> None:
    """Refuse when the key may have been withdrawn while the job waited."""
    if job.workspace is None:
        return
    known = tools.knowledge()
    catalog = known.catalog
    is_known = catalog is not None and (
        (job.terms.key or '') in catalog.workspaces_by_key
    )
    if known.is_key_trusted and is_known:
        return
    status = BAD_GATEWAY if job.runs else UNAVAILABLE
    if not is_known and not job.runs:
        status = UNAUTHORIZED
    raise _Refused(status, KEY_UNSURE, LOADING_TIME)


def _learn(
    job: Job,
    target: Target,
    outcome: Outcome,
    tools: RelayTools,
) -> None:
    now = tools.clock.elapsed()
    target_id = target.entry.target_id
    job.steps.append(f'{target_id}: {outcome.ending.value} {outcome.cause}')
    tools.metrics.count('sends_total', ending=outcome.ending.value)
    if outcome.arrived:
        job.sends += 1
    if outcome.ending not in {Ending.NOT_RUN, Ending.DELIVERED}:
        job.runs += 1
    if outcome.ending is Ending.DELIVERED:
        target.note_success(now)
        return
    job.excluded.add(target_id)
    if outcome.is_misdirected:
        _note_misdirected(job, target, outcome, tools)
        return
    if outcome.ending is not Ending.NOT_RUN or outcome.is_unreachable:
        target.note_failure(now, outcome.is_unreachable)
        tools.sending.pool.drop(target.entry.address)
        tools.log(
            'target_failed',
            request=job.terms.request_id,
            target=target_id,
            cause=outcome.cause,
            failure_rate=round(target.failure_rate, 3),
            in_row=target.failures_in_row,
        )


def _note_misdirected(
    job: Job,
    target: Target,
    outcome: Outcome,
    tools: RelayTools,
) -> None:
    if outcome.is_unreachable:
        target.note_failure(tools.clock.elapsed(), is_unreachable=True)
        return
    model = job.terms.model
    if model is None:
        return
    target.absent_models.add(model)
    tools.beliefs.prompts.forget_model(target.entry.target_id, model)


def _may_go_on(job: Job, last: Outcome) -> bool:
    if last.ending is Ending.NOT_RUN:
        return True
    return job.may_repeat


def _deliver(
    job: Job,
    answer: WholeAnswer | None,
    tools: RelayTools,
) -> None:
    if answer is not None:
        job.reply.send(
            answer.head.status,
            answer.head.headers.end_to_end(tools.dialect.kept_fields),
            answer.body,
        )
    _settle(job, tools, 'delivered')


def _give_up(
    job: Job,
    last: Outcome | None,
    option: Option | None,
    tools: RelayTools,
) -> None:
    """End a request that no target answered, with what is known of it."""
    if last is not None and last.answer is not None and not job.events:
        _deliver(job, last.answer, tools)
        return
    if job.events:
        # The missing end of the stream tells the caller that it broke off.
        _settle(job, tools, 'broken_off')
        return
    now = tools.clock.elapsed()
    if job.runs:
        is_late = job.time_left(now) <= timedelta()
        status = GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
        raise _Refused(status, job.cause or 'no usable answer')
    if option is not None:
        raise _Refused(
            UNAVAILABLE,
            'all targets are behind',
            predict(option) - job.route.objective,
        )
    wait = LOADING_TIME if job.terms.model else NEWS_TIME
    if job.expected_at is not None:
        wait = job.expected_at - now
    raise _Refused(
        UNAVAILABLE,
        job.cause or 'no target can take the request',
        wait,
    )


def _refuse(job: Job, refused: _Refused, tools: RelayTools) -> None:
    wait = None
    if refused.status in {TOO_MANY, UNAVAILABLE}:
        wait = retry_after(
            refused.wait or NEWS_TIME,
            job.time_left(tools.clock.elapsed()),
            tools.random,
        )
    job.cause = refused.cause
    refusal = Refusal(
        refused.status,
        refused.cause,
        job.terms.request_id,
        wait,
    )
    try:
        _answer(job.reply, refusal, tools)
    finally:
        _settle(job, tools, f'refused_{refused.status}')


def _refuse_early(
    reply: Reply,
    terms: RequestTerms,
    refused: _Refused,
    arrived_at: timedelta,
    tools: RelayTools,
) -> None:
    wait = refused.wait
    if wait is not None:
        left = terms.time_left or LOADING_TIME
        wait = retry_after(wait, left, tools.random)
    refusal = Refusal(refused.status, refused.cause, terms.request_id, wait)
    known = tools.knowledge()
    tools.log(
        'request_refused',
        request=terms.request_id,
        status=refused.status,
        cause=refused.cause,
        catalog_version=known.catalog.version if known.catalog else None,
        catalog_age_ms=_whole_ms(known.confirmed_for),
    )
    tools.metrics.count(
        'requests_total',
        outcome=f'refused_{refused.status}',
    )
    _answer(reply, refusal, tools)
    tools.metrics.observe('refusal', tools.clock.elapsed() - arrived_at)


def _answer(reply: Reply, refusal: Refusal, tools: RelayTools) -> None:
    headers, body = tools.dialect.word_refusal(refusal)
    reply.send(refusal.status, headers, body)


def _settle(job: Job, tools: RelayTools, outcome: str) -> None:
    """Account for a request that ended, and log how."""
    if job.charged and job.workspace is not None and not _ran(job, outcome):
        tools.allowance.refund(job.workspace, job.charged)
    now = tools.clock.elapsed()
    tools.metrics.count(
        'requests_total',
        outcome=outcome,
        route=job.route.name,
    )
    tools.metrics.observe('request', now - job.arrived_at)
    if job.first_event_at is not None:
        tools.metrics.observe(
            'first_event', job.first_event_at - job.arrived_at
        )
    known = tools.knowledge()
    tools.log(
        'request_ended',
        request=job.terms.request_id,
        route=job.route.name,
        outcome=outcome,
        cause=job.cause,
        model=job.terms.model_key,
        target=job.target_id,
        sends=job.sends,
        runs=job.runs,
        events=job.events,
        steps=job.steps if outcome != 'delivered' else len(job.steps),
        wait_ms=_whole_ms((job.sent_at or now) - job.arrived_at),
        first_event_ms=_whole_ms(
            (job.first_event_at or now) - job.arrived_at,
        ),
        total_ms=_whole_ms(now - job.arrived_at),
        catalog_version=job.catalog.version,
        catalog_age_ms=_whole_ms(known.confirmed_for),
    )


def _ran(job: Job, outcome: str) -> bool:
    return outcome in {'delivered', 'broken_off', 'caller_gone'} or job.runs > 0


def _whole_ms(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)


def job_numbers() -> Iterator[int]:
    """Return numbers for requests in flight."""
    return count(1)
