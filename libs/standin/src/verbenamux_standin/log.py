"""The stand-in of the platform's append-only log."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import (
    ACCEPTED,
    GONE,
    MILLISECONDS,
    NOT_FOUND,
    Reply,
    Request,
    json_reply,
)

STREAM_PARTS = 4
DEFAULT_LIMIT = 500


@dataclass(slots=True)
class Stream:
    """Kept records, the offset of the first and when each came."""

    first_offset: int = 0
    bodies: list[str] = field(default_factory=list)
    arrived: list[timedelta] = field(default_factory=list)
    grown: Event = field(default_factory=Event)

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
        parts = request.path.split('/')
        if len(parts) != STREAM_PARTS or parts[1] != 'streams':
            return json_reply({}, NOT_FOUND)
        stream = stream_by_name[parts[2]]
        _expire(stream, clock.elapsed() - retention)
        if parts[3] == 'expire':
            _cut(stream, request.integer('through'))
            return json_reply({}, ACCEPTED)
        if request.method == 'POST':
            return _append(stream, request, clock.elapsed())
        return _read(stream, request)

    return route


def _append(stream: Stream, request: Request, now: timedelta) -> Reply:
    stream.bodies.append(request.body.decode())
    stream.arrived.append(now)
    stream.grown.set()
    stream.grown.clear()
    return json_reply({'offset': stream.end_offset - 1})


def _read(stream: Stream, request: Request) -> Reply:
    start = request.integer('from')
    if start >= stream.end_offset:
        stream.grown.wait(request.integer('wait_ms') / MILLISECONDS)
        gevent.sleep(0)
    if start < stream.first_offset:
        return json_reply(_page(stream, stream.first_offset, 0), GONE)
    limit = request.integer('limit', DEFAULT_LIMIT)
    return json_reply(_page(stream, start, limit))


def _page(stream: Stream, start: int, limit: int) -> dict[str, object]:
    begin = start - stream.first_offset
    records = stream.bodies[begin : begin + limit]
    return {
        'first_offset': start,
        'next_offset': start + len(records),
        'records': records,
    }


def _expire(stream: Stream, oldest: timedelta) -> None:
    count = sum(1 for arrived in stream.arrived if arrived < oldest)
    _cut(stream, stream.first_offset + count)


def _cut(stream: Stream, through: int) -> None:
    count = min(max(0, through - stream.first_offset), len(stream.bodies))
    if count:
        del stream.bodies[:count]
        del stream.arrived[:count]
        stream.first_offset += count
