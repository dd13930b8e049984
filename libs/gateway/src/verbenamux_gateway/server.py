"""The HTTP interface for callers, as a WSGI application."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result

from verbenamux_contracts.errors import (
    ErrorCode,
    RequestFailure,
    RequestRejectedError,
    Run,
)
from verbenamux_contracts.ids import RequestId, new_request_id
from verbenamux_gateway import accounting, answers, completions
from verbenamux_gateway.admission import (
    BODY_BY_PATH,
    AdmittedRequest,
    admit_completion,
    admit_service,
    identify,
    reachable_models,
)
from verbenamux_gateway.delivery import Delivery
from verbenamux_gateway.gateway import Gateway
from verbenamux_gateway.request_parsing import (
    CallerRequest,
    Environ,
    read_incoming,
)
from verbenamux_routing.views import TargetView
from verbenamux_runtime import metrics
from verbenamux_runtime.webserver import Application, StartResponse

SERVICES_PREFIX = '/services/'
SERVICE_UNAVAILABLE = 503
VERBOSE_QUERY = 'verbose'
DURATION_METRIC = 'verbenamux_request_seconds'

FORWARDED_HEADERS = frozenset(('content-type', 'cache-control', 'location'))


def make_application(gateway: Gateway) -> Application:
    """Return the application that answers callers."""

    def application(
        environ: Environ,
        start: StartResponse,
    ) -> Iterable[bytes]:
        received_at = gateway.clock.elapsed()
        gateway.in_flight += 1
        try:
            yield from _respond(gateway, environ, start)
        finally:
            gateway.in_flight -= 1
            duration = gateway.clock.elapsed() - received_at
            gateway.metrics.observe(DURATION_METRIC, duration)

    return application


def _respond(
    gateway: Gateway,
    environ: Environ,
    start: StartResponse,
) -> Iterator[bytes]:
    """Start the response and yield its body; closing it cancels the work."""
    request_id = new_request_id()
    answer = _answer(gateway, environ, request_id)
    yield from answers.send(
        answer,
        request_id,
        start,
        closing=gateway.leaving,
    )


def _answer(
    gateway: Gateway,
    environ: Environ,
    request_id: RequestId,
) -> answers.Answer:
    probe = _answer_probe(gateway, environ)
    if probe is not None:
        return probe
    try:
        return _answer_caller(gateway, environ, request_id)
    except RequestRejectedError as rejected:
        return _refuse(gateway, rejected.failure, request_id)
    except Exception as error:
        gateway.log.write(
            'internal_error',
            request_id=request_id,
            cause=repr(error),
        )
        failure = RequestFailure(
            ErrorCode.OUTCOME_UNKNOWN,
            'internal error',
            Run.UNKNOWN,
        )
        return _refuse(gateway, failure, request_id)


def _answer_probe(
    gateway: Gateway,
    environ: Environ,
) -> answers.Answer | None:
    path = environ['PATH_INFO']
    if path == '/healthz':
        return answers.json_answer(b'{"status":"ok"}')
    if path == '/readyz':
        status = answers.OK if gateway.ready else SERVICE_UNAVAILABLE
        report = _status(gateway)
        if environ.get('QUERY_STRING') == VERBOSE_QUERY:
            report |= _verbose_status(gateway)
        return answers.json_answer(msgspec.json.encode(report), status)
    if path == '/metrics':
        _update_gauges(gateway)
        body = gateway.metrics.render()
        return answers.text_answer(body, metrics.CONTENT_TYPE)
    return None


def _status(gateway: Gateway) -> dict[str, Any]:
    configuration = gateway.configuration
    return {
        'ready': gateway.ready,
        'name': gateway.settings.name,
        'version': configuration.version,
        'digest': configuration.digest,
        'fresh': gateway.is_fresh(),
    }


def _verbose_status(gateway: Gateway) -> dict[str, Any]:
    views = gateway.fleet.views.by_name
    return {
        'peers': [peer.name for peer in gateway.peers.alive()],
        'targets': {name: _target_status(view) for name, view in views.items()},
    }


def _target_status(view: TargetView) -> dict[str, Any]:
    return {
        'alive': view.is_alive,
        'leaving': view.is_leaving,
        'models': view.version_by_model,
        'breaker': view.breaker.state.value,
    }


def _update_gauges(gateway: Gateway) -> None:
    gateway.metrics.gauge(
        'verbenamux_configuration_version',
        gateway.configuration.version,
    )
    gateway.metrics.gauge('verbenamux_in_flight', gateway.in_flight)
    traffic = gateway.traffic()
    gateway.metrics.gauge(
        'verbenamux_peer_received_bytes', traffic.received_bytes
    )
    gateway.metrics.gauge('verbenamux_peer_sent_bytes', traffic.sent_bytes)
    gateway.metrics.gauge('verbenamux_fresh', int(gateway.is_fresh()))
    gateway.metrics.gauge(
        'verbenamux_targets_usable',
        sum(view.is_usable for view in gateway.fleet.views.by_name.values()),
    )


def _answer_caller(
    gateway: Gateway,
    environ: Environ,
    request_id: RequestId,
) -> answers.Answer:
    limits = gateway.settings.limits
    read = read_incoming(environ, limits.body, limits.body_time)
    if not is_successful(read):
        raise RequestRejectedError(read.failure())
    incoming = read.unwrap()
    wait_until = gateway.clock.elapsed() + gateway.settings.hello
    if not gateway.wait_fresh(wait_until):
        raise RequestRejectedError(
            RequestFailure(
                ErrorCode.STALE_CONFIGURATION,
                'this gateway has heard neither the log nor a peer lately',
            ),
        )
    if incoming.path == '/v1/models':
        return _answer_models(gateway, incoming)
    admitted = _admit(gateway, incoming, request_id)
    if not is_successful(admitted):
        raise RequestRejectedError(admitted.failure())
    return _deliver(gateway, incoming, admitted.unwrap())


def _answer_models(gateway: Gateway, incoming: CallerRequest) -> answers.Answer:
    identified = identify(gateway, incoming)
    if not is_successful(identified):
        raise RequestRejectedError(identified.failure())
    names = reachable_models(gateway, identified.unwrap())
    listed = [
        {'id': name, 'object': 'model', 'owned_by': 'verbenamux'}
        for name in names
    ]
    return answers.json_answer(
        msgspec.json.encode({'object': 'list', 'data': listed}),
    )


def _admit(
    gateway: Gateway,
    incoming: CallerRequest,
    request_id: RequestId,
) -> Result[AdmittedRequest, RequestFailure]:
    if incoming.path in BODY_BY_PATH:
        return admit_completion(gateway, incoming, request_id)
    if incoming.path.startswith(SERVICES_PREFIX):
        service_path = incoming.path.removeprefix(SERVICES_PREFIX)
        name, _, path = service_path.partition('/')
        return admit_service(
            gateway,
            incoming,
            request_id,
            name,
            f'/{path}',
        )
    return Failure(
        RequestFailure(ErrorCode.ROUTE_NOT_FOUND, 'no such route'),
    )


def _deliver(
    gateway: Gateway,
    incoming: CallerRequest,
    admitted: AdmittedRequest,
) -> answers.Answer:
    reserved = admitted.work.need.tokens
    accounting.spend(gateway, admitted, reserved)
    failure = accounting.claim(gateway, incoming, admitted)
    if failure is not None:
        gateway.gate.record_usage(admitted.workspace, reserved, 0)
        raise RequestRejectedError(failure)
    gateway.delivery_context.budget.earn()
    gateway.planner.count_demand(admitted.work.need.model, reserved)
    delivery = Delivery(
        admitted.work,
        gateway.delivery_context,
        accounting.make_permission_check(gateway, incoming, admitted),
    )
    pieces = accounting.accounted_pieces(gateway, incoming, admitted, delivery)
    if admitted.work.need.service:
        return _answer_service(delivery, pieces)
    if admitted.stream:
        return _answer_stream(gateway, admitted, pieces)
    return _answer_complete(gateway, admitted, pieces)


def _answer_complete(
    gateway: Gateway,
    admitted: AdmittedRequest,
    pieces: Iterator[bytes],
) -> answers.Answer:
    body = completions.assemble(
        pieces,
        admitted.work.request_id,
        admitted.model,
        gateway.clock.now(),
        chat=admitted.chat,
    )
    return answers.json_answer(body)


def _answer_stream(
    gateway: Gateway,
    admitted: AdmittedRequest,
    pieces: Iterator[bytes],
) -> answers.Answer:
    request_id = admitted.work.request_id
    first = next(pieces)

    def encode_error(error: Exception) -> bytes:
        failure = _as_failure(error)
        return answers.encode_failure(failure, request_id)

    return answers.Answer(
        answers.OK,
        [
            ('Content-Type', answers.STREAM_TYPE),
            ('Cache-Control', 'no-cache'),
        ],
        answers.stream_frames(first, pieces, encode_error),
    )


def _as_failure(error: Exception) -> RequestFailure:
    if isinstance(error, RequestRejectedError):
        return error.failure
    return RequestFailure(
        ErrorCode.OUTCOME_UNKNOWN,
        'internal error',
        Run.UNKNOWN,
    )


def _answer_service(
    delivery: Delivery,
    pieces: Iterator[bytes],
) -> answers.Answer:
    body = b''.join(pieces)
    started = delivery.started
    if started is None:
        raise RequestRejectedError(
            RequestFailure(
                ErrorCode.ANSWER_INCOMPLETE,
                'the service answered nothing',
                Run.RAN,
            ),
        )
    headers = [
        (name.title(), text)
        for name, text in started.headers
        if name in FORWARDED_HEADERS
    ]
    headers.append(('Content-Length', str(len(body))))
    return answers.Answer(started.status, headers, [body])


def _refuse(
    gateway: Gateway,
    failure: RequestFailure,
    request_id: RequestId,
) -> answers.Answer:
    gateway.metrics.count(
        'verbenamux_refusals_total',
        code=failure.code.value,
        run=failure.run.value,
    )
    gateway.log.write(
        'refused',
        request_id=request_id,
        code=failure.code.value,
        run=failure.run.value,
        cause=failure.message,
    )
    return answers.failure_answer(failure, request_id)
