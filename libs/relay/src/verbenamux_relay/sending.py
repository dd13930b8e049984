"""Sends a request to one target once, up to its answer or failure."""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import islice
from typing import TypeVar

from verbenamux_balancing.answer_times import AnswerTimes
from verbenamux_balancing.late_answer import REVIEW_INTERVAL, answer_timeout
from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_http.client import (
    Connection,
    ConnectionPool,
    Exchange,
    Outgoing,
)
from verbenamux_http.errors import ExchangeFailure, Fault
from verbenamux_http.event_loop import poll_event_loop
from verbenamux_http.parsing import ResponseHead
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.dialect import Addressing, AnswerTerms, Dialect
from verbenamux_relay.events import (
    LINE_ENDS,
    RESERVED_ANSWER_BYTES,
    EventSplitter,
    StreamEvent,
)
from verbenamux_relay.job import Job, Stage
from verbenamux_relay.target_selection import is_serving
from verbenamux_relay.targets import InFlight, Target

# How long a new connection may take before another target is tried.
CONNECT_TIMEOUT = timedelta(milliseconds=400)
# After this total time no further connection is tried for a request that has
# not run: if a second target does not accept one in time either, the fault is
# more likely on this host's side, and another gateway may still reach them.
MAX_CONNECTING_TIME = CONNECT_TIMEOUT * 1.5
# Requests that may run only once use connections idle for less than this.
MAX_FRESH_IDLE = timedelta(milliseconds=500)
# After this time between two events of a stream the next one is late.
EVENT_GAP_TIMEOUT = timedelta(milliseconds=1200)
# What arrived while a send was given up is still read.
LAST_READ_TIME = timedelta(milliseconds=1)
# The body of a refusal is read up to this time and size: it arrives with its
# head, and reading more costs as much as a new connection.
REFUSAL_READ_TIMEOUT = timedelta(milliseconds=100)
MAX_REFUSAL_BYTES = 65536
# A target that crashes as it begins to answer has ended this long after the
# first event: its connections close with its process, which takes milliseconds.
BEGINNING_TIME = timedelta(milliseconds=500)
# Events that arrived together are passed on in batches of up to this many, with
# the other tasks in between: a target may send tiny ones without end.
MAX_BATCH_EVENTS = 64
# Subtracted from the time left sent to the target, for the answer's way back.
RETURN_MARGIN = timedelta(milliseconds=5)
# Statuses that guarantee to a caller that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FIRST_SERVER_ERROR = 500
OK = 200

Received = TypeVar('Received')


class Ending(enum.Enum):
    """The result of one send.

    NOT_RUN: proof that the request did not run there.
    UNKNOWN: it may have run, and no usable answer came.
    FAILED: the target answered with a failure of its own.
    DELIVERED: the caller has the whole answer, or `answer` holds it.
    BROKEN_OFF: a stream that has begun did not go on to its end.
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    DELIVERED = 'delivered'
    BROKEN_OFF = 'broken_off'


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was read completely and not passed on yet."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a send ended, and why.

    `arrived` is false when no byte reached the target. `is_model_missing` is
    true when the target does not hold the requested model or adapter,
    `is_replaced` when another target answered at its address, `is_cut` when the
    target ended the connection instead of its answer.
    """

    ending: Ending
    cause: str = ''
    answer: WholeAnswer | None = None
    arrived: bool = True
    is_model_missing: bool = False
    is_unreachable: bool = False
    is_replaced: bool = False
    is_cut: bool = False


@dataclass(frozen=True, slots=True)
class SendContext:
    """The process-wide context for sends."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    on_first_event: Callable[[Job, Target, InFlight], None]
    on_gone_on: Callable[[Job], None]
    log: Callable[..., None]
    answer_times: AnswerTimes


@dataclass(frozen=True, slots=True)
class Send:
    """A send of a job to one target; `urgency` is its rank there.

    `may_give_up` decides whether its late answer is given up.
    """

    job: Job
    target: Target
    in_flight: InFlight
    urgency: int | None
    context: SendContext
    may_give_up: Callable[[], bool]

    def time_left(self) -> timedelta:
        """Return the time until the job's deadline."""
        return self.job.time_left(self.context.clock.elapsed())

    def record_received(self) -> None:
        """Record that data was received from the target."""
        now = self.context.clock.elapsed()
        self.target.last_received_at = now
        self.in_flight.last_received_at = now

    def record_first_part(self) -> None:
        """Record how long the first part of a usable answer took."""
        self.context.answer_times.record(
            self.job.route.name,
            self.target.entry.target_id,
            self.context.clock.elapsed() - self.in_flight.sent_at,
        )


def send(sent: Send) -> Outcome:
    """Send a job to a target and pass the answer on.

    Raises CallerDisconnected; the target's connection is closed then, which
    makes the target stop. Nothing is sent for a caller that has disconnected.
    """
    sent.job.reply.check_connected()
    if sent.time_left() <= timedelta():
        # The time was spent on choosing: this is no failure of the target.
        return Outcome(Ending.NOT_RUN, 'no time left to send', arrived=False)
    began = sent.context.clock.elapsed()
    try:
        connection = _connect(sent)
    except ExchangeFailure as failure:
        sent.job.connecting += sent.context.clock.elapsed() - began
        return Outcome(
            Ending.NOT_RUN,
            failure.message,
            arrived=False,
            is_unreachable=True,
        )
    now = sent.context.clock.elapsed()
    if not is_serving(sent.target, now) or sent.target.held_off_until > now:
        # It may have said so since it was chosen: connecting takes time.
        connection.close()
        return Outcome(
            Ending.NOT_RUN, 'the target takes no requests', arrived=False
        )
    try:
        exchange = _start(sent, connection)
    except ExchangeFailure as failure:
        return _failure_outcome(failure)
    try:
        return _follow(sent, exchange)
    except ExchangeFailure as failure:
        is_cut = failure.fault is Fault.BROKEN
        return replace(_failure_outcome(failure), is_cut=is_cut)
    finally:
        sent.context.pool.return_connection(sent.target.entry.address, exchange)


def _connect(sent: Send) -> Connection:
    return sent.context.pool.take(
        sent.target.entry.address,
        min(CONNECT_TIMEOUT, sent.time_left()),
        None if sent.job.route.is_retryable else MAX_FRESH_IDLE,
        sent.job.terms.request_id,
    )


def _start(sent: Send, connection: Connection) -> Exchange:
    """Send the request; raises ExchangeFailure."""
    try:
        outgoing = _outgoing(sent)
    except BaseException:
        connection.close()
        raise
    sent.job.record_sent(sent.time_left() - RETURN_MARGIN)
    return connection.start(outgoing, sent.time_left())


def _outgoing(sent: Send) -> Outgoing:
    job = sent.job
    request = job.request
    dialect = sent.context.dialect
    headers = request.headers.end_to_end(dialect.protected_fields)
    if request.is_chunked:
        headers = headers.replaced(
            (('Content-Length', str(len(request.body))),),
        )
    addressed = dialect.address(
        headers,
        Addressing(
            target_id=sent.target.entry.target_id,
            workspace=job.workspace.name if job.workspace else None,
            time_left=sent.time_left() - RETURN_MARGIN,
            urgency=sent.urgency,
            last_event_id=job.last_event_id,
        ),
    )
    return Outgoing(
        request.method,
        request.target,
        addressed,
        request.body,
        job.terms.request_id,
    )


def _follow(sent: Send, exchange: Exchange) -> Outcome:
    """Read the answer and classify it."""
    read_answer = sent.context.dialect.read_answer
    exchange.skip_extra_answers(lambda head: read_answer(head).request_id)
    try:
        head = _await(sent, exchange.read_head, sent.context.clock.elapsed())
    finally:
        _record_extra_answers(sent, exchange.extra_answers)
    sent.record_received()
    sent.in_flight.has_head = True
    terms = read_answer(head)
    if terms.request_id is None:
        # A late copy of it could not be told from the next request's answer.
        exchange.forbid_reuse()
    _record_load(sent, terms)
    _record_own_word(sent, terms)
    if not _is_own(sent, exchange, terms):
        return Outcome(Ending.UNKNOWN, 'the answer is to another request')
    if terms.was_not_run:
        return _read_refusal(sent, exchange, head, terms)
    is_stream = sent.job.route.kind is RouteKind.STREAMING
    if is_stream and head.status == OK:
        if not terms.is_signed and not sent.job.events:
            return Outcome(Ending.UNKNOWN, 'the answer bears no proof')
        return _pass_stream(sent, exchange, head)
    if sent.job.reply.is_started:
        # Only further events of the stream can follow what the caller has.
        return Outcome(
            Ending.BROKEN_OFF,
            f'the target answered {head.status} to the rest of a stream',
        )
    body = exchange.read_body(sent.time_left, RESERVED_ANSWER_BYTES)
    _keep_answer(sent, len(body))
    outcome = _answer_outcome(WholeAnswer(head, body), terms)
    if outcome.ending is Ending.DELIVERED:
        sent.record_first_part()
    return outcome


def _keep_answer(sent: Send, size: int) -> None:
    """Count an answer until its job ends or another one replaces it.

    A caller may read it slowly.
    """
    memory = sent.context.pool.body_memory
    memory.release(sent.job.kept_answer_bytes)
    memory.keep(size)
    sent.job.kept_answer_bytes = size


def _answer_outcome(answer: WholeAnswer, terms: AnswerTerms) -> Outcome:
    status = answer.head.status
    if status in NOT_RUN_STATUSES:
        return Outcome(
            Ending.UNKNOWN,
            f'the target answered {status} without proof of no run',
        )
    if status >= FIRST_SERVER_ERROR:
        return Outcome(Ending.FAILED, f'the target answered {status}', answer)
    if not terms.is_signed:
        return Outcome(Ending.UNKNOWN, 'the answer bears no proof')
    return Outcome(Ending.DELIVERED, answer=answer)


def _is_own(sent: Send, exchange: Exchange, terms: AnswerTerms) -> bool:
    if terms.request_id is None:
        return not exchange.extra_answers
    return terms.request_id == sent.job.terms.request_id


def _record_extra_answers(sent: Send, extra_answers: int) -> None:
    if not extra_answers:
        return
    target_id = sent.target.entry.target_id
    sent.job.steps.append(f'{target_id}: {extra_answers} extra answers skipped')
    sent.context.log(
        'extra_answers_skipped',
        request_id=sent.job.terms.request_id,
        target=target_id,
        answers=extra_answers,
    )


def _record_load(sent: Send, terms: AnswerTerms) -> None:
    if terms.load is not None:
        sent.target.record_load(terms.load, sent.context.clock.elapsed())


def _record_own_word(sent: Send, terms: AnswerTerms) -> None:
    """Record that the target leaves, or wants nothing for a while.

    Another target may answer at its address.
    """
    target = sent.target
    if terms.target_id not in {None, target.entry.target_id}:
        return
    if terms.is_leaving and not target.has_said_leaving:
        target.has_said_leaving = True
        sent.context.log(
            'target_said_leaving',
            request_id=sent.job.terms.request_id,
            target=target.entry.target_id,
        )
    if terms.retry_after is not None:
        target.hold_off(sent.context.clock.elapsed(), terms.retry_after)
        sent.context.log(
            'target_held_off',
            request_id=sent.job.terms.request_id,
            target=target.entry.target_id,
            wanted_ms=to_milliseconds(terms.retry_after),
        )


def _read_refusal(
    sent: Send,
    exchange: Exchange,
    head: ResponseHead,
    terms: AnswerTerms,
) -> Outcome:
    """Read the rest of a refusal, so that its connection can be kept."""
    try:
        exchange.skip_body(
            min(REFUSAL_READ_TIMEOUT, sent.time_left()),
            MAX_REFUSAL_BYTES,
        )
    except ExchangeFailure as failure:
        sent.job.steps.append(
            f'reading the refusal body failed: {failure.message}'
        )
    own_id = sent.target.entry.target_id
    is_other_target = terms.is_misdirected and terms.target_id not in {
        None,
        own_id,
    }
    return Outcome(
        Ending.NOT_RUN,
        f'the target refused with {head.status}',
        is_model_missing=terms.is_misdirected and not is_other_target,
        is_replaced=is_other_target,
    )


def _pass_stream(
    sent: Send,
    exchange: Exchange,
    head: ResponseHead,
) -> Outcome:
    """Pass events on as they arrive; the head goes with the first one."""
    splitter = EventSplitter(sent.context.pool.body_memory)
    try:
        _pass_events(sent, exchange, head, splitter)
        blank_lines = _end_stream(sent, head, splitter)
    except ExchangeFailure as failure:
        if sent.job.events:
            return Outcome(
                Ending.BROKEN_OFF,
                failure.message,
                is_cut=failure.fault is Fault.BROKEN,
            )
        raise
    finally:
        splitter.close()
    _start_reply(sent, head)
    if blank_lines:
        sent.job.reply.send_piece(blank_lines)
    sent.job.reply.finish()
    return Outcome(Ending.DELIVERED)


def _end_stream(
    sent: Send,
    head: ResponseHead,
    splitter: EventSplitter,
) -> bytes:
    """Return the blank lines behind the last event of a whole stream.

    Raises ExchangeFailure if the stream was broken off where it ended. The
    end of a connection also ends an answer without length or chunks.
    """
    remainder = splitter.take_remainder()
    if remainder.strip(LINE_ENDS):
        raise ExchangeFailure(Fault.BROKEN, 'the stream ended inside an event')
    if head.ends_with_connection and not sent.in_flight.is_started:
        raise ExchangeFailure(Fault.BROKEN, 'the stream ended with no event')
    return remainder


def _pass_events(
    sent: Send,
    exchange: Exchange,
    head: ResponseHead,
    splitter: EventSplitter,
) -> None:
    since = sent.context.clock.elapsed()
    piece = _await(sent, exchange.read_piece, since)
    while piece is not None:
        for events in _batches(splitter.feed(piece)):
            sent.record_received()
            _pass_batch(sent, head, events)
            # Only after it is passed on: a slow caller is no target delay.
            since = sent.context.clock.elapsed()
            if len(events) == MAX_BATCH_EVENTS:
                _yield_to_other_tasks(sent)
        piece = _await(sent, exchange.read_piece, since)


def _batches(
    events: Iterator[StreamEvent],
) -> Iterator[tuple[StreamEvent, ...]]:
    """Group events that arrived together."""
    while batch := tuple(islice(events, MAX_BATCH_EVENTS)):
        yield batch


def _pass_batch(
    sent: Send,
    head: ResponseHead,
    events: tuple[StreamEvent, ...],
) -> None:
    job = sent.job
    in_flight = sent.in_flight
    now = sent.context.clock.elapsed()
    if not in_flight.is_started:
        job.stage = Stage.STREAM
        in_flight.started_at = now
        sent.record_first_part()
        sent.context.on_first_event(job, sent.target, in_flight)
    if not in_flight.has_gone_on:
        in_flight.has_gone_on = now - in_flight.started_at >= BEGINNING_TIME
        if in_flight.has_gone_on:
            sent.context.on_gone_on(job)
    _start_reply(sent, head)
    job.reply.send_piece(b''.join(event.encoded for event in events))
    job.events += len(events)
    for event in events:
        job.last_event_id = event.event_id or job.last_event_id


def _yield_to_other_tasks(sent: Send) -> None:
    """Let other tasks run between events that are already received.

    Raises ExchangeFailure when no time is left, as a read would.
    """
    poll_event_loop()
    if sent.time_left() <= timedelta():
        raise ExchangeFailure(Fault.TIMED_OUT, 'no time left for more events')


def _start_reply(sent: Send, head: ResponseHead) -> None:
    reply = sent.job.reply
    if not reply.is_started:
        kept = sent.context.dialect.protected_fields
        reply.start(head.status, head.headers.end_to_end(kept))


def _read_timeout(sent: Send, since: timedelta) -> timedelta:
    """Return after how long what is awaited since `since` is late."""
    route = sent.job.route
    left = sent.time_left()
    if not sent.job.may_retry:
        return left
    timeout = EVENT_GAP_TIMEOUT
    if not sent.in_flight.is_started:
        timeout = answer_timeout(
            route.objective,
            sent.context.answer_times.usual(route.name),
            allowed=sent.job.deadline - since,
        )
    return min(left, since + timeout - sent.context.clock.elapsed())


def _await(
    sent: Send,
    read: Callable[[timedelta], Received],
    since: timedelta,
) -> Received:
    """Read, until the send is given up or no time is left.

    Bytes of an incomplete head or event do not count as progress; `since` is
    when the last event was passed on, or the request was sent.
    """
    wait = _read_timeout(sent, since)
    sent.in_flight.is_given_up = False
    while True:
        try:
            return read(wait)
        except ExchangeFailure as failure:
            is_late = failure.fault is Fault.TIMED_OUT
            wait = _wait_when_late(sent) if is_late else timedelta()
            if wait <= timedelta():
                raise


def _wait_when_late(sent: Send) -> timedelta:
    """Return how much longer to wait: zero if the send is given up.

    A busy target is late for all requests; a further send would only add to its
    load. An answer to another request after this one was sent is not enough:
    the target may have ended since.
    """
    left = sent.time_left()
    if left <= timedelta():
        return left
    if sent.target.last_received_at > sent.in_flight.last_received_at:
        now = sent.context.clock.elapsed()
        until_suspect = sent.target.suspect_at(sent.in_flight) - now
        if until_suspect > timedelta():
            return min(until_suspect, left)
    if sent.in_flight.is_given_up:
        return timedelta()
    return LAST_READ_TIME if sent.may_give_up() else min(REVIEW_INTERVAL, left)


def _failure_outcome(failure: ExchangeFailure) -> Outcome:
    return Outcome(
        Ending.UNKNOWN,
        failure.message,
        is_unreachable=failure.fault is Fault.TIMED_OUT,
    )
