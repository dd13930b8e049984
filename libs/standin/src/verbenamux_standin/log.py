"""The stand-in of the platform's log: a subset of its protocol."""

import base64
import struct
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import (
    BAD_REQUEST,
    GONE,
    MILLISECONDS,
    NOT_FOUND,
    Reply,
    Request,
    json_reply,
)

LENGTH = struct.Struct('>I')
OFFSETS = struct.Struct('>QQ')
# Topics with this beginning keep the newest value of each key for good.
KEYED = 'keyed.'
PAGE_RECORDS = 500
READ_BYTES = 1_048_576


@dataclass(slots=True)
class Stream:
    """Kept records, the offset of the first and when each came."""

    first_offset: int = 0
    bodies: list[bytes] = field(default_factory=list)
    arrived: list[timedelta] = field(default_factory=list)
    grown: Event = field(default_factory=Event)
    newest_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """The offset the next record will get."""
        return self.first_offset + len(self.bodies)


def log_route(
    clock: Clock,
    retention: timedelta,
) -> Callable[[Request], Reply]:
    """Return the route of a log that keeps records for a time."""
    stream_by_name: dict[str, Stream] = defaultdict(Stream)

    def route(request: Request) -> Reply:
        topic = request.query_by_name.get('topic', '')
        answer = ANSWER_BY_CALL.get((request.method, request.path))
        if answer is None:
            return json_reply({}, NOT_FOUND)
        if not topic or request.integer('part'):
            return json_reply({'error': 'no such partition'}, BAD_REQUEST)
        stream = stream_by_name[topic]
        now = clock.elapsed()
        _expire(stream, now - retention)
        return answer(stream, request, now)

    return route


def cut_records(encoded: bytes) -> Iterator[bytes]:
    """Yield the records of a call; raises ValueError for a broken one."""
    start = 0
    while start < len(encoded):
        body_start = start + LENGTH.size
        if body_start > len(encoded):
            raise ValueError('a record has no length')
        start = body_start + LENGTH.unpack_from(encoded, start)[0]
        if start > len(encoded):
            raise ValueError('a record is cut short')
        yield encoded[body_start:start]


def _append(stream: Stream, request: Request, now: timedelta) -> Reply:
    try:
        bodies = list(cut_records(request.body))
    except ValueError as error:
        return json_reply({'error': str(error)}, BAD_REQUEST)
    offset = stream.end_offset
    stream.bodies.extend(bodies)
    stream.arrived.extend(now for _ in bodies)
    if request.query_by_name['topic'].startswith(KEYED):
        for number, body in enumerate(bodies):
            _keep_newest(stream, offset + number, body)
    stream.grown.set()
    stream.grown.clear()
    return json_reply({'offset': offset, 'end_offset': stream.end_offset})


def _keep_newest(stream: Stream, offset: int, body: bytes) -> None:
    key = body[1 : 1 + body[0]].decode()
    content = body[1 + body[0] :]
    if content:
        stream.newest_by_key[key] = (offset, content)
    else:
        stream.newest_by_key.pop(key, None)


def _read(stream: Stream, request: Request, _now: timedelta) -> Reply:
    start = request.integer('from')
    if start >= stream.end_offset:
        stream.grown.wait(request.integer('wait_ms') / MILLISECONDS)
        gevent.sleep(0)
    if start < stream.first_offset:
        return json_reply({'first_offset': stream.first_offset}, GONE)
    page = b''.join(_page(stream, start))
    head = OFFSETS.pack(stream.end_offset, stream.first_offset)
    return Reply(body=head + page)


def _page(stream: Stream, start: int) -> Iterator[bytes]:
    size = 0
    for body in stream.bodies[max(start - stream.first_offset, 0) :]:
        size += LENGTH.size + len(body)
        if size > READ_BYTES:
            return
        yield LENGTH.pack(len(body)) + body


def _newest(stream: Stream, request: Request, _now: timedelta) -> Reply:
    after = request.query_by_name.get('after', '')
    keys = sorted(key for key in stream.newest_by_key if key > after)
    page = keys[:PAGE_RECORDS]
    return json_reply(
        {
            'items': [_newest_item(stream, key) for key in page],
            'has_more': len(keys) > len(page),
            'end_offset': stream.end_offset,
        },
    )


def _newest_item(stream: Stream, key: str) -> dict[str, object]:
    offset, content = stream.newest_by_key[key]
    encoded = base64.b64encode(content).decode()
    return {'key': key, 'value': encoded, 'offset': offset}


def _trim(stream: Stream, request: Request, _now: timedelta) -> Reply:
    _cut(stream, request.integer('before'))
    return json_reply({'first_offset': stream.first_offset})


def _expire(stream: Stream, oldest: timedelta) -> None:
    count = sum(1 for arrived in stream.arrived if arrived < oldest)
    _cut(stream, stream.first_offset + count)


def _cut(stream: Stream, through: int) -> None:
    count = min(max(0, through - stream.first_offset), len(stream.bodies))
    if count:
        del stream.bodies[:count]
        del stream.arrived[:count]
        stream.first_offset += count


ANSWER_BY_CALL: dict[
    tuple[str, str],
    Callable[[Stream, Request, timedelta], Reply],
] = {
    ('POST', '/api/log-append'): _append,
    ('GET', '/api/log-read'): _read,
    ('GET', '/api/log-newest'): _newest,
    ('POST', '/api/log-trim'): _trim,
}
