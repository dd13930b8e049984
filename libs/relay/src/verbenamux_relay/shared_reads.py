"""Reads the store once for all gateways of a data centre.

Load pattern: many gateways follow the same topics, and each call to the store
is costly. The first responsive gateway of a data centre, the leader, reads; the
others send it requests and get the result of its next read. If that read began
after the request arrived, the requester was up to date when it sent the
request, however long either gateway was paused. If the request arrived after
the read in progress began, the answer contains this lateness and the requester
subtracts it: on a busy host every request may be late. Without an answer a
gateway reads the store itself.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from returns.result import Result, Success

from verbenamux_contracts.clock import (
    Clock,
    milliseconds,
    to_milliseconds_up,
)
from verbenamux_contracts.ids import new_request_id
from verbenamux_contracts.log import LogFailure, RecordBatch
from verbenamux_contracts.messages import ReadAsk, ReadReply
from verbenamux_runtime.peers import PeerLink

# How long the leader may take beyond the wait of a read and the pause between
# two reads; a slow store takes 250 ms.
MAX_ANSWER_LATENESS = timedelta(milliseconds=400)
# A leader that gave no answer is not asked again for this long.
LEADER_COOLDOWN = timedelta(seconds=4)
# Records kept of each topic for gateways that lag, and their total bytes.
MAX_KEPT_RECORDS = 400
MAX_KEPT_BYTES = 500_000
# Pending requests of one topic; further ones get no answer.
MAX_PENDING_REQUESTS = 1000

ReadTopic = Callable[
    [str, int, timedelta, timedelta | None],
    Result[RecordBatch, LogFailure],
]
ReadShared = Callable[[str, int, 'ReadTimeouts'], Result['Reading', LogFailure]]
Answer = Callable[[bytes, ReadReply], object]


@dataclass(frozen=True, slots=True)
class Reading:
    """The result of a read, and when it is known to have been the newest.

    `known_at` is None if that is not known. `reader` made the read.
    """

    batch: RecordBatch
    known_at: timedelta | None
    reader: str = 'self'


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """Timeouts of a read: how long it waits, and pauses before it.

    During the pause changes accumulate, and other gateways request the read.
    The leader may take `lateness` beyond both, the store `call_timeout` beyond
    the wait; None leaves that to the client.
    """

    wait: timedelta
    pause: timedelta = timedelta()
    lateness: timedelta = MAX_ANSWER_LATENESS
    call_timeout: timedelta | None = None

    def without_wait(self) -> 'ReadTimeouts':
        """Return the same without any wait: read directly and at once."""
        return replace(self, wait=timedelta(), pause=timedelta())

    @property
    def is_without_wait(self) -> bool:
        """Return whether there is no time to ask another gateway."""
        return not self.wait and not self.pause


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    received_at: timedelta
    sender: bytes
    request: ReadAsk


@dataclass(slots=True)
class _Topic:
    """The newest records of a topic, and the pending requests for it."""

    era: int = 0
    first_offset: int = 0
    records: deque[bytes] = field(default_factory=deque)
    size: int = 0
    pending_requests: list[_PendingRequest] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def keep(self, batch: RecordBatch) -> None:
        """Add a batch; one that is not contiguous replaces the kept records."""
        is_next = batch.first_offset == self.next_offset
        if not is_next or batch.era != self.era:
            self.era = batch.era
            self.first_offset = batch.first_offset
            self.records.clear()
            self.size = 0
        for record in batch.bodies:
            self.records.append(record)
            self.size += len(record)
        while self.records and (
            len(self.records) > MAX_KEPT_RECORDS or self.size > MAX_KEPT_BYTES
        ):
            self.size -= len(self.records.popleft())
            self.first_offset += 1

    def answer(self, request: ReadAsk, late: timedelta | None) -> ReadReply:
        """Return the records from an offset on, or that they are not kept.

        `late` is how long after the start of the read the request arrived, None
        if that is not known.
        """
        start = request.from_offset - self.first_offset
        if not 0 <= start <= len(self.records):
            return ReadReply(request.ask_id, found=False)
        return ReadReply(
            request.ask_id,
            found=True,
            fresh=late is not None and not late,
            records=tuple(self.records)[start:],
            late_ms=None if late is None else to_milliseconds_up(late),
            era=self.era,
        )


class SharedReads:
    """Reads the store directly or through the leader."""

    def __init__(
        self,
        read_store: ReadTopic,
        leader: Callable[[], PeerLink | None],
        answer: Answer,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[..., None],
    ) -> None:
        """Read nothing yet; `leader` returns the link to the leader, if any."""
        self._read_directly = read_directly(read_store, clock)
        self._leader = leader
        self._answer = answer
        self._clock = clock
        self._log = log
        self._count = count
        self._topics: defaultdict[str, _Topic] = defaultdict(_Topic)
        self._leader_cooldown_until = timedelta()

    def read(
        self,
        topic: str,
        from_offset: int,
        timeouts: ReadTimeouts,
    ) -> Result[Reading, LogFailure]:
        """Read records from an offset on, waiting for the first as given."""
        link = None if timeouts.is_without_wait else self._leader()
        if (
            link is not None
            and self._clock.elapsed() >= self._leader_cooldown_until
        ):
            leader_reading = self._read_from_leader(
                link, topic, from_offset, timeouts
            )
            if leader_reading is not None:
                self._count('reads_total', topic=topic, by='peer')
                self._answer_pending(topic, Success(leader_reading), timeouts)
                return Success(leader_reading)
            # The time to wait for changes is used up.
            timeouts = timeouts.without_wait()
        self._count('reads_total', topic=topic, by='store')
        result = self._read_directly(topic, from_offset, timeouts)
        self._answer_pending(topic, result, timeouts)
        return result

    def handle_request(self, sender: bytes, request: ReadAsk) -> None:
        """Queue another gateway's request until the next read."""
        pending_requests = self._topics[request.topic].pending_requests
        if len(pending_requests) < MAX_PENDING_REQUESTS:
            pending_requests.append(
                _PendingRequest(self._clock.elapsed(), sender, request)
            )

    def _is_stale(self, reading: Reading, timeouts: ReadTimeouts) -> bool:
        max_age = timeouts.wait + timeouts.lateness
        known_at = reading.known_at
        return known_at is not None and (
            self._clock.elapsed() - known_at > max_age
        )

    def _read_from_leader(
        self,
        link: PeerLink,
        topic: str,
        from_offset: int,
        timeouts: ReadTimeouts,
    ) -> Reading | None:
        ask_id = new_request_id()
        asked_at = self._clock.elapsed()
        reply = link.ask(
            ask_id,
            ReadAsk(ask_id, topic, from_offset),
            timeouts.wait + timeouts.pause + timeouts.lateness,
        )
        if not isinstance(reply, ReadReply):
            self._leader_cooldown_until = (
                self._clock.elapsed() + LEADER_COOLDOWN
            )
            self._log(
                'shared_read_unanswered',
                topic=topic,
                lead=link.address,
                outcome='the store is read directly',
            )
            return None
        if not reply.found:
            return None
        next_offset = from_offset + len(reply.records)
        return Reading(
            RecordBatch(
                from_offset, next_offset, reply.records, next_offset, reply.era
            ),
            _known_at(asked_at, reply),
            link.address,
        )

    def _answer_pending(
        self,
        name: str,
        result: Result[Reading, LogFailure],
        timeouts: ReadTimeouts,
    ) -> None:
        """Answer all pending requests, with how current the read is.

        A gateway that was paused after its read can not guarantee that it is
        current: the store may have taken more records meanwhile.
        """
        topic = self._topics[name]
        pending_requests = topic.pending_requests
        topic.pending_requests = []
        reading = result.value_or(None)
        if reading is not None:
            topic.keep(reading.batch)
            if self._is_stale(reading, timeouts):
                reading = None
        for pending in pending_requests:
            self._answer(pending.sender, _reply(topic, pending, reading))


def _reply(
    topic: _Topic,
    pending: _PendingRequest,
    reading: Reading | None,
) -> ReadReply:
    if reading is None:
        return ReadReply(pending.request.ask_id, found=False)
    late = (
        None
        if reading.known_at is None
        else max(pending.received_at - reading.known_at, timedelta())
    )
    return topic.answer(pending.request, late)


def _known_at(asked_at: timedelta, reply: ReadReply) -> timedelta | None:
    """Return when the records of a reply were the newest, if they were.

    The request arrived no earlier than it was sent, so the read in progress
    began no earlier than that minus the lateness, by either clock.
    """
    if reply.fresh:
        return asked_at
    if reply.late_ms is None:
        return None
    return asked_at - milliseconds(reply.late_ms)


def read_directly(read_store: ReadTopic, clock: Clock) -> ReadShared:
    """Return a function that reads the store without sharing.

    A batch that ends before the newest record was never the newest.
    """

    def read(
        topic: str,
        from_offset: int,
        timeouts: ReadTimeouts,
    ) -> Result[Reading, LogFailure]:
        clock.sleep(timeouts.pause)
        began_at = clock.elapsed()
        result = read_store(
            topic,
            from_offset,
            timeouts.wait,
            timeouts.call_timeout,
        )
        return result.map(
            lambda batch: Reading(
                batch,
                began_at if batch.reaches_end else None,
            ),
        ).alt(
            lambda failure: replace(failure, began_at=began_at),
        )

    return read
