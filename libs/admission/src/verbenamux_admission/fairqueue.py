"""A queue that is fair by tokens served to each workspace."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Job = TypeVar('Job')


@dataclass(order=True, slots=True)
class Entry(Generic[Job]):
    """One queued job; higher priorities leave first, then older ones."""

    rank: int
    order: int
    tokens: int = field(compare=False)
    job: Job = field(compare=False)


@dataclass(slots=True)
class WorkspaceQueue(Generic[Job]):
    """The jobs of one workspace and its virtual token counter."""

    weight: int = 1
    counter: float = 0
    entries: list[Entry[Job]] = field(default_factory=list)


class FairQueue(Generic[Job]):
    """Serves the workspace with the fewest served tokens per weight.

    A workspace that returns after being idle starts at the smallest counter
    among the waiting ones, so idling earns no credit.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting_tokens = 0
        self._order = itertools.count()
        self._queue_by_workspace: dict[str, WorkspaceQueue[Job]] = {}
        self._min_counter: float = 0

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return sum(
            len(queue.entries) for queue in self._queue_by_workspace.values()
        )

    def push(
        self,
        workspace: str,
        job: Job,
        tokens: int,
        priority: int = 0,
        weight: int = 1,
    ) -> None:
        """Add a job; a larger priority leaves earlier in its workspace."""
        queue = self._queue_by_workspace.setdefault(workspace, WorkspaceQueue())
        queue.weight = max(1, weight)
        if not queue.entries:
            queue.counter = max(queue.counter, self._min_counter)
        entry = Entry(-priority, next(self._order), tokens, job)
        heapq.heappush(queue.entries, entry)
        self.waiting_tokens += tokens

    def pop(self) -> Job | None:
        """Remove and return the next job, or None when empty."""
        queue = min(self._waiting(), key=_counter, default=None)
        if queue is None:
            return None
        entry = heapq.heappop(queue.entries)
        self._min_counter = queue.counter
        queue.counter += entry.tokens / queue.weight
        self.waiting_tokens -= entry.tokens
        return entry.job

    def correct_usage(self, workspace: str, reserved: int, used: int) -> None:
        """Correct a counter once the number of served tokens is known."""
        queue = self._queue_by_workspace.get(workspace)
        if queue is not None:
            queue.counter += (used - reserved) / queue.weight

    def forget_idle(self) -> None:
        """Drop counters of idle workspaces that are not above the others."""
        for name in list(self._queue_by_workspace):
            queue = self._queue_by_workspace[name]
            if not queue.entries and queue.counter <= self._min_counter:
                del self._queue_by_workspace[name]

    def _waiting(self) -> Iterator[WorkspaceQueue[Job]]:
        return (
            queue
            for queue in self._queue_by_workspace.values()
            if queue.entries
        )


def _counter(queue: WorkspaceQueue[Job]) -> float:
    return queue.counter
