"""State of one caller's request, its sends and its runs."""

import enum
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from verbenamux_http.parsing import Request
from verbenamux_http.server import Reply
from verbenamux_relay.catalog import Catalog, Route, Service, Workspace
from verbenamux_relay.terms import RequestTerms


class Stage(enum.Enum):
    """What an open request waits for."""

    CHOOSING = 'choosing'
    MODEL = 'waiting_for_model'
    ADAPTER = 'waiting_for_adapter'
    CONNECTING = 'connecting'
    HEAD = 'waiting_for_head'
    STREAM = 'streaming'


@dataclass(slots=True)
class Job:
    """A request with its terms; times are monotonic.

    `expected_at` is when a model that is being loaded should be in place.
    `sends` counts the sends that may have reached a target, which the route's
    `max_attempts` bounds; `runs` those of them that may have run there: all
    without proof that they did not.
    `kept_answer_bytes` is the size of the last whole answer that was read.
    `handed_time` is the time left that the last target was handed.
    `retry_reserved_at` is when a retry was reserved for the next send, if any.
    `connecting` is the time spent on failed connections. `cause` names the
    last failure. `is_suspect` is whether it may have crashed its target,
    `is_cut_unanswered` whether a target cut it before any byte of an answer,
    and `ended_targets` counts those that ended then.
    """

    request: Request
    reply: Reply
    terms: RequestTerms
    catalog: Catalog
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: timedelta
    deadline: timedelta
    charged_units: float = 0
    sends: int = 0
    runs: int = 0
    handed_time: timedelta | None = None
    retry_reserved_at: timedelta | None = None
    connecting: timedelta = timedelta()
    excluded: set[str] = field(default_factory=set)
    last_event_id: str | None = None
    events: int = 0
    first_event_at: timedelta | None = None
    sent_at: timedelta | None = None
    expected_at: timedelta | None = None
    target_id: str = ''
    cause: str = ''
    steps: list[str] = field(default_factory=list)
    stage: Stage = Stage.CHOOSING
    is_suspect: bool = False
    is_cut_unanswered: bool = False
    ended_targets: int = 0
    kept_answer_bytes: int = 0

    @contextmanager
    def waiting_for(self, stage: Stage) -> Iterator[None]:
        """Set the stage for the duration of a step."""
        self.stage = stage
        yield
        # A step that raises keeps its stage, which shows where the job ended.
        self.stage = Stage.CHOOSING

    def record_sent(self, handed_time: timedelta) -> None:
        """Count a send before its first byte: it may run from then on."""
        self.stage = Stage.HEAD
        self.handed_time = handed_time
        self.retry_reserved_at = None
        self.sends += 1
        self.runs += 1

    def record_not_run(self) -> None:
        """Undo the run of the last send: the target proved it did not run."""
        self.runs -= 1

    def time_left(self, now: timedelta) -> timedelta:
        """Return the time until the deadline."""
        return self.deadline - now

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty on a public route."""
        return self.workspace.name if self.workspace else ''

    @property
    def may_retry(self) -> bool:
        """Return whether one more send is allowed, counting refused ones."""
        if self.sends >= self.route.max_attempts:
            return False
        if not self.runs:
            return True
        return self.route.is_retryable and not self.is_suspect


class OpenJobs:
    """The admitted requests that have not ended."""

    def __init__(self) -> None:
        """Start without open jobs."""
        self._numbers = count()
        self._by_number: dict[int, Job] = {}

    @contextmanager
    def track(self, job: Job) -> Iterator[None]:
        """Count a job as open for as long as it runs."""
        number = next(self._numbers)
        self._by_number[number] = job
        try:
            yield
        finally:
            self._by_number.pop(number)

    def current(self) -> tuple[Job, ...]:
        """Return the open jobs, oldest first."""
        return tuple(self._by_number.values())

    def by_stage(self) -> Counter[str]:
        """Return how many jobs are open in each stage."""
        return Counter(job.stage.value for job in self._by_number.values())
