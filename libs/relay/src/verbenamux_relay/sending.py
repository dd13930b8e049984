"""One send of a request to one target, up to its answer or its failure."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar

from verbenamux_contracts.clock import Clock
from verbenamux_http.client import ConnectionPool, Exchange, Outgoing
from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.parsing import ResponseHead
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.dialect import Addressing, AnswerTerms, Dialect
from verbenamux_relay.events import EventSplitter
from verbenamux_relay.job import Job
from verbenamux_relay.targets import InFlight, Target

# How long a new connection may take before another target is tried.
CONNECT_MOST = timedelta(milliseconds=400)
# Requests that may run only once go on connections idle for less than this.
FRESH_IDLE = timedelta(milliseconds=500)
# A repeatable request waits for an answer this many objectives at most.
PATIENCE_FACTOR = 1.5
PATIENCE_LEAST = timedelta(milliseconds=700)
# What of the time left the target is told, for the answer's way back.
RETURN_TIME = timedelta(milliseconds=5)
# Statuses that promise a caller that its request has not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
FIRST_SERVER_ERROR = 500
OK = 200


Received = TypeVar('Received')


class Ending(enum.Enum):
    """What one send came to.

    NOT_RUN: proof that the request did not run there.
    UNKNOWN: it may have run, and no usable answer came.
    FAILED: the target answered with a failure of its own.
    DELIVERED: the caller has the whole answer.
    BROKEN_OFF: a stream ended early behind its first event.
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    DELIVERED = 'delivered'
    BROKEN_OFF = 'broken_off'


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was read to its end and not passed on yet."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a send ended, and why."""

    ending: Ending
    cause: str = ''
    answer: WholeAnswer | None = None
    arrived: bool = True
    is_misdirected: bool = False
    is_unreachable: bool = False


@dataclass(frozen=True, slots=True)
class SendTools:
    """What a send needs of its process."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    on_first_event: Callable[[Job, Target, InFlight], None]


def send(
    job: Job,
    target: Target,
    in_flight: InFlight,
    urgency: int | None,
    tools: SendTools,
) -> Outcome:
    """Send a job to a target and pass the answer on.

    Raises CallerGone; the target's connection is closed then, which tells
    the target to stop.
    """
    address = target.entry.address
    try:
        connection = tools.pool.take(
            address,
            min(CONNECT_MOST, job.time_left(tools.clock.elapsed())),
            None if job.route.is_repeatable else FRESH_IDLE,
        )
    except ExchangeFailure as failure:
        return Outcome(
            Ending.NOT_RUN,
            failure.message,
            arrived=False,
            is_unreachable=True,
        )
    exchange: Exchange | None = None
    try:
        exchange = connection.start(_outgoing(job, target, urgency, tools))
        outcome = _follow(job, target, in_flight, exchange, tools)
    except ExchangeFailure as failure:
        return _classify(job, failure)
    finally:
        if exchange is None:
            connection.close()
        elif exchange.is_reusable():
            tools.pool.give_back(address, exchange)
        else:
            exchange.close()
    return outcome


def _outgoing(
    job: Job,
    target: Target,
    urgency: int | None,
    tools: SendTools,
) -> Outgoing:
    request = job.request
    headers = request.headers.end_to_end(tools.dialect.kept_fields)
    if request.is_chunked:
        headers = headers.replaced(
            (('Content-Length', str(len(request.body))),),
        )
    addressed = tools.dialect.address(
        headers,
        Addressing(
            target_id=target.entry.target_id,
            workspace=job.workspace.name if job.workspace else None,
            time_left=job.time_left(tools.clock.elapsed()) - RETURN_TIME,
            urgency=urgency,
            last_event_id=job.last_event_id,
        ),
    )
    return Outgoing(request.method, request.target, addressed, request.body)


def _follow(
    job: Job,
    target: Target,
    in_flight: InFlight,
    exchange: Exchange,
    tools: SendTools,
) -> Outcome:
    clock = tools.clock
    head = _await(
        lambda: exchange.read_head(_patience(job, clock.elapsed())),
        job,
        target,
        in_flight,
        clock,
    )
    terms = tools.dialect.read_answer(head)
    target.heard_at = clock.elapsed()
    if terms.load is not None:
        target.load = terms.load
        target.load_at = clock.elapsed()
    if terms.request_id not in {None, job.terms.request_id}:
        return Outcome(Ending.UNKNOWN, 'the answer is to another request')
    if terms.was_not_run:
        return _not_run(job, head, terms, target, exchange, clock)
    is_stream = job.route.kind is RouteKind.STREAMING
    if is_stream and head.status == OK:
        if not terms.is_proven and not job.events:
            return Outcome(Ending.UNKNOWN, 'the answer bears no proof')
        return _pass_stream(job, target, in_flight, exchange, tools)
    body = exchange.read_body(lambda: job.time_left(clock.elapsed()))
    answer = WholeAnswer(head, body)
    if head.status in PROMISING_STATUSES:
        return Outcome(
            Ending.UNKNOWN,
            f'the target answered {head.status} without proof of no run',
        )
    if head.status >= FIRST_SERVER_ERROR:
        return Outcome(
            Ending.FAILED,
            f'the target answered {head.status}',
            answer,
        )
    if not terms.is_proven:
        return Outcome(Ending.UNKNOWN, 'the answer bears no proof')
    return Outcome(Ending.DELIVERED, answer=answer)


def _not_run(
    job: Job,
    head: ResponseHead,
    terms: AnswerTerms,
    target: Target,
    exchange: Exchange,
    clock: Clock,
) -> Outcome:
    try:
        exchange.read_body(lambda: job.time_left(clock.elapsed()))
    except ExchangeFailure as failure:
        job.steps.append(f'refusal cut short: {failure.message}')
    is_other = terms.is_misdirected and terms.target_id not in {
        None,
        target.entry.target_id,
    }
    return Outcome(
        Ending.NOT_RUN,
        f'the target refused with {head.status}',
        is_misdirected=terms.is_misdirected,
        is_unreachable=is_other,
    )


def _pass_stream(
    job: Job,
    target: Target,
    in_flight: InFlight,
    exchange: Exchange,
    tools: SendTools,
) -> Outcome:
    """Pass events on as they come; the head goes with the first one."""
    head = exchange.read_head(None)
    splitter = EventSplitter()
    try:
        piece = _await(
            lambda: exchange.read_piece(_patience(job, tools.clock.elapsed())),
            job,
            target,
            in_flight,
            tools.clock,
        )
        while piece is not None:
            for event in splitter.feed(piece):
                if not in_flight.is_started:
                    tools.on_first_event(job, target, in_flight)
                _start_reply(job, head, tools)
                job.reply.send_piece(event.encoded)
                job.events += 1
                job.last_event_id = event.event_id or job.last_event_id
            piece = exchange.read_piece(_gap_time(job, in_flight, tools.clock))
    except ExchangeFailure as failure:
        if job.events and failure.fault is not Fault.UNSENT:
            return Outcome(Ending.BROKEN_OFF, failure.message)
        raise
    rest = splitter.take_rest()
    _start_reply(job, head, tools)
    if rest:
        job.reply.send_piece(rest)
    job.reply.finish()
    return Outcome(Ending.DELIVERED)


def _start_reply(job: Job, head: ResponseHead, tools: SendTools) -> None:
    if not job.reply.is_started:
        job.reply.start(
            head.status,
            head.headers.end_to_end(tools.dialect.kept_fields),
        )


def _patience(job: Job, now: timedelta) -> timedelta:
    left = job.time_left(now)
    can_repeat = (
        job.route.is_repeatable and job.runs + 1 < job.route.attempts_most
    )
    if not can_repeat:
        return left
    patience = max(job.route.objective * PATIENCE_FACTOR, PATIENCE_LEAST)
    return min(left, patience)


def _await(
    read: Callable[[], Received],
    job: Job,
    target: Target,
    in_flight: InFlight,
    clock: Clock,
) -> Received:
    """Read with patience, and on while the target answers others.

    A busy target is late for all; to break off there and send anew would
    only add to its work.
    """
    while True:
        try:
            return read()
        except ExchangeFailure as failure:
            if failure.fault is not Fault.TIMED_OUT:
                raise
            is_alive = target.heard_at > in_flight.sent_at
            if not is_alive or job.time_left(clock.elapsed()) <= timedelta():
                raise


def _gap_time(job: Job, in_flight: InFlight, clock: Clock) -> timedelta:
    if in_flight.is_started:
        return job.time_left(clock.elapsed())
    return _patience(job, clock.elapsed())


def _classify(job: Job, failure: ExchangeFailure) -> Outcome:
    if failure.fault is Fault.UNSENT:
        return Outcome(
            Ending.NOT_RUN,
            failure.message,
            arrived=False,
            is_unreachable=True,
        )
    return Outcome(
        Ending.UNKNOWN,
        failure.message,
        is_unreachable=failure.fault is Fault.TIMED_OUT,
    )
