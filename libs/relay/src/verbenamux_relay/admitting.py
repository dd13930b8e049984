"""Admits a request: its route, its workspace and the workspace's limit."""

from datetime import timedelta
from random import Random

from verbenamux_http.parsing import Request
from verbenamux_http.server import Reply
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import (
    Catalog,
    Route,
    Workspace,
    pick_share,
)
from verbenamux_relay.job import Job
from verbenamux_relay.outcomes import (
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    UPDATE_RETRY_DELAY,
    ConfigurationState,
    RequestRefusedError,
)
from verbenamux_relay.terms import RequestTerms

UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
KEY_UNCONFIRMED = 'the key could not be confirmed lately'
# A configuration not confirmed for this long does not justify a 401 or 404.
CONFIRMATION_MAX_AGE = timedelta(milliseconds=2500)
# Retry-After base while the store may be unreachable.
STORE_RETRY_DELAY = timedelta(seconds=1)
# The answer is sent this long before the deadline, to arrive in time.
ANSWER_MARGIN = timedelta(milliseconds=15)


def admit(
    request: Request,
    reply: Reply,
    terms: RequestTerms,
    configuration: ConfigurationState,
    arrived_at: timedelta,
    random: Random,
) -> Job:
    """Return a job for an allowed request.

    Raises RequestRefusedError. Nothing is charged yet.
    """
    catalog = configuration.catalog
    if catalog is None:
        raise RequestRefusedError(
            UNAVAILABLE,
            'no configuration is known',
            UPDATE_RETRY_DELAY,
        )
    route = catalog.route_for(terms.host, request.target)
    if route is None:
        raise _unknown_refusal(NOT_FOUND, 'no such route', configuration)
    workspace = _workspace_of(route, terms, configuration, catalog)
    service = catalog.services_by_name.get(
        pick_share(route.shares, random.random()),
    )
    if service is None:
        raise RequestRefusedError(
            UNAVAILABLE,
            'the route has no service',
            UPDATE_RETRY_DELAY,
        )
    left = min(terms.time_left or route.timeout, route.timeout)
    return Job(
        request=request,
        reply=reply,
        terms=terms,
        catalog=catalog,
        route=route,
        service=service,
        workspace=workspace,
        arrived_at=arrived_at,
        # The caller has waited since the first byte.
        deadline=arrived_at - request.arriving + left - ANSWER_MARGIN,
        last_event_id=terms.last_event_id,
    )


def charge(job: Job, allowance: Allowance) -> None:
    """Charge a job to its workspace's limit; raises RequestRefusedError."""
    workspace = job.workspace
    if workspace is None or not workspace.per_second:
        return
    units = _cost(workspace, job.terms)
    wait = allowance.take(workspace, units)
    if wait is not None:
        raise RequestRefusedError(
            TOO_MANY_REQUESTS,
            'over the limit of the workspace',
            wait,
        )
    job.charged_units = units


def is_key_valid(job: Job, configuration: ConfigurationState) -> bool:
    """Return whether the key of an admitted job is still sure to be valid."""
    return job.workspace is None or (
        configuration.is_key_trusted and _is_key_known(job, configuration)
    )


def check_key(job: Job, configuration: ConfigurationState) -> None:
    """Refuse if the key may have been withdrawn while the job waited.

    Raises RequestRefusedError.
    """
    if is_key_valid(job, configuration):
        return
    if job.runs:
        raise RequestRefusedError(BAD_GATEWAY, KEY_UNCONFIRMED)
    if not _is_key_known(job, configuration):
        raise RequestRefusedError(UNAUTHORIZED, 'the key was withdrawn')
    raise RequestRefusedError(UNAVAILABLE, KEY_UNCONFIRMED, STORE_RETRY_DELAY)


def _is_key_known(job: Job, configuration: ConfigurationState) -> bool:
    catalog = configuration.catalog
    return catalog is not None and (
        (job.terms.key or '') in catalog.workspaces_by_key
    )


def _workspace_of(
    route: Route,
    terms: RequestTerms,
    configuration: ConfigurationState,
    catalog: Catalog,
) -> Workspace | None:
    if route.is_public or not catalog.has_workspaces:
        return None
    workspace = catalog.workspaces_by_key.get(terms.key or '')
    if workspace is None:
        raise _unknown_refusal(UNAUTHORIZED, 'unknown key', configuration)
    if not configuration.is_key_trusted:
        raise RequestRefusedError(
            UNAVAILABLE, KEY_UNCONFIRMED, STORE_RETRY_DELAY
        )
    return workspace


def _unknown_refusal(
    status: int,
    cause: str,
    configuration: ConfigurationState,
) -> RequestRefusedError:
    if configuration.confirmed_for < CONFIRMATION_MAX_AGE:
        return RequestRefusedError(status, cause)
    return RequestRefusedError(
        UNAVAILABLE,
        f'{cause}, and the configuration could not be confirmed lately',
        UPDATE_RETRY_DELAY,
    )


def _cost(workspace: Workspace, terms: RequestTerms) -> float:
    if not workspace.counts_tokens:
        return 1
    if not terms.has_token_counts:
        return workspace.plain_cost
    return terms.prompt_tokens + terms.output_tokens
