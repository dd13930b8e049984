"""Attempts an agent knows: queued, running, ended, or never to run."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_contracts.errors import Run
from verbenamux_contracts.messages import (
    Broken,
    Chunk,
    Dispatch,
    End,
    Message,
    Started,
)

TOMBSTONES_KEPT = 50_000


class AttemptState(enum.Enum):
    """How far an attempt has come."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Attempt:
    """One attempt, with its answer as far as it has come.

    `sent` is set before the first byte may reach the target. Chunks are
    numbered from `first`.
    """

    dispatch: Dispatch
    gateway: bytes
    deadline: timedelta
    state: AttemptState = AttemptState.QUEUED
    sent: bool = False
    first: int = 0
    chunks: list[bytes] = field(default_factory=list)
    started: Started | None = None
    ending: End | Broken | None = None
    ended_at: timedelta = timedelta()
    orphaned_at: timedelta | None = None

    @property
    def next_index(self) -> int:
        """The number that the next chunk will get."""
        return self.first + len(self.chunks)

    @property
    def size(self) -> int:
        """Bytes of the answer kept here."""
        return sum(len(chunk) for chunk in self.chunks)

    def messages_from(self, index: int) -> list[Message]:
        """Return what a gateway lacks that has all before an index."""
        messages: list[Message] = []
        if self.started is not None:
            messages.append(self.started)
        attempt_id = self.dispatch.attempt_id
        begin = max(index, self.first)
        messages.extend(
            Chunk(attempt_id, number, chunk)
            for number, chunk in enumerate(
                self.chunks[begin - self.first :],
                begin,
            )
        )
        if self.ending is not None:
            messages.append(self.ending)
        return messages


class AttemptTable:
    """All attempts by id, and tombstones of those never to run."""

    def __init__(self, kept: timedelta, kept_bytes: int) -> None:
        """Keep ended answers for a time and within a size."""
        self.by_id: dict[str, Attempt] = {}
        self._run_by_tombstone: OrderedDict[str, Run] = OrderedDict()
        self._kept = kept
        self._kept_bytes = kept_bytes

    def bury(self, attempt_id: str, run: Run) -> None:
        """Leave a tombstone: a dispatch that comes later is refused."""
        self._run_by_tombstone[attempt_id] = run
        while len(self._run_by_tombstone) > TOMBSTONES_KEPT:
            self._run_by_tombstone.popitem(last=False)

    def buried(self, attempt_id: str) -> Run | None:
        """Return what is known of the run of a buried attempt."""
        return self._run_by_tombstone.get(attempt_id)

    def forget_old(self, now: timedelta) -> None:
        """Drop answers that ended long ago or take too much room.

        What is known of their run stays as a tombstone.
        """
        ended = [
            attempt
            for attempt in self.by_id.values()
            if attempt.ending is not None
        ]
        ended.sort(key=_ended_at)
        size = sum(attempt.size for attempt in ended)
        for attempt in ended:
            old = now - attempt.ended_at > self._kept
            if not old and size <= self._kept_bytes:
                break
            size -= attempt.size
            del self.by_id[attempt.dispatch.attempt_id]
            self.bury(attempt.dispatch.attempt_id, _run_of(attempt))

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have no ending yet."""
        return [
            attempt for attempt in self.by_id.values() if attempt.ending is None
        ]


def _run_of(attempt: Attempt) -> Run:
    if isinstance(attempt.ending, Broken):
        return Run(attempt.ending.run)
    return Run.RAN


def _ended_at(attempt: Attempt) -> timedelta:
    return attempt.ended_at
