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
from verbenamux_relay.settling import (
    NEWS_TIME,
    TOO_MANY,
    UNAVAILABLE,
    Knowledge,
    RequestRefusedError,
)
from verbenamux_relay.terms import RequestTerms

UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
KEY_UNSURE = 'the key could not be confirmed lately'
# A configuration not confirmed for this long does not justify a 401 or 404.
CONFIRMED_LATELY = timedelta(milliseconds=2500)
# Retry-After base while the store may be unreachable.
REACH_TIME = timedelta(seconds=1)
# The answer is sent this long before the deadline, to arrive in time.
ANSWER_TIME = timedelta(milliseconds=15)


def admit(
    request: Request,
    reply: Reply,
    terms: RequestTerms,
    known: Knowledge,
    arrived_at: timedelta,
    random: Random,
) -> Job:
    """Return a job for an allowed request.

    Raises RequestRefusedError. Nothing is charged yet.
    """
    catalog = known.catalog
    if catalog is None:
        raise RequestRefusedError(
            UNAVAILABLE,
            'no configuration is known',
            NEWS_TIME,
        )
    route = catalog.route_for(terms.host, request.target)
    if route is None:
        raise _unknown(NOT_FOUND, 'no such route', known)
    workspace = _workspace_of(route, terms, known, catalog)
    service = catalog.services_by_name.get(
        pick_share(route.shares, random.random()),
    )
    if service is None:
        raise RequestRefusedError(
            UNAVAILABLE,
            'the route has no service',
            NEWS_TIME,
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
        deadline=arrived_at + left - ANSWER_TIME,
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
            TOO_MANY,
            'over the limit of the workspace',
            wait,
        )
    job.charged = units


def check_key(job: Job, known: Knowledge) -> None:
    """Refuse if the key may have been withdrawn while the job waited.

    Raises RequestRefusedError.
    """
    if job.workspace is None:
        return
    catalog = known.catalog
    is_known = catalog is not None and (
        (job.terms.key or '') in catalog.workspaces_by_key
    )
    if known.is_key_trusted and is_known:
        return
    if job.runs:
        raise RequestRefusedError(BAD_GATEWAY, KEY_UNSURE)
    if not is_known:
        raise RequestRefusedError(UNAUTHORIZED, 'the key was withdrawn')
    raise RequestRefusedError(UNAVAILABLE, KEY_UNSURE, REACH_TIME)


def _workspace_of(
    route: Route,
    terms: RequestTerms,
    known: Knowledge,
    catalog: Catalog,
) -> Workspace | None:
    if route.is_public or not catalog.has_workspaces:
        return None
    workspace = catalog.workspaces_by_key.get(terms.key or '')
    if workspace is None:
        raise _unknown(UNAUTHORIZED, 'unknown key', known)
    if not known.is_key_trusted:
        raise RequestRefusedError(UNAVAILABLE, KEY_UNSURE, REACH_TIME)
    return workspace


def _unknown(
    status: int,
    cause: str,
    known: Knowledge,
) -> RequestRefusedError:
    if known.confirmed_for < CONFIRMED_LATELY:
        return RequestRefusedError(status, cause)
    return RequestRefusedError(
        UNAVAILABLE,
        f'{cause}, and the configuration could not be confirmed lately',
        NEWS_TIME,
    )


def _cost(workspace: Workspace, terms: RequestTerms) -> float:
    if not workspace.counts_tokens:
        return 1
    if not terms.names_tokens:
        return workspace.plain_cost
    return terms.prompt_tokens + terms.output_tokens
