"""The records of a soak run that the checks read."""

from dataclasses import dataclass, field

from soak.targets import Book


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it; times are monotonic seconds.

    `status` is None without an answer. `is_whole`: the answer was read to its
    end. `has_disconnected`: the caller closed the connection before that.
    """

    request_id: str
    kind: str
    key: str
    workspace: str
    gateway: str
    sent_at: float
    timeout_seconds: float
    ended_at: float | None = None
    status: int | None = None
    body: bytes = b''
    proof: str | None = None
    retry_after: str | None = None
    is_whole: bool = False
    has_disconnected: bool = False
    failure: str = ''
    prompt: str = ''


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A period in which a fault affected something.

    `name` is a program, a target, a line or `store`; `program_end` means that
    the program itself was ended or paused.
    """

    kind: str
    name: str
    begin: float
    end: float
    program_end: bool = False


@dataclass(frozen=True, slots=True)
class Stop:
    """A graceful stop of a program and how it ended.

    `was_ready` means that the program was ready before the stop.
    """

    name: str
    began_at: float
    ended_at: float | None
    code: int | None
    was_ready: bool = True


@dataclass(slots=True)
class Evidence:
    """All records that the checks read."""

    book: Book = field(default_factory=Book)
    attempts: list[Attempt] = field(default_factory=list)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    withdrawn_at_by_key: dict[str, float] = field(default_factory=dict)
    route_changes: list[tuple[float, str]] = field(default_factory=list)
    draining_at: dict[str, float] = field(default_factory=dict)
    exit_codes: dict[str, int | None] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    ended_at: float = 0.0
    max_attempts: int = 2

    def has_fault(
        self,
        names: set[str],
        begin: float,
        end: float,
    ) -> bool:
        """Return whether a fault affected one of the names in a period."""
        return any(
            period.name in names and period.begin <= end and period.end >= begin
            for period in self.fault_periods
        )
