"""State of each target as a gateway knows it."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta

from verbenamux_balancing.target_speed import Pace
from verbenamux_contracts.report_timing import (
    MIN_IDLE_INTERVAL,
    MIN_LOAD_AGE,
    max_load_age,
    silence_timeout,
)
from verbenamux_relay.terms import LoadNotice

# Weight of the newest outcome in a target's failure rate.
FAILURE_WEIGHT = 0.15
# First and longest backoff after failures that show a target is unreachable.
MIN_BACKOFF = timedelta(milliseconds=300)
MAX_BACKOFF = timedelta(seconds=2)
# A target is suspect if nothing was received from it for this long after a
# request: several times the response time of an idle target.
SUSPECT_TIMEOUT = timedelta(milliseconds=900)
# A target at whose address another one answers gets no requests for this long;
# the registry drops its entry after three missed check-ins.
REPLACED_COOLDOWN = timedelta(seconds=5)
# The entry of a target that left lapses again after three check-ins.
RELISTED_COOLDOWN = timedelta(seconds=5)
# A target is held off for at most this long after one refusal.
MAX_HOLD_OFF = timedelta(minutes=1)
# After an evacuation targets count as cold for this long: two check-ins, and
# the time to read them. Their entries tell the rest.
PRESUMED_COLD_TIME = timedelta(seconds=3)
# Ids of removed targets that are remembered.
MAX_REMOVED_IDS = 1000


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as the platform's registry lists it.

    `started_ms` is the Unix time of its start, 0 where it is not known.
    `cold_left` is how long it stays cold.
    """

    target_id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool = False
    models: frozenset[str] = frozenset()
    started_ms: int = 0
    cold_left: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target as reported by its keeper; times are monotonic.

    `ordered_at` is when the model order in progress was requested, `keeper`
    names the instance of the keeper that reported. The next report follows
    within `interval`.
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
    interval: timedelta = MIN_IDLE_INTERVAL


@dataclass(slots=True)
class InFlight:
    """A request of this gateway at a target.

    `last_received_at` is when data for it was last received from the target.
    `has_head` is whether the answer's head arrived, `is_started` whether its
    first event did, at `started_at`. `has_gone_on` is whether events still came
    when a target that crashes under the request would have ended. `late_cause`
    is why a late answer is waited for; `is_given_up` is whether it is not any
    more.
    """

    sent_at: timedelta
    last_received_at: timedelta
    missing_tokens: int
    total_tokens: int
    has_head: bool = False
    is_started: bool = False
    started_at: timedelta = timedelta()
    has_gone_on: bool = False
    late_cause: str | None = None
    is_given_up: bool = False


@dataclass(frozen=True, slots=True)
class OwnWord:
    """What a target said of itself in a lifetime that began at `started_ms`."""

    started_ms: int
    held_off_until: timedelta
    has_said_leaving: bool


@dataclass(slots=True)
class Target:
    """The state of one target.

    `started_ms` is the last known start: entries may come without one.

    Once removed, it still gets requests until `serves_until` if it answers.
    `has_said_leaving` is its own word, which holds for this lifetime of it. It
    wants no requests of this gateway before `held_off_until`, and few before
    `cold_until`, whatever its entry says before `presumed_cold_until`. If its
    data centre is evacuated, it gets nothing from
    `closes_at` on, and before that only what no other target can take.
    """

    entry: TargetEntry
    started_ms: int = 0
    report: TargetReport | None = None
    load: LoadNotice | None = None
    load_at: timedelta = timedelta()
    failure_rate: float = 0
    consecutive_failures: int = 0
    backoff_until: timedelta = timedelta()
    last_received_at: timedelta = timedelta()
    missing_models: set[str] = field(default_factory=set)
    in_flight: dict[int, InFlight] = field(default_factory=dict)
    removed_at: timedelta | None = None
    serves_until: timedelta = timedelta()
    replaced_until: timedelta = timedelta()
    held_off_until: timedelta = timedelta()
    has_said_leaving: bool = False
    pace: Pace | None = None
    cold_until: timedelta = timedelta()
    presumed_cold_until: timedelta = timedelta()
    closes_at: timedelta | None = None

    def own_word(self) -> OwnWord:
        """Return what it said of itself."""
        return OwnWord(
            self.started_ms, self.held_off_until, self.has_said_leaving
        )

    def take_own_word(self, word: OwnWord) -> None:
        """Take up what it said of itself before it was forgotten."""
        self.started_ms = word.started_ms
        self.held_off_until = word.held_off_until
        self.has_said_leaving = word.has_said_leaving

    def update(self, entry: TargetEntry) -> None:
        """Take a newer entry; its own word ends with its lifetime.

        A store that lost records may list it again as it was before it began
        to leave.
        """
        is_restarted = 0 < self.started_ms < entry.started_ms
        is_same_lifetime = 0 < entry.started_ms <= self.started_ms
        if self.entry.is_draining and is_same_lifetime:
            entry = replace(entry, is_draining=True)
        self.entry = entry
        self.started_ms = max(self.started_ms, entry.started_ms)
        if is_restarted:
            self.replaced_until = timedelta()
            self.held_off_until = timedelta()
            self.has_said_leaving = False

    @property
    def models(self) -> frozenset[str]:
        """Return the models it holds, by the newest source."""
        if self.report is not None:
            return self.report.models
        return self.entry.models - self.missing_models

    def holds(self, model: str | None, adapter: str | None) -> bool:
        """Return whether a request for the model could run right away."""
        if model is None:
            return True
        if model not in self.models:
            return False
        if adapter is None or self.report is None:
            return adapter is None
        return f'{model}/{adapter}' in self.report.adapters

    def waiting(self, now: timedelta) -> int:
        """Return how many requests wait there, including unreported ones."""
        own_waiting = sum(
            not request.is_started for request in self.in_flight.values()
        )
        notice = self._load_notice(now)
        return max(own_waiting, notice.waiting if notice else 0)

    def running(self, now: timedelta) -> int:
        """Return how many requests run there, by the newest source."""
        notice = self._load_notice(now)
        return max(len(self.in_flight), notice.running if notice else 0)

    def unstarted_tokens(self) -> int:
        """Return the prompt tokens of this gateway's waiting requests."""
        return sum(
            request.missing_tokens
            for request in self.in_flight.values()
            if not request.is_started
        )

    def record_load(self, notice: LoadNotice, now: timedelta) -> None:
        """Record what the target states of its load, and of its host."""
        self.load = notice
        self.load_at = now
        if notice.pace is not None:
            self.pace = self.pace or Pace()
            self.pace.record(notice.pace, now)

    def slowdown(self, now: timedelta) -> float:
        """Return how much longer than usual work takes on its host."""
        return self.pace.expected(now) if self.pace else 1

    def is_suspect(self, now: timedelta) -> bool:
        """Return whether it sent nothing for too long during a request."""
        oldest = now - SUSPECT_TIMEOUT
        return self.last_received_at < oldest and any(
            sent.last_received_at < oldest for sent in self.in_flight.values()
        )

    def suspect_at(self, sent: InFlight) -> timedelta:
        """Return when it becomes suspect unless it sends data before."""
        return (
            max(sent.last_received_at, self.last_received_at) + SUSPECT_TIMEOUT
        )

    def has_unresponsive_keeper(self, now: timedelta) -> bool:
        """Return whether its keeper reported before and no longer does."""
        report = self.report
        return report is not None and (
            now - report.received_at > silence_timeout(report.interval)
        )

    def accepts_orders(self, now: timedelta) -> bool:
        """Return whether its keeper would carry out orders."""
        return (
            self.report is not None
            and not self.report.is_keeper_leaving
            and not self.has_unresponsive_keeper(now)
        )

    def record_replaced(self, now: timedelta) -> None:
        """Record that another target answers at its address."""
        self.replaced_until = now + REPLACED_COOLDOWN

    def record_relisted(self, now: timedelta) -> None:
        """Record that an older list has it again, though it left since."""
        self.replaced_until = now + RELISTED_COOLDOWN

    def hold_off(self, now: timedelta, wanted: timedelta) -> None:
        """Send it nothing for as long as it wants, within a bound."""
        until = now + min(wanted, MAX_HOLD_OFF)
        self.held_off_until = max(self.held_off_until, until)

    def record_success(self, now: timedelta) -> None:
        """Record that the target answered."""
        self.last_received_at = now
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self, now: timedelta, is_unreachable: bool) -> None:
        """Record a failure; an unreachable target is put into backoff."""
        self.failure_rate += (1 - self.failure_rate) * FAILURE_WEIGHT
        if not is_unreachable:
            return
        self.consecutive_failures += 1
        backoff = MIN_BACKOFF * 2 ** min(self.consecutive_failures - 1, 4)
        self.backoff_until = now + min(backoff, MAX_BACKOFF)

    def _load_notice(self, now: timedelta) -> LoadNotice | None:
        """Return the load from its keeper's report, else from its answers.

        A keeper knows which prompts are still being read; load notices in
        answers count these as running.
        """
        report = self.report
        if report is not None and (
            now - report.received_at < max_load_age(report.interval)
        ):
            return LoadNotice(
                report.active,
                report.unstarted,
                self.entry.slots,
            )
        if self.load is not None and now - self.load_at < MIN_LOAD_AGE:
            return self.load
        return None


class TargetTable:
    """Every target that the registry lists, by id."""

    def __init__(self) -> None:
        """Start with no targets."""
        self.by_id: dict[str, Target] = {}
        self._removed_ids: OrderedDict[str, None] = OrderedDict()
        self._own_word_by_id: OrderedDict[str, OwnWord] = OrderedDict()
        self._closes_at_by_data_centre: dict[str, timedelta] = {}

    def add_or_update(self, entry: TargetEntry, now: timedelta) -> bool:
        """Add or update an entry; return whether the target is new.

        Of two targets at one address, the one that started last is used.
        """
        target = self.by_id.get(entry.target_id)
        is_new = target is None
        if target is None:
            target = self._known_again(entry)
            self.by_id[entry.target_id] = target
        target.update(entry)
        target.removed_at = None
        target.cold_until = max(
            now + entry.cold_left, target.presumed_cold_until
        )
        target.closes_at = self._closes_at_by_data_centre.get(entry.data_centre)
        if is_new:
            self._mark_replaced_at_address(target, now)
        return is_new

    def _known_again(self, entry: TargetEntry) -> Target:
        """Return a target that said before what it now says."""
        target = Target(entry)
        word = self._own_word_by_id.pop(entry.target_id, None)
        if word is not None:
            target.take_own_word(word)
        return target

    def _mark_replaced_at_address(self, added: Target, now: timedelta) -> None:
        """Mark all but the newest target at an address as replaced."""
        same_address = [
            target
            for target in self.by_id.values()
            if target.entry.address == added.entry.address
            and target.entry.started_ms
        ]
        newest = max(
            same_address,
            key=lambda target: target.entry.started_ms,
            default=added,
        )
        for target in same_address:
            if target.entry.started_ms < newest.entry.started_ms:
                target.record_replaced(now)

    def mark_removed(
        self,
        target_id: str,
        now: timedelta,
        serves_until: timedelta,
    ) -> None:
        """Record that the registry no longer lists a target."""
        self._removed_ids[target_id] = None
        if len(self._removed_ids) > MAX_REMOVED_IDS:
            self._removed_ids.popitem(last=False)
        target = self.by_id.get(target_id)
        if target is not None and target.removed_at is None:
            target.removed_at = now
            target.serves_until = serves_until

    def was_removed(self, target_id: str) -> bool:
        """Return whether a target was removed lately."""
        return target_id in self._removed_ids

    def has_left(self, target_id: str) -> bool:
        """Return whether a target was removed and not listed again since."""
        target = self.by_id.get(target_id)
        is_gone = target is None or target.removed_at is not None
        return is_gone and self.was_removed(target_id)

    def forget(self, target_id: str) -> None:
        """Drop a target, but not its own word: its entry may come back."""
        target = self.by_id.pop(target_id, None)
        if target is None:
            return
        self._own_word_by_id[target_id] = target.own_word()
        if len(self._own_word_by_id) > MAX_REMOVED_IDS:
            self._own_word_by_id.popitem(last=False)

    def close_data_centre(self, data_centre: str, closes_at: timedelta) -> None:
        """Send nothing to the targets of a data centre from a time on."""
        self._closes_at_by_data_centre[data_centre] = closes_at
        self._apply_closing(data_centre, closes_at)

    def open_data_centre(self, data_centre: str, now: timedelta) -> None:
        """Use the targets of a data centre again.

        They may have become cold meanwhile.
        """
        self._closes_at_by_data_centre.pop(data_centre, None)
        self._apply_closing(data_centre, None)
        until = now + PRESUMED_COLD_TIME
        for target in self.by_id.values():
            if target.entry.data_centre == data_centre:
                target.presumed_cold_until = until
                target.cold_until = max(target.cold_until, until)

    @property
    def closing_data_centres(self) -> frozenset[str]:
        """Return the data centres whose targets are to get nothing."""
        return frozenset(self._closes_at_by_data_centre)

    def _apply_closing(
        self, data_centre: str, closes_at: timedelta | None
    ) -> None:
        for target in self.by_id.values():
            if target.entry.data_centre == data_centre:
                target.closes_at = closes_at

    def of_service(self, service: str) -> Iterator[Target]:
        """Yield the targets of a service, including leaving ones."""
        for target in self.by_id.values():
            if target.entry.service == service:
                yield target
