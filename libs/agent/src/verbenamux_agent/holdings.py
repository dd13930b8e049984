"""What the target holds: its memory ledger, orders and drop consents."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
import msgspec
from gevent.event import Event
from returns.pipeline import is_successful

from verbenamux_agent.target import (
    CONFLICT,
    Call,
    EngineReport,
    OrderAnswer,
    ReportedResident,
    TargetClient,
)
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import Clock
from verbenamux_placement.ledger import Ledger, ReportedRow, Row, RowState

FENCING_NUMBERS_PER_EPOCH = 1_000_000
REPORT_TIMEOUT = timedelta(seconds=1)
ORDER_RETRY_INTERVAL = timedelta(seconds=2)
ADAPTER_POLL_INTERVAL = timedelta(milliseconds=5)
IDLE_POLL_INTERVAL = timedelta(milliseconds=50)
READY_STATE = 'ready'

LogDecision = Callable[..., None]
AdaptersInUse = Callable[[], set[str]]
RequestKeep = Callable[[str, str], bool]


class Order(msgspec.Struct, frozen=True):
    """An order to the engine, in the engine's own protocol."""

    order_id: str
    fencing: int
    action: str
    name: str
    version: str
    memory_mb: int
    adapter: bool = False


@dataclass(slots=True)
class Fence:
    """The fencing number of orders, increasing with each order.

    Without a start record on the log there is no epoch, and no orders.
    """

    epoch: int | None = None
    count: 'itertools.count[int]' = field(default_factory=itertools.count)

    def next_number(self) -> int | None:
        """Return the next fencing number, or None without an epoch."""
        if self.epoch is None:
            return None
        return self.epoch * FENCING_NUMBERS_PER_EPOCH + next(self.count)


class Holdings:
    """Serializes all changes of a target's memory."""

    def __init__(
        self,
        client: TargetClient,
        clock: Clock,
        max_message_delay: timedelta,
        max_adapter_loads: int,
        log_decision: LogDecision,
    ) -> None:
        """Start without a ledger; the first report creates it."""
        self.ledger: Ledger | None = None
        self.report: EngineReport | None = None
        self.fence = Fence()
        self.changed = Event()
        self.configuration = Configuration()
        self._client = client
        self._clock = clock
        self._max_message_delay = max_message_delay
        self._max_adapter_loads = max_adapter_loads
        self._started_at = clock.elapsed()
        self._reported_at = clock.elapsed()
        self._ordered_at: dict[tuple[str, str], timedelta] = {}
        self._used_at: dict[str, timedelta] = {}
        self._models_awaiting_consent: set[str] = set()
        self._log_decision = log_decision

    @property
    def is_settled(self) -> bool:
        """Whether no order of an earlier instance can still arrive."""
        return (
            self._clock.elapsed() - self._started_at > self._max_message_delay
        )

    @property
    def target_up(self) -> bool:
        """Whether the target has reported within REPORT_TIMEOUT."""
        return self._clock.elapsed() - self._reported_at < REPORT_TIMEOUT

    def read_report(self) -> None:
        """Fetch the target's report and reconcile the ledger with it."""
        answer = self._client.exchange(Call('GET', '/report'))
        if not is_successful(answer):
            return
        self._reported_at = self._clock.elapsed()
        report = msgspec.json.decode(answer.unwrap(), type=EngineReport)
        self.report = report
        if self.ledger is None:
            self.ledger = Ledger(report.capacity_mb, self._max_message_delay)
        ledger = self.ledger
        ledger.startup_reserve_mb = (
            0 if self.is_settled else self._largest_load()
        )
        ready_before = {row.key for row in ledger.ready_rows()}
        ledger.apply_report(
            (_to_reported_row(row) for row in report.residents),
            self._clock.elapsed(),
        )
        if {row.key for row in ledger.ready_rows()} != ready_before:
            self.changed.set()
        self._retry_orders()

    def place(self, model: str, version: str) -> None:
        """Load a model if it fits in memory, and log the decision."""
        declared = self.configuration.models_by_name.get(model)
        if declared is None or self.ledger is None:
            self._log_decision('placement', action='ignore', model=model)
            return
        row = self.ledger.reserve(model, version, declared.memory_mb)
        self._log_decision(
            'placement',
            action='refuse' if row is None else 'load',
            model=model,
            version=version,
            free_mb=self.ledger.free_mb,
        )
        if row is not None:
            self._order('load', row)

    def drop(
        self,
        model: str,
        version: str,
        holders: tuple[str, ...],
        request_keep: RequestKeep,
        is_idle: Callable[[str], bool],
    ) -> None:
        """Drop a model if another holder consents to keep its copy.

        The copy is no longer offered once consent is given; it is unloaded
        when its last attempt has ended.
        """
        row = self._find_ready(model, version)
        if row is None or model in self._models_awaiting_consent:
            return
        self._models_awaiting_consent.add(model)
        try:
            has_consent = self._holds_other_version(row) or any(
                request_keep(holder, model) for holder in holders
            )
        finally:
            self._models_awaiting_consent.discard(model)
        action = 'drop' if has_consent else 'keep'
        self._log_decision(
            'placement', action=action, model=model, version=version
        )
        if has_consent and row.state is RowState.READY:
            self._unload_when_idle(row, is_idle)

    def consents_to_keep(self, model: str) -> bool:
        """Return whether this holder consents to keep a model.

        A holder with a pending request of its own refuses, so two that
        request each other's consent both keep their copies.
        """
        if (
            self.ledger is None
            or not self.is_settled
            or model in self._models_awaiting_consent
        ):
            return False
        return self.ledger.find_ready(model) is not None

    def ensure_adapter(
        self,
        name: str,
        deadline: timedelta,
        in_use: AdaptersInUse,
    ) -> bool:
        """Load an adapter on demand and wait until it is ready.

        Returns False at once if it does not fit and there is no adapter to
        evict that no running attempt uses.
        """
        self._used_at[name] = self._clock.elapsed()
        while self._clock.elapsed() < deadline and self.ledger is not None:
            if self.ledger.find_ready(name) is not None:
                return True
            if not self._advance_adapter(self.ledger, name, in_use):
                return False
            self._clock.sleep(ADAPTER_POLL_INTERVAL)
        return False

    def ready_models(self) -> list[Row]:
        """Return the ready models, without adapters."""
        if self.ledger is None:
            return []
        return [row for row in self.ledger.ready_rows() if not row.adapter]

    def ready_adapters(self) -> tuple[str, ...]:
        """Return the names of ready adapters."""
        if self.ledger is None:
            return ()
        return tuple(
            row.name for row in self.ledger.ready_rows() if row.adapter
        )

    def _largest_load(self) -> int:
        models = self.configuration.models_by_name.values()
        return max((model.memory_mb for model in models), default=0)

    def _find_ready(self, model: str, version: str) -> Row | None:
        if self.ledger is None:
            return None
        row = self.ledger.row_by_key.get((model, version))
        if row is None or row.state is not RowState.READY:
            return None
        return row

    def _holds_other_version(self, row: Row) -> bool:
        return any(
            other.name == row.name and other.key != row.key
            for other in self.ready_models()
        )

    def _unload_when_idle(
        self,
        row: Row,
        is_idle: Callable[[str], bool],
    ) -> None:
        if self.ledger is None:
            return
        self.ledger.begin_drop(row)
        self.changed.set()
        while not is_idle(row.name):
            self._clock.sleep(IDLE_POLL_INTERVAL)
        self._order('unload', row)

    def _advance_adapter(
        self,
        ledger: Ledger,
        name: str,
        in_use: AdaptersInUse,
    ) -> bool:
        """Take the next step to load an adapter; False if there is none."""
        if (name, name) in ledger.row_by_key:
            return True
        in_transition = [
            row
            for row in ledger.row_by_key.values()
            if row.adapter and row.state is not RowState.READY
        ]
        loading = [
            row for row in in_transition if row.state is RowState.LOADING
        ]
        if len(loading) >= self._max_adapter_loads:
            return True
        declared = self.configuration.adapters_by_name.get(name)
        if declared is None:
            return False
        row = ledger.reserve(name, name, declared.memory_mb, adapter=True)
        if row is None:
            return len(in_transition) > len(loading) or self._evict_adapter(
                ledger, in_use
            )
        self._log_decision('placement', action='load_adapter', adapter=name)
        self._order('load', row)
        return True

    def _evict_adapter(self, ledger: Ledger, in_use: AdaptersInUse) -> bool:
        """Evict the least recently used idle adapter; False if none is idle."""
        busy = in_use()
        idle = [
            row
            for row in ledger.ready_rows()
            if row.adapter and row.name not in busy
        ]
        least_recent = min(idle, key=self._last_used_at, default=None)
        if least_recent is None:
            return False
        self._log_decision(
            'placement', action='drop_adapter', adapter=least_recent.name
        )
        ledger.begin_drop(least_recent)
        self._order('unload', least_recent)
        return True

    def _last_used_at(self, row: Row) -> timedelta:
        return self._used_at.get(row.name, timedelta())

    def _retry_orders(self) -> None:
        if self.ledger is None:
            return
        now = self._clock.elapsed()
        for row in list(self.ledger.row_by_key.values()):
            ordered_at = self._ordered_at.get(row.key, timedelta())
            if now - ordered_at < ORDER_RETRY_INTERVAL:
                continue
            if row.state is RowState.LOADING:
                self._order('load', row)
            elif row.state is RowState.DROPPING:
                self._order('unload', row)

    def _order(self, action: str, row: Row) -> None:
        fencing = self.fence.next_number()
        self._ordered_at[row.key] = self._clock.elapsed()
        if fencing is None:
            return
        order = Order(
            f'{fencing}',
            fencing,
            action,
            row.name,
            row.version,
            row.memory_mb,
            row.adapter,
        )
        gevent.spawn(self._send_order, order, row)

    def _send_order(self, order: Order, row: Row) -> None:
        call = Call('POST', '/orders', msgspec.json.encode(order))
        answer = self._client.exchange(call)
        if not is_successful(answer):
            failure = answer.failure()
            if failure.status != CONFLICT:
                row.uncertain = True
            self._log_decision(
                'order_failed',
                order=msgspec.structs.asdict(order),
                cause=failure.message,
            )
            return
        state = msgspec.json.decode(answer.unwrap(), type=OrderAnswer).state
        loaded = state == 'done' and order.action == 'load'
        if loaded and row.state is RowState.LOADING:
            row.state = RowState.READY
            self.changed.set()


def _to_reported_row(row: ReportedResident) -> ReportedRow:
    return ReportedRow(
        row.name,
        row.version,
        row.memory_mb,
        row.state == READY_STATE,
        row.adapter,
    )
