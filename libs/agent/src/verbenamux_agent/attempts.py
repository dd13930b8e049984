"""Attempts of an agent: queued, running, ended, or with a tombstone."""

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

MAX_TOMBSTONES = 50_000


class AttemptState(enum.Enum):
    """The state of an attempt."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Attempt:
    """One attempt, with the part of its answer received so far.

    `sent` is set before the first byte may reach the target. Chunks are
    numbered from `first_index`.
    """

    dispatch: Dispatch
    gateway: bytes
    deadline: timedelta
    state: AttemptState = AttemptState.QUEUED
    sent: bool = False
    first_index: int = 0
    chunks: list[bytes] = field(default_factory=list)
    started: Started | None = None
    ending: End | Broken | None = None
    ended_at: timedelta = timedelta()
    orphaned_at: timedelta | None = None

    @property
    def next_index(self) -> int:
        """The index of the next chunk."""
        return self.first_index + len(self.chunks)

    @property
    def size(self) -> int:
        """Size of the stored answer in bytes."""
        return sum(len(chunk) for chunk in self.chunks)

    def messages_from(self, index: int) -> list[Message]:
        """Return the messages that a gateway lacks from a chunk index on."""
        messages: list[Message] = []
        if self.started is not None:
            messages.append(self.started)
        attempt_id = self.dispatch.attempt_id
        begin = max(index, self.first_index)
        messages.extend(
            Chunk(attempt_id, number, chunk)
            for number, chunk in enumerate(
                self.chunks[begin - self.first_index :],
                begin,
            )
        )
        if self.ending is not None:
            messages.append(self.ending)
        return messages


class AttemptTable:
    """All attempts by id, and tombstones of those that must not run."""

    def __init__(self, max_age: timedelta, max_bytes: int) -> None:
        """Set the maximum age and total size of ended answers."""
        self.by_id: dict[str, Attempt] = {}
        self._run_by_attempt_id: OrderedDict[str, Run] = OrderedDict()
        self._max_age = max_age
        self._max_bytes = max_bytes

    def add_tombstone(self, attempt_id: str, run: Run) -> None:
        """Record a tombstone: a later dispatch is refused."""
        self._run_by_attempt_id[attempt_id] = run
        while len(self._run_by_attempt_id) > MAX_TOMBSTONES:
            self._run_by_attempt_id.popitem(last=False)

    def find_tombstone(self, attempt_id: str) -> Run | None:
        """Return whether an attempt with a tombstone ran, else None."""
        return self._run_by_attempt_id.get(attempt_id)

    def evict_ended(self, now: timedelta) -> None:
        """Evict ended answers that are too old or take too much memory.

        Whether they ran is kept in a tombstone.
        """
        ended = [
            attempt
            for attempt in self.by_id.values()
            if attempt.ending is not None
        ]
        ended.sort(key=_ended_at)
        size = sum(attempt.size for attempt in ended)
        for attempt in ended:
            is_expired = now - attempt.ended_at > self._max_age
            if not is_expired and size <= self._max_bytes:
                break
            size -= attempt.size
            del self.by_id[attempt.dispatch.attempt_id]
            self.add_tombstone(attempt.dispatch.attempt_id, _run_of(attempt))

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
