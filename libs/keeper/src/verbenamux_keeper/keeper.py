"""Carrying out what gateways ask of an engine, one model at a time."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
from gevent.lock import RLock

from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.messages import (
    AdapterAsk,
    AdapterUse,
    AnyMessage,
    EngineNotice,
    KeeperHello,
    KeeperReport,
    LoadReply,
    ModelAsk,
)
from verbenamux_keeper.adapters import (
    ADAPTER_PERIOD,
    AdapterOrders,
    AdapterUses,
)
from verbenamux_keeper.engine import EnginePort, EngineState, OrderKind
from verbenamux_keeper.holding import fits, is_cold, models_of
from verbenamux_keeper.ordering import EngineOrders
from verbenamux_keeper.pacing import StorePace
from verbenamux_keeper.reporting import Reporter, Send

# The engine is read this often, and faster while an order is carried out.
READ_PERIOD = timedelta(milliseconds=150)
ORDER_PERIOD = timedelta(milliseconds=40)
# A model's load is given up after so long.
MODEL_MOST = timedelta(seconds=20)
# A model that has just come is not made to go: requests wait for it.
MODEL_REST = timedelta(milliseconds=1200)
# Bytes that tell a keeper's run from the one before.
RUN_ID_BYTES = 4
# Why a keeper that stops has nothing in place.
STOPPING = 'the keeper stops'
# Adapters that waited for a model order go first for at most this long.
ADAPTERS_TURN = timedelta(milliseconds=120)


def _count_nothing(_name: str, **_labels: str) -> None:
    """Stand for metrics where nobody reads any."""


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """Where the engine is: its service, address and data centre."""

    service: str
    address: str
    data_centre: str


@dataclass(slots=True)
class KeeperState:
    """What a keeper was told and does; times are monotonic."""

    notice: EngineNotice | None = None
    ordering: str | None = None
    ordered_at: timedelta = timedelta()
    adapters_waiting: int = 0
    sender_by_open_ask: dict[str, bytes] = field(default_factory=dict)
    loaded_at_by_model: dict[str, timedelta] = field(default_factory=dict)


class Keeper:
    """Reads an engine, tells gateways, and gives the orders they ask for."""

    def __init__(
        self,
        place: EnginePlace,
        port: EnginePort,
        pace: StorePace,
        clock: Clock,
        send: Send,
        log: Callable[..., None],
        count: Callable[..., None] = _count_nothing,
    ) -> None:
        """Start with nothing known of the engine."""
        self.state = KeeperState()
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._place = place
        self._pace = pace
        self._clock = clock
        self._send = send
        self._reporter = Reporter(clock, send)
        self._log = log
        self._models_lock = RLock()
        self._uses = AdapterUses(clock.elapsed)
        self.orders = EngineOrders(
            port,
            clock,
            log,
            count,
            self._uses.forget_ended_runs,
        )
        self._adapters = AdapterOrders(self.orders, self._uses, self.tell)

    def receive(self, sender: bytes, message: AnyMessage) -> None:
        """Take in a gateway's message; asks are carried out in tasks."""
        match message:
            case KeeperHello():
                self._greet(sender, message)
            case EngineNotice():
                self._take_notice(message)
            case AdapterUse():
                self._uses.note_run(message)
            case ModelAsk() | AdapterAsk() if self.orders.is_stopping:
                self._send(sender, LoadReply(message.ask_id, False, STOPPING))
            case ModelAsk():
                gevent.spawn(self._answer_model, sender, message)
            case AdapterAsk():
                gevent.spawn(self._answer_adapter, sender, message)

    def stop(self) -> None:
        """Give no more orders, and answer all that was asked for.

        The engine may carry out later what it was ordered before.
        """
        self.orders.is_stopping = True
        for ask_id in tuple(self.state.sender_by_open_ask):
            self._reply(ask_id, STOPPING)
        if self.orders.target_id is not None:
            self._reporter.leave(self.orders.target_id)

    def run(self) -> None:
        """Read the engine for ever and tell gateways what changed."""
        while True:
            self.orders.refresh()
            self.tell()
            period = ORDER_PERIOD if self.state.ordering else READ_PERIOD
            self._clock.sleep(period)

    def tell(self) -> None:
        """Tell gateways what changed, if it is due.

        Nothing of an engine that does not answer: a report tells that it
        lives. Nor while this process stops.
        """
        orders = self.orders
        is_known = orders.is_heard and orders.target_id is not None
        if is_known and not orders.is_stopping:
            self._reporter.tell(self._report())

    def _report(self) -> KeeperReport:
        engine = self.orders.engine or EngineState()
        notice = self.state.notice
        pending = set(models_of(engine.pending))
        if self.state.ordering is not None:
            pending.add(self.state.ordering)
        return KeeperReport(
            target_id=self.orders.target_id or '',
            started_ms=engine.started_ms,
            service=self._place.service,
            address=self._place.address,
            data_centre=self._place.data_centre,
            terms=notice.terms if notice else '',
            models=tuple(sorted(engine.models)),
            adapters=tuple(sorted(engine.adapters)),
            pending=tuple(sorted(pending)),
            on_disk=tuple(sorted(engine.on_disk)),
            in_memory=tuple(sorted(engine.in_memory)),
            unstarted=engine.unstarted,
            active=engine.active,
            used_tokens=engine.used_tokens,
            total_tokens=engine.total_tokens,
            is_ordering=engine.is_busy or self.state.ordering is not None,
            ordered_ms=self._ordered_ms(),
            store_loads_ready=notice is not None
            and self._pace.is_ready(
                notice.store_loads_per_second,
                notice.targets,
            ),
            keeper=self._run_id,
        )

    def _ordered_ms(self) -> int:
        if self.state.ordering is None:
            return 0
        return to_milliseconds(self._clock.elapsed() - self.state.ordered_at)

    def _greet(self, sender: bytes, hello: KeeperHello) -> None:
        self._reporter.subscribe(sender, wants_report=hello.wants_report)
        self.tell()

    def _take_notice(self, notice: EngineNotice) -> None:
        known = self.state.notice
        if known is None or notice.version >= known.version:
            self.state.notice = notice

    def _answer_model(self, sender: bytes, ask: ModelAsk) -> None:
        self.state.sender_by_open_ask[ask.ask_id] = sender
        with self._models_lock:
            self._let_adapters_pass()
            self.state.ordering = ask.model
            self.state.ordered_at = self._clock.elapsed()
            self.tell()
            cause = self._load_model(ask)
            self.state.ordering = None
        self._log(
            'model_ask_ended',
            model=ask.model,
            evicted=ask.evict,
            cause=cause or 'in place',
            holds=sorted(
                self.orders.engine.models if self.orders.engine else ()
            ),
        )
        self.tell()
        self._reply(ask.ask_id, cause)

    def _reply(self, ask_id: str, cause: str) -> None:
        """Answer an ask that has no answer yet."""
        sender = self.state.sender_by_open_ask.pop(ask_id, None)
        if sender is not None:
            self._send(sender, LoadReply(ask_id, not cause, cause))

    def _let_adapters_pass(self) -> None:
        """Wait for adapters whose orders waited for the model before.

        Load pattern: an engine that restarted loads one model behind the
        other, while requests for adapters of the first ones wait.
        """
        give_up_at = self._clock.elapsed() + ADAPTERS_TURN
        while self.state.adapters_waiting:
            if self._clock.elapsed() >= give_up_at:
                return
            self._clock.sleep(ADAPTER_PERIOD)

    def _load_model(self, ask: ModelAsk) -> str:
        """Load a model; return why it is not in place, or nothing."""
        engine = self.orders.refresh()
        if engine is not None and ask.model in engine.models:
            return ''
        cause = self._check_model(ask, engine)
        for victim in ask.evict:
            cause = cause or self._unload_model(victim)
        return cause or self._order_model(ask.model)

    def _check_model(self, ask: ModelAsk, engine: EngineState | None) -> str:
        """Return why a model can't be loaded now, or nothing."""
        notice = self.state.notice
        if notice is None or engine is None:
            return 'the engine is not known yet'
        is_paced = self._pace.is_ready(
            notice.store_loads_per_second,
            notice.targets,
        )
        if not is_paced and is_cold(ask.model, engine):
            return "this engine's part of the store's pace is spent"
        if any(map(self._has_just_come, ask.evict)):
            return 'a model that was to go has just come'
        return ''

    def _order_model(self, model: str) -> str:
        """Order a load that the engine has room for; return why not."""
        notice = self.state.notice
        engine = self.orders.engine
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if not fits(model, engine, notice):
            return 'the engine has no room'
        if is_cold(model, engine):
            self._pace.note_start()
        if not self.orders.give(OrderKind.LOAD, model, None):
            return 'the engine did not take the order'
        cause = self.orders.await_state(
            lambda state: model in state.models and not state.is_busy,
            MODEL_MOST,
            ORDER_PERIOD,
        )
        self.state.loaded_at_by_model[model] = self._clock.elapsed()
        return cause

    def _has_just_come(self, model: str) -> bool:
        loaded_at = self.state.loaded_at_by_model.get(model)
        return loaded_at is not None and (
            self._clock.elapsed() - loaded_at < MODEL_REST
        )

    def _unload_model(self, victim: str) -> str:
        engine = self.orders.engine
        if engine is None or victim not in engine.models:
            return ''
        if not self.orders.give(OrderKind.UNLOAD, victim, None):
            return f'the engine did not take the order to drop {victim}'
        return self.orders.await_state(
            lambda state: victim not in state.models and not state.is_busy,
            MODEL_MOST,
            ORDER_PERIOD,
        )

    def _answer_adapter(self, sender: bytes, ask: AdapterAsk) -> None:
        self.state.sender_by_open_ask[ask.ask_id] = sender
        self.state.adapters_waiting += 1
        try:
            self._await_order(timedelta(milliseconds=ask.patience_ms))
            cause = self._adapters.load(ask, self.state.notice)
        finally:
            self.state.adapters_waiting -= 1
        self._reply(ask.ask_id, cause)

    def _await_order(self, patience: timedelta) -> None:
        """Wait while the engine loads a model and takes no other order."""
        give_up_at = self._clock.elapsed() + patience
        while self.state.ordering and self._clock.elapsed() < give_up_at:
            self._clock.sleep(ADAPTER_PERIOD)
