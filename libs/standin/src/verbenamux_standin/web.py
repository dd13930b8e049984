"""The HTTP interface shared by all stand-ins, with fault injection."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec

from verbenamux_runtime.webserver import (
    Application,
    Environ,
    StartResponse,
    reason_phrase,
)

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
UNAVAILABLE = 503
MILLISECONDS_PER_SECOND = 1000
FAULTS_PATH = '/faults'


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of a stand-in.

    `lose_answers` and `refuse` count down by one per request;
    `cross_answers` counts streams whose events carry another attempt's id;
    `slow_ms` is added to the time of each token. Requests whose Host header
    is one of `refused_hosts` get 503, so that single clients can be refused.
    `act_late` counts down requests that get no response and are executed
    `late_ms` later.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    refuse: int = 0
    cross_answers: int = 0
    cut_after_chunks: int = 0
    lose_orders: int = 0
    drop_cache_events: int = 0
    slow_ms: int = 0
    refused_hosts: tuple[str, ...] = ()
    act_late: int = 0
    late_ms: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """One request to a stand-in."""

    method: str
    path: str
    query_by_name: dict[str, str]
    header_by_name: dict[str, str]
    body: bytes

    def integer(self, name: str, default: int = 0) -> int:
        """Return a query parameter as a number."""
        return int(self.query_by_name.get(name, default))


@dataclass(frozen=True, slots=True)
class Reply:
    """One response of a stand-in."""

    status: int = OK
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = field(default=())
    pieces: Iterable[bytes] | None = None


Route = Callable[[Request], Reply]


class AnswerLostError(Exception):
    """Makes the server close the connection without a response."""


def json_reply(body: Any, status: int = OK) -> Reply:
    """Return a response with a JSON body."""
    return Reply(
        status,
        msgspec.json.encode(body),
        (('Content-Type', 'application/json'),),
    )


def make_application(route: Route, faults: Faults) -> Application:
    """Return a WSGI application around a route and its fault switches."""

    def application(
        environ: Environ,
        start: StartResponse,
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        if request.path == FAULTS_PATH:
            reply = _handle_faults(faults, request)
        else:
            reply = _apply_faults(route, faults, request)
        start(reason_phrase(reply.status), list(reply.headers))
        if reply.pieces is None:
            return [reply.body]
        return _as_generator(reply.pieces)

    return application


def _apply_faults(route: Route, faults: Faults, request: Request) -> Reply:
    if faults.down:
        raise AnswerLostError
    if request.header_by_name.get('host') in faults.refused_hosts:
        return Reply(UNAVAILABLE)
    if faults.act_late:
        _execute_late(route, faults, request)
    if faults.delay_ms:
        gevent.sleep(faults.delay_ms / MILLISECONDS_PER_SECOND)
    if faults.refuse:
        faults.refuse -= 1
        raise AnswerLostError
    reply = route(request)
    if faults.lose_answers:
        faults.lose_answers -= 1
        raise AnswerLostError
    return reply


def _execute_late(route: Route, faults: Faults, request: Request) -> None:
    faults.act_late -= 1
    gevent.spawn_later(faults.late_ms / MILLISECONDS_PER_SECOND, route, request)
    raise AnswerLostError


def _as_generator(pieces: Iterable[bytes]) -> Iterator[bytes]:
    yield from pieces


def _handle_faults(faults: Faults, request: Request) -> Reply:
    if request.method == 'GET':
        return json_reply(faults)
    try:
        new_faults = msgspec.json.decode(request.body, type=Faults)
    except msgspec.MsgspecError as error:
        return json_reply({'message': str(error)}, BAD_REQUEST)
    for name in Faults.__struct_fields__:
        setattr(faults, name, getattr(new_faults, name))
    return json_reply(faults)


def _read_request(environ: Environ) -> Request:
    headers = {
        name[len('HTTP_') :].replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    query = parse_qs(environ.get('QUERY_STRING', ''))
    return Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        {name: texts[0] for name, texts in query.items()},
        headers,
        environ['wsgi.input'].read(),
    )
