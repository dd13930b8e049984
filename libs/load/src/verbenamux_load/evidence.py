"""The evidence that the checker reads: call histories and run events."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from verbenamux_load.history import Completion, HistoryLine, Invocation
from verbenamux_load.summary import pair_calls

Event = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A workspace's limit: `rate` in tokens per second, `burst` in tokens."""

    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class VersionEvent:
    """A configuration version that took effect at one process."""

    process: str
    instance: str
    time: float
    version: int
    digest: str


@dataclass(slots=True)
class Evidence:
    """All records of one run; times are seconds since its start.

    `last_version` is the last version reported to operators.
    Connections to `killed_gateways` break unavoidably, so their cut-off
    calls are no violations.
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
    killed_gateways: frozenset[str] = frozenset()
    terminated_gateways: frozenset[str] = frozenset()
    versions: list[VersionEvent] = field(default_factory=list)
    patched_at: dict[int, float] = field(default_factory=dict)
    last_version: int | None = None
    watched_gateways: frozenset[str] = frozenset()
    log_lines: list[bytes] = field(default_factory=list)

    def seconds(self, event: Event) -> float:
        """Return an event's time in seconds since the start of the run."""
        event_time = datetime.fromisoformat(event['time'])
        if self.started_at is None:
            return 0
        return (event_time - self.started_at).total_seconds()

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
    return list(pair_calls(lines))
