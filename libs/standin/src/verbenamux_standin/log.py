"""The stand-in of the platform's log: a subset of its protocol."""

import base64
import struct
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import (
    BAD_REQUEST,
    GONE,
    MILLISECONDS_PER_SECOND,
    NOT_FOUND,
    AnswerLostError,
    Reply,
    Request,
    json_reply,
)

RECORD_LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
# Topics with this prefix keep the newest value of each key forever.
KEYED_TOPIC_PREFIX = 'keyed.'
MAX_PAGE_RECORDS = 500
MAX_READ_BYTES = 1_048_576


@dataclass(slots=True)
class Stream:
    """Retained records, their arrival times and the first offset."""

    first_offset: int = 0
    bodies: list[bytes] = field(default_factory=list)
    arrival_times: list[timedelta] = field(default_factory=list)
    changed: Event = field(default_factory=Event)
    newest_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """The offset of the next record to be appended."""
        return self.first_offset + len(self.bodies)


@dataclass(slots=True)
class Contents:
    """All streams of a log; `era` is how often it went back."""

    stream_by_name: defaultdict[str, Stream] = field(
        default_factory=lambda: defaultdict(Stream)
    )
    era: int = 0

    def copy(self) -> 'Contents':
        """Return a copy to go back to."""
        copied = Contents(era=self.era)
        for name, stream in self.stream_by_name.items():
            copied.stream_by_name[name] = Stream(
                stream.first_offset,
                list(stream.bodies),
                list(stream.arrival_times),
                newest_by_key=dict(stream.newest_by_key),
            )
        return copied

    def go_back(self, earlier: 'Contents') -> None:
        """Lose all that was appended since a copy."""
        current = tuple(self.stream_by_name.values())
        self.stream_by_name = earlier.copy().stream_by_name
        self.era += 1
        for stream in current:
            stream.changed.set()


def log_route(
    clock: Clock,
    retention: timedelta,
    contents: Contents | None = None,
) -> Callable[[Request], Reply]:
    """Return the route of a log that keeps records for `retention`."""
    kept = contents or Contents()

    def route(request: Request) -> Reply:
        topic = request.query_by_name.get('topic', '')
        handler = HANDLER_BY_CALL.get((request.method, request.path))
        if handler is None:
            return json_reply({}, NOT_FOUND)
        if not topic or request.integer('part'):
            return json_reply({'error': 'no such partition'}, BAD_REQUEST)
        stream = kept.stream_by_name[topic]
        now = clock.elapsed()
        _expire(stream, now - retention)
        era = kept.era
        reply = handler(stream, request, now)
        if kept.era != era:
            raise AnswerLostError
        return replace(reply, headers=(*reply.headers, ('Store-Era', str(era))))

    return route


def split_records(encoded: bytes) -> Iterator[bytes]:
    """Yield the records of an append; raise ValueError for a malformed one."""
    start = 0
    while start < len(encoded):
        body_start = start + RECORD_LENGTH.size
        if body_start > len(encoded):
            raise ValueError('a record has no length')
        start = body_start + RECORD_LENGTH.unpack_from(encoded, start)[0]
        if start > len(encoded):
            raise ValueError('a record is cut short')
        yield encoded[body_start:start]


def _append(stream: Stream, request: Request, now: timedelta) -> Reply:
    try:
        bodies = list(split_records(request.body))
    except ValueError as error:
        return json_reply({'error': str(error)}, BAD_REQUEST)
    offset = stream.end_offset
    stream.bodies.extend(bodies)
    stream.arrival_times.extend(now for _ in bodies)
    if request.query_by_name['topic'].startswith(KEYED_TOPIC_PREFIX):
        for number, body in enumerate(bodies):
            _store_newest(stream, offset + number, body)
    stream.changed.set()
    stream.changed.clear()
    return json_reply({'offset': offset, 'end_offset': stream.end_offset})


def _store_newest(stream: Stream, offset: int, body: bytes) -> None:
    key = body[1 : 1 + body[0]].decode()
    content = body[1 + body[0] :]
    if content:
        stream.newest_by_key[key] = (offset, content)
    else:
        stream.newest_by_key.pop(key, None)


def _read(stream: Stream, request: Request, _now: timedelta) -> Reply:
    start = request.integer('from')
    if start == stream.end_offset:
        stream.changed.wait(
            request.integer('wait_ms') / MILLISECONDS_PER_SECOND
        )
        gevent.sleep(0)
    if not stream.first_offset <= start <= stream.end_offset:
        return json_reply({'first_offset': stream.first_offset}, GONE)
    page = b''.join(_page(stream, start))
    head = READ_HEADER.pack(stream.end_offset, stream.first_offset)
    return Reply(body=head + page)


def _page(stream: Stream, start: int) -> Iterator[bytes]:
    size = 0
    for body in stream.bodies[max(start - stream.first_offset, 0) :]:
        size += RECORD_LENGTH.size + len(body)
        if size > MAX_READ_BYTES:
            return
        yield RECORD_LENGTH.pack(len(body)) + body


def _newest(stream: Stream, request: Request, _now: timedelta) -> Reply:
    after = request.query_by_name.get('after', '')
    keys = sorted(key for key in stream.newest_by_key if key > after)
    page = keys[:MAX_PAGE_RECORDS]
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
    _remove_before(stream, request.integer('before'))
    return json_reply({'first_offset': stream.first_offset})


def _expire(stream: Stream, oldest: timedelta) -> None:
    count = sum(1 for arrived_at in stream.arrival_times if arrived_at < oldest)
    _remove_before(stream, stream.first_offset + count)


def _remove_before(stream: Stream, end: int) -> None:
    count = min(max(0, end - stream.first_offset), len(stream.bodies))
    if count:
        del stream.bodies[:count]
        del stream.arrival_times[:count]
        stream.first_offset += count


HANDLER_BY_CALL: dict[
    tuple[str, str],
    Callable[[Stream, Request, timedelta], Reply],
] = {
    ('POST', '/api/log-append'): _append,
    ('GET', '/api/log-read'): _read,
    ('GET', '/api/log-newest'): _newest,
    ('POST', '/api/log-trim'): _trim,
}
