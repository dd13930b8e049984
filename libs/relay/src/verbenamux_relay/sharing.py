"""Reading the store once for all gateways of a data centre.

Load pattern: many gateways follow the same topics, and each call to the
store costs. The first living gateway of a data centre reads; the others ask
it, and get what its next read finds. If that read began after the ask came,
the asker may take its own time of asking as the time at which it was up to
date, however long either gateway was held up. If the ask came late, behind
the begin of the read under way, the answer says by how much, and the asker
takes that off: on a busy host every ask may be late. Without an answer a
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

# How long the first gateway may take beyond the time that a read waits and
# the pause between two reads; a slow store takes a quarter of a second.
ANSWER_MOST = timedelta(milliseconds=400)
# A gateway that gave no answer is not asked again for this long.
LEAD_REST = timedelta(seconds=4)
# Records kept of each topic for those that lag, and their bytes altogether.
KEPT_RECORDS = 400
KEPT_BYTES = 500_000
# Asks that wait in one gateway; more are left without an answer.
ASKS_MOST = 1000

ReadTopic = Callable[
    [str, int, timedelta, timedelta | None],
    Result[RecordBatch, LogFailure],
]
ReadShared = Callable[[str, int, 'Patience'], Result['Reading', LogFailure]]
Answer = Callable[[bytes, ReadReply], object]


@dataclass(frozen=True, slots=True)
class Reading:
    """What a read found, and when it is known to have been the newest.

    `known_at` is None when nothing is known of that. `reader` made the read.
    """

    batch: RecordBatch
    known_at: timedelta | None
    reader: str = 'self'


@dataclass(frozen=True, slots=True)
class Patience:
    """How the store is read: how long a read waits, and pauses before it.

    In the pause news is gathered, and other gateways ask for the read. The
    gateway that reads may take `lateness` beyond both, the store `call_most`
    beyond the wait; None leaves that to the client.
    """

    wait: timedelta
    pause: timedelta = timedelta()
    lateness: timedelta = ANSWER_MOST
    call_most: timedelta | None = None

    def at_once(self) -> 'Patience':
        """Return the same without any wait: read now, and directly."""
        return replace(self, wait=timedelta(), pause=timedelta())

    @property
    def is_at_once(self) -> bool:
        """Tell whether there is no time to ask another gateway."""
        return not self.wait and not self.pause


@dataclass(frozen=True, slots=True)
class _Waiting:
    came_at: timedelta
    sender: bytes
    ask: ReadAsk


@dataclass(slots=True)
class _Topic:
    """The newest records of a topic, and who waits for news of it."""

    first_offset: int = 0
    records: deque[bytes] = field(default_factory=deque)
    size: int = 0
    asks: list[_Waiting] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def keep(self, batch: RecordBatch) -> None:
        """Add a batch; one that does not follow on replaces what is kept."""
        if batch.first_offset != self.next_offset:
            self.first_offset = batch.first_offset
            self.records.clear()
            self.size = 0
        for record in batch.bodies:
            self.records.append(record)
            self.size += len(record)
        while self.records and (
            len(self.records) > KEPT_RECORDS or self.size > KEPT_BYTES
        ):
            self.size -= len(self.records.popleft())
            self.first_offset += 1

    def answer(self, ask: ReadAsk, late: timedelta | None) -> ReadReply:
        """Return what follows an offset, or that it is not kept here.

        `late` is how long the ask came behind the begin of the read, None
        when nothing is known of that.
        """
        start = ask.from_offset - self.first_offset
        if not 0 <= start <= len(self.records):
            return ReadReply(ask.ask_id, found=False)
        return ReadReply(
            ask.ask_id,
            found=True,
            fresh=late is not None and not late,
            records=tuple(self.records)[start:],
            late_ms=None if late is None else to_milliseconds_up(late),
        )


class SharedReads:
    """Reads of the store, of this gateway's own or through another."""

    def __init__(
        self,
        read_store: ReadTopic,
        lead: Callable[[], PeerLink | None],
        answer: Answer,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[..., None],
    ) -> None:
        """Read nothing yet; `lead` names the gateway that reads for this."""
        self._read_directly = read_directly(read_store, clock)
        self._lead = lead
        self._answer = answer
        self._clock = clock
        self._log = log
        self._count = count
        self._topics: defaultdict[str, _Topic] = defaultdict(_Topic)
        self._lead_rests_until = timedelta()

    def read(
        self,
        topic: str,
        from_offset: int,
        patience: Patience,
    ) -> Result[Reading, LogFailure]:
        """Read records from an offset on, waiting a while for the first."""
        link = None if patience.is_at_once else self._lead()
        if link is not None and self._clock.elapsed() >= self._lead_rests_until:
            asked = self._ask(link, topic, from_offset, patience)
            if asked is not None:
                self._count('reads_total', topic=topic, by='peer')
                self._share(topic, Success(asked), patience)
                return Success(asked)
            # The time to wait for news is spent.
            patience = patience.at_once()
        self._count('reads_total', topic=topic, by='store')
        found = self._read_directly(topic, from_offset, patience)
        self._share(topic, found, patience)
        return found

    def hear(self, sender: bytes, ask: ReadAsk) -> None:
        """Take in another gateway's ask, to be answered by the next read."""
        asks = self._topics[ask.topic].asks
        if len(asks) < ASKS_MOST:
            asks.append(_Waiting(self._clock.elapsed(), sender, ask))

    def _is_old(self, reading: Reading, patience: Patience) -> bool:
        age_most = patience.wait + patience.lateness
        known_at = reading.known_at
        return known_at is not None and (
            self._clock.elapsed() - known_at > age_most
        )

    def _ask(
        self,
        link: PeerLink,
        topic: str,
        from_offset: int,
        patience: Patience,
    ) -> Reading | None:
        ask_id = new_request_id()
        asked_at = self._clock.elapsed()
        reply = link.ask(
            ask_id,
            ReadAsk(ask_id, topic, from_offset),
            patience.wait + patience.pause + patience.lateness,
        )
        if not isinstance(reply, ReadReply):
            self._lead_rests_until = self._clock.elapsed() + LEAD_REST
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
            RecordBatch(from_offset, next_offset, reply.records, next_offset),
            _known_at(asked_at, reply),
            link.address,
        )

    def _share(
        self,
        name: str,
        found: Result[Reading, LogFailure],
        patience: Patience,
    ) -> None:
        """Answer all who wait, and tell how far the read vouches for it.

        A gateway that was held up behind its read vouches for nothing: the
        store has taken more meanwhile.
        """
        topic = self._topics[name]
        asks = topic.asks
        topic.asks = []
        reading = found.value_or(None)
        if reading is not None:
            topic.keep(reading.batch)
            if self._is_old(reading, patience):
                reading = None
        for waiting in asks:
            self._answer(waiting.sender, _reply(topic, waiting, reading))


def _reply(
    topic: _Topic,
    waiting: _Waiting,
    reading: Reading | None,
) -> ReadReply:
    if reading is None:
        return ReadReply(waiting.ask.ask_id, found=False)
    late = (
        None
        if reading.known_at is None
        else max(waiting.came_at - reading.known_at, timedelta())
    )
    return topic.answer(waiting.ask, late)


def _known_at(asked_at: timedelta, reply: ReadReply) -> timedelta | None:
    """Return when the records of a reply were the newest, if they were.

    The ask came no sooner than it was sent, so the read that it found under
    way began no sooner than that less its lateness, both by any clock.
    """
    if reply.fresh:
        return asked_at
    if reply.late_ms is None:
        return None
    return asked_at - milliseconds(reply.late_ms)


def read_directly(read_store: ReadTopic, clock: Clock) -> ReadShared:
    """Return reads of the store that are shared with nobody.

    A batch that ends short of the newest record was never the newest.
    """

    def read(
        topic: str,
        from_offset: int,
        patience: Patience,
    ) -> Result[Reading, LogFailure]:
        clock.sleep(patience.pause)
        began_at = clock.elapsed()
        found = read_store(
            topic,
            from_offset,
            patience.wait,
            patience.call_most,
        )
        return found.map(
            lambda batch: Reading(
                batch,
                began_at if batch.reaches_end else None,
            ),
        ).alt(
            lambda failure: replace(failure, began_at=began_at),
        )

    return read
