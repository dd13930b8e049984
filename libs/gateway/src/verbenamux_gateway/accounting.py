"""Token and idempotency-key accounting of a request."""

from collections.abc import Callable, Iterator
from contextlib import closing
from datetime import timedelta

from returns.pipeline import is_successful

from verbenamux_config.access import authenticate
from verbenamux_contracts.errors import (
    ErrorCode,
    RequestFailure,
    RequestRejectedError,
    Run,
)
from verbenamux_gateway.admission import AdmittedRequest
from verbenamux_gateway.delivery import Delivery
from verbenamux_gateway.gateway import Gateway
from verbenamux_gateway.request_parsing import CallerRequest

REQUESTS_METRIC = 'verbenamux_requests_total'
FIRST_TOKEN_METRIC = 'verbenamux_time_to_first_token_seconds'
PERMIT_MAX_AGE = timedelta(milliseconds=100)

PermissionCheck = Callable[[], RequestFailure | None]


def spend(gateway: Gateway, admitted: AdmittedRequest, tokens: int) -> None:
    """Spend a request's tokens; RequestRejectedError if there are too few."""
    if not admitted.workspace:
        return
    failure = gateway.gate.admit(admitted.workspace, tokens)
    if failure is not None:
        raise RequestRejectedError(failure)


def claim(
    gateway: Gateway,
    incoming: CallerRequest,
    admitted: AdmittedRequest,
) -> RequestFailure | None:
    """Claim a request's Idempotency-Key, if any; return why it failed."""
    idempotency_key = incoming.options.idempotency_key
    if not idempotency_key:
        return None
    return gateway.claims.claim(
        admitted.workspace,
        idempotency_key,
        admitted.work.request_id,
    )


def make_permission_check(
    gateway: Gateway,
    incoming: CallerRequest,
    admitted: AdmittedRequest,
) -> PermissionCheck:
    """Return the check that a running request must keep passing.

    A passed check is cached for PERMIT_MAX_AGE, so that a stream does
    not repeat it for each piece.
    """
    passed_at: timedelta | None = None

    def permit() -> RequestFailure | None:
        nonlocal passed_at
        now = gateway.clock.elapsed()
        if passed_at is not None and now - passed_at < PERMIT_MAX_AGE:
            return None
        failure = check()
        passed_at = gateway.clock.elapsed() if failure is None else None
        return failure

    def check() -> RequestFailure | None:
        if not gateway.wait_fresh(admitted.work.deadline):
            return RequestFailure(
                ErrorCode.STALE_CONFIGURATION,
                'this gateway has heard neither the log nor a peer lately',
            )
        if not admitted.workspace:
            return None
        identified = authenticate(gateway.configuration, incoming.key_hash)
        if is_successful(identified):
            return None
        return identified.failure()

    return permit


def accounted_pieces(
    gateway: Gateway,
    incoming: CallerRequest,
    admitted: AdmittedRequest,
    delivery: Delivery,
) -> Iterator[bytes]:
    """Yield the answer's pieces; settle tokens and claim at the end."""
    work = admitted.work
    arrived = gateway.clock.elapsed()
    first = True
    outcome = 'cancelled'
    try:
        with closing(delivery.pieces()) as pieces:
            for piece in pieces:
                if first:
                    first = False
                    elapsed = gateway.clock.elapsed() - arrived
                    gateway.metrics.observe(FIRST_TOKEN_METRIC, elapsed)
                yield piece
        outcome = 'whole'
    except RequestRejectedError as rejected:
        outcome = rejected.failure.code.value
        raise
    finally:
        _settle_request(gateway, incoming, admitted, delivery)
        gateway.metrics.count(REQUESTS_METRIC, outcome=outcome)
        gateway.log.write(
            'outcome',
            request_id=work.request_id,
            workspace=work.workspace,
            outcome=outcome,
            run=delivery.known_run.value,
            attempts=delivery.attempts,
            tokens=delivery.tokens,
        )


def _settle_request(
    gateway: Gateway,
    incoming: CallerRequest,
    admitted: AdmittedRequest,
    delivery: Delivery,
) -> None:
    reserved = admitted.work.need.tokens
    not_run = delivery.known_run is Run.NOT_RUN
    used = 0 if not_run else delivery.tokens or reserved
    if admitted.workspace:
        gateway.gate.record_usage(admitted.workspace, reserved, used)
    idempotency_key = incoming.options.idempotency_key
    if idempotency_key and not_run:
        gateway.claims.release(
            admitted.workspace,
            idempotency_key,
            admitted.work.request_id,
        )
