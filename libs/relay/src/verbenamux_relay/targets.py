"""What a gateway believes of each target, and since when."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_relay.terms import LoadNotice

# A report or load notice older than this says nothing of the load.
LOAD_NOTICE_MOST = timedelta(milliseconds=1500)
# Weight of the newest outcome in a target's rate of failures.
FAILURE_WEIGHT = 0.15
# First and longest pause after failures that prove a target out of reach.
PAUSE_LEAST = timedelta(milliseconds=300)
PAUSE_MOST = timedelta(seconds=2)
# A request without any sign of life from its target for this long makes the
# target suspect: several times what an idle one takes to answer.
SUSPECT_AFTER = timedelta(milliseconds=900)
# A target whose address another one answers at gets nothing for this long;
# the registry drops its entry after three check-ins that fail to come.
REPLACED_REST = timedelta(seconds=5)
# A keeper reports at least twice a second; beyond this it is silent.
KEEPER_SILENCE = timedelta(milliseconds=1300)


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as the platform's registry lists it.

    `started_ms` is the Unix time of its start, 0 where it is not known.
    """

    target_id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool = False
    models: frozenset[str] = frozenset()
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target as the keeper beside it sees it; times are monotonic.

    `ordered_at` is when the model order under way was asked for, `keeper`
    names the run of the keeper that told it.
    """

    target_id: str
    received_at: timedelta
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    unstarted: int = 0
    active: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    is_ordering: bool = False
    ordered_at: timedelta = timedelta()
    revision: int = 0
    store_loads_ready: bool = True
    terms: str = ''
    keeper: str = ''
    is_keeper_leaving: bool = False


@dataclass(slots=True)
class InFlight:
    """A request this gateway has at a target.

    `heard_at` is when the target last sent anything for it.
    """

    sent_at: timedelta
    heard_at: timedelta
    missing_tokens: int
    total_tokens: int
    is_started: bool = False


@dataclass(slots=True)
class Target:
    """One target with all that is believed of it.

    Once removed, it still gets requests up to `serves_until` if it answers.
    """

    entry: TargetEntry
    report: TargetReport | None = None
    load: LoadNotice | None = None
    load_at: timedelta = timedelta()
    failure_rate: float = 0
    failures_in_row: int = 0
    paused_until: timedelta = timedelta()
    heard_at: timedelta = timedelta()
    absent_models: set[str] = field(default_factory=set)
    in_flight: dict[int, InFlight] = field(default_factory=dict)
    removed_at: timedelta | None = None
    serves_until: timedelta = timedelta()
    replaced_until: timedelta = timedelta()

    @property
    def models(self) -> frozenset[str]:
        """Return the models it holds, by the newest source."""
        if self.report is not None:
            return self.report.models
        return self.entry.models - self.absent_models

    def holds(self, model: str | None, adapter: str | None) -> bool:
        """Tell whether a request for the model could run right away."""
        if model is None:
            return True
        if model not in self.models:
            return False
        if adapter is None or self.report is None:
            return adapter is None
        return f'{model}/{adapter}' in self.report.adapters

    def waiting(self, now: timedelta) -> int:
        """Return how many requests wait there or came lately."""
        mine = sum(
            not request.is_started for request in self.in_flight.values()
        )
        notice = self._notice(now)
        return max(mine, notice.waiting if notice else 0)

    def running(self, now: timedelta) -> int:
        """Return how many requests run there, by the newest source."""
        notice = self._notice(now)
        return max(len(self.in_flight), notice.running if notice else 0)

    def unstarted_tokens(self) -> int:
        """Return the prompt tokens of this gateway's waiting requests."""
        return sum(
            request.missing_tokens
            for request in self.in_flight.values()
            if not request.is_started
        )

    def is_suspect(self, now: timedelta) -> bool:
        """Tell whether it has been silent on all for too long."""
        return any(
            self.suspect_at(sent) < now for sent in self.in_flight.values()
        )

    def suspect_at(self, sent: InFlight) -> timedelta:
        """Return when it is suspect unless it says anything before."""
        return max(sent.heard_at, self.heard_at) + SUSPECT_AFTER

    def has_silent_keeper(self, now: timedelta) -> bool:
        """Tell whether its keeper reported before, and stopped."""
        report = self.report
        return report is not None and (
            now - report.received_at > KEEPER_SILENCE
        )

    def takes_orders(self, now: timedelta) -> bool:
        """Tell whether a keeper would carry out orders."""
        return (
            self.report is not None
            and not self.report.is_keeper_leaving
            and not self.has_silent_keeper(now)
        )

    def note_replaced(self, now: timedelta) -> None:
        """Note that another target answers at its address."""
        self.replaced_until = now + REPLACED_REST

    def note_success(self, now: timedelta) -> None:
        """Believe in a target that answered."""
        self.heard_at = now
        self.failures_in_row = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def note_failure(self, now: timedelta, is_unreachable: bool) -> None:
        """Doubt a target; one that can't be reached pauses."""
        self.failure_rate += (1 - self.failure_rate) * FAILURE_WEIGHT
        if not is_unreachable:
            return
        self.failures_in_row += 1
        pause = PAUSE_LEAST * 2 ** min(self.failures_in_row - 1, 4)
        self.paused_until = now + min(pause, PAUSE_MOST)

    def _notice(self, now: timedelta) -> LoadNotice | None:
        """Return the load by its keeper's word, else by its answers.

        A keeper knows which prompts are still being read; for an answer
        these run already.
        """
        report = self.report
        if report is not None and (now - report.received_at < LOAD_NOTICE_MOST):
            return LoadNotice(
                report.active,
                report.unstarted,
                self.entry.slots,
            )
        if self.load is not None and now - self.load_at < LOAD_NOTICE_MOST:
            return self.load
        return None


class TargetBook:
    """Every target that the registry lists, by id."""

    def __init__(self) -> None:
        """Start with no target known."""
        self.by_id: dict[str, Target] = {}

    def put(self, entry: TargetEntry, now: timedelta) -> bool:
        """Take in an entry; tell whether the target is new.

        Of two targets at one address, the one that started last is there.
        """
        target = self.by_id.get(entry.target_id)
        is_new = target is None
        if target is None:
            target = Target(entry)
            self.by_id[entry.target_id] = target
        if entry.started_ms > target.entry.started_ms:
            target.replaced_until = timedelta()
        target.entry = entry
        target.removed_at = None
        if is_new:
            self._settle_address(target, now)
        return is_new

    def _settle_address(self, added: Target, now: timedelta) -> None:
        """Set aside all but the newest target at an address."""
        sharing = [
            target
            for target in self.by_id.values()
            if target.entry.address == added.entry.address
            and target.entry.started_ms
        ]
        newest = max(
            sharing,
            key=lambda target: target.entry.started_ms,
            default=added,
        )
        for target in sharing:
            if target.entry.started_ms < newest.entry.started_ms:
                target.note_replaced(now)

    def mark_removed(
        self,
        target_id: str,
        now: timedelta,
        serves_until: timedelta,
    ) -> None:
        """Note that the registry lists a target no more."""
        target = self.by_id.get(target_id)
        if target is not None and target.removed_at is None:
            target.removed_at = now
            target.serves_until = serves_until

    def forget(self, target_id: str) -> None:
        """Drop a target."""
        self.by_id.pop(target_id, None)

    def of_service(self, service: str) -> Iterator[Target]:
        """Yield the targets of a service, those that leave among them."""
        for target in self.by_id.values():
            if target.entry.service == service:
                yield target
