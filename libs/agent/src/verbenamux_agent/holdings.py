"""What the target holds: the ledger, the orders and drop consents."""

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

FENCING_STEP = 1_000_000
TARGET_SILENT = timedelta(seconds=1)
ORDER_AGAIN = timedelta(seconds=2)
ADAPTER_CHECK = timedelta(milliseconds=5)
IDLE_CHECK = timedelta(milliseconds=50)
READY_STATE = 'ready'

Decide = Callable[..., None]
AdaptersInUse = Callable[[], set[str]]
AskHolder = Callable[[str, str], bool]


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
    """The number that every order carries, growing with each.

    Without a start record on the log there is no epoch, and no orders.
    """

    epoch: int | None = None
    count: 'itertools.count[int]' = field(default_factory=itertools.count)

    def next_number(self) -> int | None:
        """Return the next fencing number, or None before the epoch."""
        if self.epoch is None:
            return None
        return self.epoch * FENCING_STEP + next(self.count)


class Holdings:
    """The serial point for everything that changes a target's memory."""

    def __init__(
        self,
        client: TargetClient,
        clock: Clock,
        settle: timedelta,
        adapter_loads_most: int,
        decide: Decide,
    ) -> None:
        """Start with an empty ledger; reports fill it."""
        self.ledger: Ledger | None = None
        self.report: EngineReport | None = None
        self.fence = Fence()
        self.changed = Event()
        self.configuration = Configuration()
        self._client = client
        self._clock = clock
        self._settle = settle
        self._adapter_loads_most = adapter_loads_most
        self._started_at = clock.elapsed()
        self._reported_at = clock.elapsed()
        self._ordered_at: dict[tuple[str, str], timedelta] = {}
        self._used_at: dict[str, timedelta] = {}
        self._asking: set[str] = set()
        self._decide = decide

    @property
    def settled(self) -> bool:
        """Whether no order of an earlier instance can still arrive."""
        return self._clock.elapsed() - self._started_at > self._settle

    @property
    def target_up(self) -> bool:
        """Whether the target has reported lately."""
        return self._clock.elapsed() - self._reported_at < TARGET_SILENT

    def read_report(self) -> None:
        """Fetch the target's report and settle the ledger by it."""
        answer = self._client.exchange(Call('GET', '/report'))
        if not is_successful(answer):
            return
        self._reported_at = self._clock.elapsed()
        report = msgspec.json.decode(answer.unwrap(), type=EngineReport)
        self.report = report
        if self.ledger is None:
            self.ledger = Ledger(report.capacity_mb, self._settle)
        ledger = self.ledger
        ledger.held_back_mb = 0 if self.settled else self._largest_load()
        before = {row.key for row in ledger.ready_rows()}
        ledger.settle_report(
            (_reported(row) for row in report.residents),
            self._clock.elapsed(),
        )
        if {row.key for row in ledger.ready_rows()} != before:
            self.changed.set()
        self._order_again()

    def place(self, model: str, version: str) -> None:
        """Load a model if its memory fits, and note the decision."""
        declared = self.configuration.models_by_name.get(model)
        if declared is None or self.ledger is None:
            self._decide('placement', action='ignore', model=model)
            return
        row = self.ledger.reserve(model, version, declared.memory_mb)
        self._decide(
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
        ask: AskHolder,
        idle: Callable[[str], bool],
    ) -> None:
        """Give a model up if another holder agrees to keep its copy.

        The copy is no longer offered from the consent on; it is unloaded
        when its last attempt has ended.
        """
        row = self._find(model, version)
        if row is None or model in self._asking:
            return
        self._asking.add(model)
        try:
            agreed = self._holds_other_version(row) or any(
                ask(holder, model) for holder in holders
            )
        finally:
            self._asking.discard(model)
        action = 'drop' if agreed else 'keep'
        self._decide('placement', action=action, model=model, version=version)
        if agreed and row.state is RowState.READY:
            self._unload_when_idle(row, idle)

    def agree_to_keep(self, model: str) -> bool:
        """Consent to be the one that still holds a model.

        A holder that is asking itself refuses, so two that ask each other
        both keep their copies.
        """
        if self.ledger is None or not self.settled or model in self._asking:
            return False
        return self.ledger.find_ready(model) is not None

    def ensure_adapter(
        self,
        name: str,
        deadline: timedelta,
        in_use: AdaptersInUse,
    ) -> bool:
        """Load an adapter on demand and wait until it is ready.

        False comes at once when it neither fits nor can be made to fit by
        dropping an adapter that no running attempt uses.
        """
        self._used_at[name] = self._clock.elapsed()
        while self._clock.elapsed() < deadline and self.ledger is not None:
            if self.ledger.find_ready(name) is not None:
                return True
            if not self._advance_adapter(self.ledger, name, in_use):
                return False
            self._clock.sleep(ADAPTER_CHECK)
        return False

    def versions_ready(self) -> list[Row]:
        """Return the ready models, adapters left out."""
        if self.ledger is None:
            return []
        return [row for row in self.ledger.ready_rows() if not row.adapter]

    def adapters_ready(self) -> tuple[str, ...]:
        """Return the names of ready adapters."""
        if self.ledger is None:
            return ()
        return tuple(
            row.name for row in self.ledger.ready_rows() if row.adapter
        )

    def _largest_load(self) -> int:
        models = self.configuration.models_by_name.values()
        return max((model.memory_mb for model in models), default=0)

    def _find(self, model: str, version: str) -> Row | None:
        if self.ledger is None:
            return None
        row = self.ledger.row_by_key.get((model, version))
        if row is None or row.state is not RowState.READY:
            return None
        return row

    def _holds_other_version(self, row: Row) -> bool:
        return any(
            other.name == row.name and other.key != row.key
            for other in self.versions_ready()
        )

    def _unload_when_idle(
        self,
        row: Row,
        idle: Callable[[str], bool],
    ) -> None:
        if self.ledger is None:
            return
        self.ledger.begin_drop(row)
        self.changed.set()
        while not idle(row.name):
            self._clock.sleep(IDLE_CHECK)
        self._order('unload', row)

    def _advance_adapter(
        self,
        ledger: Ledger,
        name: str,
        in_use: AdaptersInUse,
    ) -> bool:
        """Take the next step towards an adapter; False when there is none."""
        if (name, name) in ledger.row_by_key:
            return True
        moving = [
            row
            for row in ledger.row_by_key.values()
            if row.adapter and row.state is not RowState.READY
        ]
        loading = [row for row in moving if row.state is RowState.LOADING]
        if len(loading) >= self._adapter_loads_most:
            return True
        declared = self.configuration.adapters_by_name.get(name)
        if declared is None:
            return False
        row = ledger.reserve(name, name, declared.memory_mb, adapter=True)
        if row is None:
            return len(moving) > len(loading) or self._evict(ledger, in_use)
        self._decide('placement', action='load_adapter', adapter=name)
        self._order('load', row)
        return True

    def _evict(self, ledger: Ledger, in_use: AdaptersInUse) -> bool:
        """Drop the adapter that was used longest ago; False if none can go."""
        busy = in_use()
        idle = [
            row
            for row in ledger.ready_rows()
            if row.adapter and row.name not in busy
        ]
        oldest = min(idle, key=self._last_use, default=None)
        if oldest is None:
            return False
        self._decide('placement', action='drop_adapter', adapter=oldest.name)
        ledger.begin_drop(oldest)
        self._order('unload', oldest)
        return True

    def _last_use(self, row: Row) -> timedelta:
        return self._used_at.get(row.name, timedelta())

    def _order_again(self) -> None:
        if self.ledger is None:
            return
        now = self._clock.elapsed()
        for row in list(self.ledger.row_by_key.values()):
            ordered_at = self._ordered_at.get(row.key, timedelta())
            if now - ordered_at < ORDER_AGAIN:
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
            self._decide(
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


def _reported(row: ReportedResident) -> ReportedRow:
    return ReportedRow(
        row.name,
        row.version,
        row.memory_mb,
        row.state == READY_STATE,
        row.adapter,
    )
