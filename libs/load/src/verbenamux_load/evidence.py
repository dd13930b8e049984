"""What a checker has to go by: histories and the facts of a run."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from verbenamux_load.history import Completion, HistoryLine, Invocation
from verbenamux_load.summary import pair

Event = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A workspace's limit; tokens a second, and tokens."""

    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class VersionEvent:
    """A configuration version that came into force at one process."""

    process: str
    instance: str
    time: float
    version: int
    digest: str


@dataclass(slots=True)
class Evidence:
    """All that is known of one run; times are seconds of the run.

    `last_version` is the version that operators were told last. `excused`
    are gateways that were killed: their callers' connections
    break, and no process could help it.
    """

    calls: list[tuple[Invocation, Completion | None]]
    events_by_target: dict[str, list[Event]] = field(default_factory=dict)
    started_at: datetime | None = None
    keys: tuple[str, ...] = ()
    workspace_by_caller: dict[str, str] = field(default_factory=dict)
    models_by_workspace: dict[str, frozenset[str]] = field(
        default_factory=dict,
    )
    limit_by_workspace: dict[str, RateLimit] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    killed_targets: frozenset[str] = frozenset()
    excused: frozenset[str] = frozenset()
    terminated: frozenset[str] = frozenset()
    versions: list[VersionEvent] = field(default_factory=list)
    patched_at: dict[int, float] = field(default_factory=dict)
    last_version: int | None = None
    watched_gateways: frozenset[str] = frozenset()
    log_lines: list[bytes] = field(default_factory=list)

    def seconds(self, event: Event) -> float:
        """Return an event's time in seconds of the run."""
        when = datetime.fromisoformat(event['time'])
        if self.started_at is None:
            return 0
        return (when - self.started_at).total_seconds()

    def runs(self) -> Iterable[tuple[str, Event]]:
        """Yield every run at a target, with the target's name."""
        for target, events in self.events_by_target.items():
            for event in events:
                if event['event'] == 'run':
                    yield target, event


def collect_calls(
    lines: Iterable[HistoryLine],
) -> list[tuple[Invocation, Completion | None]]:
    """Return each invocation with its completion, in order."""
    return list(pair(lines))
