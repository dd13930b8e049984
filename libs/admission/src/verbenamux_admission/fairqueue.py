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
    """Serves the workspace with the least tokens served by weight.

    A workspace that comes back after being idle starts level with the
    least counter among the waiting ones, so idling earns no credit.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting_tokens = 0
        self._order = itertools.count()
        self._by_workspace: dict[str, WorkspaceQueue[Job]] = {}
        self._floor: float = 0

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return sum(len(queue.entries) for queue in self._by_workspace.values())

    def push(
        self,
        workspace: str,
        job: Job,
        tokens: int,
        priority: int = 0,
        weight: int = 1,
    ) -> None:
        """Add a job; a larger priority leaves earlier in its workspace."""
        queue = self._by_workspace.setdefault(workspace, WorkspaceQueue())
        queue.weight = max(1, weight)
        if not queue.entries:
            queue.counter = max(queue.counter, self._floor)
        entry = Entry(-priority, next(self._order), tokens, job)
        heapq.heappush(queue.entries, entry)
        self.waiting_tokens += tokens

    def pop(self) -> Job | None:
        """Remove and return the next job, or None when empty."""
        queue = min(self._waiting(), key=_counter, default=None)
        if queue is None:
            return None
        entry = heapq.heappop(queue.entries)
        self._floor = queue.counter
        queue.counter += entry.tokens / queue.weight
        self.waiting_tokens -= entry.tokens
        return entry.job

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Correct a counter once the tokens really served are known."""
        queue = self._by_workspace.get(workspace)
        if queue is not None:
            queue.counter += (used - reserved) / queue.weight

    def forget_idle(self) -> None:
        """Drop counters of workspaces that are level with the rest."""
        for name in list(self._by_workspace):
            queue = self._by_workspace[name]
            if not queue.entries and queue.counter <= self._floor:
                del self._by_workspace[name]

    def _waiting(self) -> Iterator[WorkspaceQueue[Job]]:
        return (queue for queue in self._by_workspace.values() if queue.entries)


def _counter(queue: WorkspaceQueue[Job]) -> float:
    return queue.counter
