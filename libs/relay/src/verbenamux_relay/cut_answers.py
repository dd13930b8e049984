"""Tells apart how a target cut an answer, and records what it is evidence of.

Load pattern: targets crash, some of them under the prompts that they answer.
Each gateway sees its own requests end, at any point of their answers.
"""

import enum
from datetime import timedelta

from verbenamux_http.errors import ExchangeFailure
from verbenamux_relay.job import Job
from verbenamux_relay.relay_context import RelayContext
from verbenamux_relay.sending import CONNECT_TIMEOUT, Outcome, Send
from verbenamux_relay.targets import InFlight
from verbenamux_relay.unanswered_cuts import MIN_ENDED_TARGETS, Cut


class Received(enum.Enum):
    """What had arrived of an answer that was cut."""

    NOTHING = 'nothing'
    HEAD = 'head'
    EVENT = 'event'


def record_cut(sent: Send, outcome: Outcome, context: RelayContext) -> None:
    """Record an answer that was cut before it had gone on.

    If its target ended as it began to write it, the request is sent again only
    if none of its parts can be the cause; where no byte had arrived, this holds
    from the second such target on. One that accepts connections may have
    restarted.
    """
    job, entry = sent.job, sent.target.entry
    received = _received(sent.in_flight)
    if not _is_cut_early(sent, outcome):
        return
    is_open = _accepts_connections(sent)
    context.outcome_context.metrics.count(
        'answers_cut_total',
        received=received.value,
        target='open' if is_open else 'ended',
    )
    context.outcome_context.log(
        'answer_cut',
        request_id=job.terms.request_id,
        target=entry.target_id,
        received=received.value,
        is_target_open=is_open,
        waiting_beside=_waiting_beside(sent),
        parts=[part.part_id for part in job.terms.parts],
    )
    cut = Cut(
        f'{entry.target_id}@{entry.started_ms}',
        job.workspace_name,
        job.terms,
        context.now(),
        sent.in_flight.sent_at,
        has_event=received is Received.EVENT,
        is_unanswered=received is Received.NOTHING,
    )
    job.is_cut_unanswered |= cut.is_unanswered
    if is_open:
        context.quarantine.suspect(entry.target_id, cut)
        return
    if not cut.is_unanswered:
        context.outcome_context.metrics.count('crashes_suspected_total')
    context.quarantine.record_crash(cut)
    job.ended_targets += 1
    if not cut.is_unanswered or job.ended_targets >= MIN_ENDED_TARGETS:
        job.is_suspect = not context.quarantine.may_send_again(job.terms)


def record_end(job: Job, context: RelayContext) -> None:
    """Record that a job ended, answered or not."""
    if job.is_cut_unanswered:
        context.quarantine.record_unanswered_end(job.terms.request_id)


def _received(in_flight: InFlight) -> Received:
    if in_flight.is_started:
        return Received.EVENT
    return Received.HEAD if in_flight.has_head else Received.NOTHING


def _is_cut_early(sent: Send, outcome: Outcome) -> bool:
    """Return whether an answer may have ended as its target began to write it.

    A prompt that had events elsewhere before did not begin here.
    """
    in_flight = sent.in_flight
    if in_flight.is_started:
        return outcome.is_cut and not in_flight.has_gone_on
    if in_flight.has_head:
        return True
    return outcome.is_cut and bool(sent.job.terms.parts) and not sent.job.events


def _accepts_connections(sent: Send) -> bool:
    """Return whether a target takes connections, as far as there is time."""
    timeout = min(CONNECT_TIMEOUT, sent.time_left())
    if timeout <= timedelta():
        return True
    try:
        connection = sent.context.pool.take(sent.target.entry.address, timeout)
    except ExchangeFailure:
        return False
    connection.close()
    return True


def _waiting_beside(sent: Send) -> int:
    """Return how many other requests waited there for the head of an answer."""
    return sum(
        not other.has_head
        for other in sent.target.in_flight.values()
        if other is not sent.in_flight
    )
