"""Admission: the checks that turn a caller's request into work."""

from dataclasses import dataclass
from datetime import timedelta

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenamux_config.access import (
    authenticate,
    is_public,
    may_reach_model,
)
from verbenamux_config.entities import Service, Workspace
from verbenamux_contracts.errors import ErrorCode, RequestFailure
from verbenamux_contracts.ids import RequestId
from verbenamux_gateway.completions import (
    ChatBody,
    CompletionBody,
    TextBody,
    measure_prompt,
    output_tokens,
    rewrite_body,
)
from verbenamux_gateway.delivery_context import Work
from verbenamux_gateway.gateway import Gateway
from verbenamux_gateway.request_parsing import CallerRequest, decode_json
from verbenamux_routing.score import RequestNeeds

CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
BODY_BY_PATH: dict[str, type[ChatBody | TextBody]] = {
    CHAT_PATH: ChatBody,
    TEXT_PATH: TextBody,
}
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
SERVICE_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
    )
)
FORBIDDEN_PATH_PARTS = ('..', '//', '\\', '\0')


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Work admitted for a workspace; the name is empty on a public route."""

    workspace: str
    work: Work
    stream: bool = False
    chat: bool = False
    model: str = ''


def identify(
    gateway: Gateway,
    incoming: CallerRequest,
) -> Result[Workspace, RequestFailure]:
    """Return the workspace of the request's key."""
    if not incoming.key:
        return _failure(ErrorCode.MISSING_KEY, 'a Bearer key is required')
    return authenticate(gateway.configuration, incoming.key_hash)


def admit_completion(
    gateway: Gateway,
    incoming: CallerRequest,
    request_id: RequestId,
) -> Result[AdmittedRequest, RequestFailure]:
    """Check a completion request and turn it into work."""
    if incoming.method != 'POST':
        return _failure(ErrorCode.METHOD_NOT_ALLOWED, 'expected POST')
    identified = identify(gateway, incoming)
    if not is_successful(identified):
        return Failure(identified.failure())
    decoded = decode_json(incoming.body, BODY_BY_PATH[incoming.path])
    if not is_successful(decoded):
        return Failure(decoded.failure())
    workspace = identified.unwrap()
    body: CompletionBody = decoded.unwrap()
    if not may_reach_model(gateway.configuration, workspace, body.model):
        return _failure(ErrorCode.MODEL_NOT_FOUND, f'no model {body.model!r}')
    work = _completion_work(gateway, incoming, request_id, workspace, body)
    return Success(
        AdmittedRequest(
            workspace.name,
            work,
            body.stream,
            incoming.path == CHAT_PATH,
            body.model,
        ),
    )


def admit_service(
    gateway: Gateway,
    incoming: CallerRequest,
    request_id: RequestId,
    name: str,
    path: str,
) -> Result[AdmittedRequest, RequestFailure]:
    """Check a call of a plain service and turn it into work."""
    if incoming.method not in SERVICE_METHODS:
        return _failure(ErrorCode.METHOD_NOT_ALLOWED, 'method not allowed')
    if any(part in path for part in FORBIDDEN_PATH_PARTS):
        return _failure(ErrorCode.INVALID_FIELD, 'the path is not plain')
    service = gateway.configuration.services_by_name.get(name)
    public = is_public(gateway.configuration, name, path)
    if service is not None and public and not incoming.key:
        work = _service_work(gateway, incoming, request_id, service, path)
        return Success(AdmittedRequest('', work))
    identified = identify(gateway, incoming)
    if not is_successful(identified):
        return Failure(identified.failure())
    workspace = identified.unwrap()
    if service is None or not (public or name in workspace.services):
        return _failure(ErrorCode.SERVICE_NOT_FOUND, f'no service {name!r}')
    work = _service_work(
        gateway,
        incoming,
        request_id,
        service,
        path,
        workspace,
    )
    return Success(AdmittedRequest(workspace.name, work))


def reachable_models(gateway: Gateway, workspace: Workspace) -> list[str]:
    """Return the models and adapters that a workspace may reach."""
    return sorted({*workspace.models, *workspace.adapters})


def _completion_work(
    gateway: Gateway,
    incoming: CallerRequest,
    request_id: RequestId,
    workspace: Workspace,
    body: CompletionBody,
) -> Work:
    adapter = gateway.configuration.adapters_by_name.get(body.model)
    model = body.model if adapter is None else adapter.model
    adapter_name = '' if adapter is None else adapter.name
    tokens = output_tokens(body, gateway.settings.limits.output_tokens)
    prompt = measure_prompt(body.text)
    idempotent = incoming.options.idempotent
    return Work(
        request_id=request_id,
        workspace=workspace.name,
        weight=workspace.rate_tokens_per_second,
        need=RequestNeeds(
            model=model,
            adapter=adapter_name,
            adapter_mb=0 if adapter is None else adapter.memory_mb,
            prompt_tokens=prompt.tokens,
            output_tokens=tokens,
            prefix_blocks=prompt.blocks,
        ),
        path=incoming.path,
        method='POST',
        headers=(),
        body=rewrite_body(incoming.body, model, adapter_name, tokens),
        idempotent=True if idempotent is None else idempotent,
        priority=incoming.options.priority,
        deadline=_deadline(gateway, incoming),
    )


def _service_work(
    gateway: Gateway,
    incoming: CallerRequest,
    request_id: RequestId,
    service: Service,
    path: str,
    workspace: Workspace | None = None,
) -> Work:
    idempotent = incoming.options.idempotent
    if idempotent is None:
        is_safe = incoming.method in SAFE_METHODS
        idempotent = service.idempotent or is_safe
    query = f'?{incoming.query}' if incoming.query else ''
    return Work(
        request_id=request_id,
        workspace='' if workspace is None else workspace.name,
        weight=(1 if workspace is None else workspace.rate_tokens_per_second),
        need=RequestNeeds(
            service=service.name,
            prompt_tokens=0,
            output_tokens=service.tokens_per_call,
        ),
        path=path + query,
        method=incoming.method,
        headers=incoming.headers,
        body=incoming.body,
        idempotent=idempotent,
        priority=incoming.options.priority,
        deadline=_deadline(gateway, incoming),
        resumable=False,
    )


def _deadline(gateway: Gateway, incoming: CallerRequest) -> timedelta:
    limit = gateway.settings.limits.deadline
    requested = incoming.options.deadline or limit
    return gateway.clock.elapsed() + min(requested, limit)


def _failure(code: ErrorCode, message: str) -> Failure[RequestFailure]:
    return Failure(RequestFailure(code, message))
