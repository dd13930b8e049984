"""Ends a request: its answer or refusal, refund, metrics and log line."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from verbenamux_balancing.send_decision import retry_after
from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_http.server import Reply
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import Catalog
from verbenamux_relay.dialect import (
    Dialect,
    Refusal,
)
from verbenamux_relay.job import Job
from verbenamux_relay.sending import WholeAnswer
from verbenamux_relay.terms import RequestTerms
from verbenamux_runtime.metrics import Metrics

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
# Retry-After base for a route, key or target that is not known yet.
UPDATE_RETRY_DELAY = timedelta(milliseconds=300)


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration of a gateway, and whether it is confirmed.

    `confirmed_for` is the time since it was last confirmed to be the newest.
    """

    catalog: Catalog | None
    confirmed_for: timedelta
    is_key_trusted: bool


@dataclass(frozen=True, slots=True)
class OutcomeContext:
    """The process-wide context for ending requests."""

    clock: Clock
    dialect: Dialect
    allowance: Allowance
    metrics: Metrics
    random: Random
    configuration_state: Callable[[], ConfigurationState]
    log: Callable[..., None]


class RequestRefusedError(Exception):
    """A request that the gateway refuses itself.

    `wait` is the time until it may be served, None if retrying does not help.
    """

    def __init__(
        self,
        status: int,
        cause: str,
        wait: timedelta | None = None,
    ) -> None:
        """Store the status, cause and wait of the answer."""
        super().__init__(cause)
        self.status = status
        self.cause = cause
        self.wait = wait


def refuse(
    job: Job,
    refused: RequestRefusedError,
    context: OutcomeContext,
) -> None:
    """Answer an admitted job that failed.

    A stream that has begun is broken off instead: the caller detects this by
    its missing end.
    """
    if job.reply.is_started:
        job.cause = refused.cause
        record_outcome(job, 'broken_off', context)
        return
    wait = None
    if refused.wait is not None:
        wait = retry_after(
            refused.wait,
            job.time_left(context.clock.elapsed()),
            context.random,
        )
    job.cause = refused.cause
    refusal = Refusal(
        refused.status,
        refused.cause,
        job.terms.request_id,
        wait,
    )
    try:
        answer(job.reply, refusal, context)
    finally:
        record_outcome(job, f'refused_{refused.status}', context)


def refuse_unadmitted(
    reply: Reply,
    terms: RequestTerms,
    refused: RequestRefusedError,
    context: OutcomeContext,
) -> None:
    """Answer a request that was not admitted."""
    wait = refused.wait
    if wait is not None:
        wait = retry_after(wait, terms.time_left or wait * 3, context.random)
    configuration = context.configuration_state()
    context.log(
        'request_refused',
        request_id=terms.request_id,
        status=refused.status,
        cause=refused.cause,
        catalog_version=configuration.catalog.version
        if configuration.catalog
        else None,
        catalog_age_ms=to_milliseconds(configuration.confirmed_for),
    )
    context.metrics.count(
        'requests_total',
        outcome=f'refused_{refused.status}',
    )
    refusal = Refusal(refused.status, refused.cause, terms.request_id, wait)
    answer(reply, refusal, context)


def answer(reply: Reply, refusal: Refusal, context: OutcomeContext) -> None:
    """Write the gateway's own answer; raises CallerDisconnected."""
    headers, body = context.dialect.encode_refusal(refusal)
    reply.send(refusal.status, headers, body)


def deliver(
    job: Job,
    whole: WholeAnswer | None,
    context: OutcomeContext,
) -> None:
    """Send a target's whole answer, unless it was sent as a stream."""
    if whole is not None:
        job.reply.send(
            whole.head.status,
            whole.head.headers.end_to_end(context.dialect.protected_fields),
            whole.body,
        )
    record_outcome(job, 'delivered', context)


def record_outcome(job: Job, outcome: str, context: OutcomeContext) -> None:
    """Record the outcome of a request: refund, metrics and log line."""
    if job.workspace is not None and not job.runs:
        context.allowance.refund(job.workspace, job.charged_units)
    now = context.clock.elapsed()
    context.metrics.count(
        'requests_total',
        outcome=outcome,
        route=job.route.name,
    )
    context.metrics.observe('request', now - job.arrived_at)
    if job.sent_at is not None:
        context.metrics.observe('queue', job.sent_at - job.arrived_at)
    first_at = job.first_event_at
    if first_at is not None:
        context.metrics.observe('first_event', first_at - job.arrived_at)
    configuration = context.configuration_state()
    context.log(
        'request_ended',
        request_id=job.terms.request_id,
        route=job.route.name,
        outcome=outcome,
        cause=job.cause,
        stage=job.stage.value,
        model=job.terms.model_key,
        target=job.target_id,
        sends=job.sends,
        runs=job.runs,
        handed_ms=(
            None
            if job.handed_time is None
            else to_milliseconds(job.handed_time)
        ),
        events=job.events,
        steps=len(job.steps) if outcome == 'delivered' else job.steps,
        wait_ms=to_milliseconds((job.sent_at or now) - job.arrived_at),
        first_event_ms=to_milliseconds((first_at or now) - job.arrived_at),
        total_ms=to_milliseconds(now - job.arrived_at),
        left_ms=to_milliseconds(job.time_left(now)),
        catalog_version=job.catalog.version,
        catalog_age_ms=to_milliseconds(configuration.confirmed_for),
    )


def log_open(job: Job, context: OutcomeContext) -> None:
    """Log what a request waits for when the process ends."""
    now = context.clock.elapsed()
    context.log(
        'request_cut',
        request_id=job.terms.request_id,
        route=job.route.name,
        stage=job.stage.value,
        target=job.target_id,
        sends=job.sends,
        runs=job.runs,
        events=job.events,
        steps=job.steps,
        open_ms=to_milliseconds(now - job.arrived_at),
        left_ms=to_milliseconds(job.time_left(now)),
    )
