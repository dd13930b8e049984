"""Carries out gateways' requests to an engine, one model at a time."""

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
from verbenamux_contracts.report_timing import engine_read_interval
from verbenamux_keeper.adapters import (
    ADAPTER_READ_INTERVAL,
    AdapterOrders,
    AdapterUsage,
)
from verbenamux_keeper.engine import EnginePort, EngineState, OrderKind
from verbenamux_keeper.holding import fits, is_cold, models_of
from verbenamux_keeper.orders import EngineOrders
from verbenamux_keeper.pacing import StoreLoadLimiter
from verbenamux_keeper.reporting import Reporter, Send

# The engine is read more often while it carries out an order.
ORDER_READ_INTERVAL = timedelta(milliseconds=40)
MODEL_LOAD_TIMEOUT = timedelta(seconds=20)
# A model loaded within this time is not evicted: requests wait for it.
MIN_MODEL_RESIDENCY = timedelta(milliseconds=1200)
# Length of the id that distinguishes a keeper process from its predecessor.
RUN_ID_BYTES = 4
# Cause in replies to requests that a stopping keeper does not carry out.
STOPPING = 'the keeper stops'
# The next model order waits at most this long for adapter requests that were
# waiting behind the previous one.
MAX_ADAPTER_PRIORITY_DELAY = timedelta(milliseconds=120)


def _discard_metric(_name: str, **_labels: str) -> None:
    """Ignore metrics where none are collected."""


@dataclass(frozen=True, slots=True)
class EngineLocation:
    """Where the engine is: its service, address and data centre."""

    service: str
    address: str
    data_centre: str


@dataclass(slots=True)
class KeeperState:
    """The notice, orders and requests of a keeper; times are monotonic."""

    notice: EngineNotice | None = None
    loading_model: str | None = None
    ordered_at: timedelta = timedelta()
    waiting_adapter_requests: int = 0
    sender_by_pending_request: dict[str, bytes] = field(default_factory=dict)
    loaded_at_by_model: dict[str, timedelta] = field(default_factory=dict)


class Keeper:
    """Reads an engine, reports to gateways and carries out their orders."""

    def __init__(
        self,
        place: EngineLocation,
        port: EnginePort,
        store_limiter: StoreLoadLimiter,
        clock: Clock,
        send: Send,
        log: Callable[..., None],
        count: Callable[..., None] = _discard_metric,
    ) -> None:
        """Start without any state of the engine."""
        self.state = KeeperState()
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._place = place
        self._store_limiter = store_limiter
        self._clock = clock
        self._send = send
        self._reporter = Reporter(clock, send)
        self._log = log
        self._model_orders_lock = RLock()
        self._usage = AdapterUsage(clock.elapsed)
        self.orders = EngineOrders(
            port,
            clock,
            log,
            count,
            self._usage.forget_ended_runs,
        )
        self._adapters = AdapterOrders(
            self.orders, self._usage, self.publish_changes
        )

    def receive(self, sender: bytes, message: AnyMessage) -> None:
        """Handle a gateway's message; requests are carried out in tasks."""
        match message:
            case KeeperHello():
                self._handle_hello(sender, message)
            case EngineNotice():
                self._update_notice(message)
            case AdapterUse():
                self._usage.record_run(message)
            case ModelAsk() | AdapterAsk() if self.orders.is_stopping:
                self._send(sender, LoadReply(message.ask_id, False, STOPPING))
            case ModelAsk():
                gevent.spawn(self._handle_model_request, sender, message)
            case AdapterAsk():
                gevent.spawn(self._handle_adapter_request, sender, message)

    def stop(self) -> None:
        """Send no more orders, and answer all pending requests.

        The engine may still carry out earlier orders afterwards.
        """
        self.orders.is_stopping = True
        for ask_id in tuple(self.state.sender_by_pending_request):
            self._reply(ask_id, STOPPING)
        if self.orders.target_id is not None:
            self._reporter.announce_shutdown(self.orders.target_id)

    def run(self) -> None:
        """Read the engine for ever and report changes to gateways."""
        while True:
            self.orders.refresh()
            self.publish_changes()
            interval = (
                ORDER_READ_INTERVAL
                if self.state.loading_model
                else engine_read_interval(self._reporter.gateways())
            )
            self._clock.sleep(interval)

    def publish_changes(self) -> None:
        """Report changes to gateways, if a report is due.

        Nothing is sent for an engine that does not answer, since a report
        shows that it is alive, nor while this process stops.
        """
        orders = self.orders
        is_known = orders.is_responsive and orders.target_id is not None
        if is_known and not orders.is_stopping:
            self._reporter.send_changes(self._report())

    def _report(self) -> KeeperReport:
        engine = self.orders.engine or EngineState()
        notice = self.state.notice
        pending = set(models_of(engine.pending))
        if self.state.loading_model is not None:
            pending.add(self.state.loading_model)
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
            is_ordering=engine.is_busy or self.state.loading_model is not None,
            ordered_ms=self._order_age_ms(),
            store_loads_ready=notice is not None
            and self._store_limiter.is_ready(
                notice.store_loads_per_second,
                notice.targets,
            ),
            keeper=self._run_id,
        )

    def _order_age_ms(self) -> int:
        if self.state.loading_model is None:
            return 0
        return to_milliseconds(self._clock.elapsed() - self.state.ordered_at)

    def _handle_hello(self, sender: bytes, hello: KeeperHello) -> None:
        if self._reporter.subscribe(sender, hello):
            self.publish_changes()

    def _update_notice(self, notice: EngineNotice) -> None:
        current = self.state.notice
        if current is None or notice.version >= current.version:
            self.state.notice = notice

    def _handle_model_request(self, sender: bytes, request: ModelAsk) -> None:
        self.state.sender_by_pending_request[request.ask_id] = sender
        with self._model_orders_lock:
            self._wait_for_adapters()
            self.state.loading_model = request.model
            self.state.ordered_at = self._clock.elapsed()
            self.publish_changes()
            cause = self._load_model(request)
            self.state.loading_model = None
        self._log(
            'model_ask_ended',
            model=request.model,
            evicted=request.evict,
            cause=cause or 'in place',
            holds=sorted(
                self.orders.engine.models if self.orders.engine else ()
            ),
        )
        self.publish_changes()
        self._reply(request.ask_id, cause)

    def _reply(self, ask_id: str, cause: str) -> None:
        """Answer a request that has no answer yet."""
        sender = self.state.sender_by_pending_request.pop(ask_id, None)
        if sender is not None:
            self._send(sender, LoadReply(ask_id, not cause, cause))

    def _wait_for_adapters(self) -> None:
        """Wait for adapter orders that waited for the previous model.

        Load pattern: an engine that restarted loads one model after the
        other, while requests for adapters of the first ones wait.
        """
        give_up_at = self._clock.elapsed() + MAX_ADAPTER_PRIORITY_DELAY
        while self.state.waiting_adapter_requests:
            if self._clock.elapsed() >= give_up_at:
                return
            self._clock.sleep(ADAPTER_READ_INTERVAL)

    def _load_model(self, request: ModelAsk) -> str:
        """Load a model; return why it is not loaded, or an empty string."""
        engine = self.orders.refresh()
        if engine is not None and request.model in engine.models:
            return ''
        cause = self._check_load(request, engine)
        for victim in request.evict:
            cause = cause or self._unload_model(victim)
        return cause or self._order_model(request.model)

    def _check_load(self, request: ModelAsk, engine: EngineState | None) -> str:
        """Return why a model can't be loaded now, or an empty string."""
        notice = self.state.notice
        if notice is None or engine is None:
            return 'the engine is not known yet'
        can_load_from_store = self._store_limiter.is_ready(
            notice.store_loads_per_second,
            notice.targets,
        )
        if not can_load_from_store and is_cold(request.model, engine):
            return "this engine's part of the store's pace is spent"
        if any(map(self._is_recently_loaded, request.evict)):
            return 'a model that was to go has just come'
        return ''

    def _order_model(self, model: str) -> str:
        """Order a load if the model fits; return why it failed, if so."""
        notice = self.state.notice
        engine = self.orders.engine
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if not fits(model, engine, notice):
            return 'the engine has no room'
        if is_cold(model, engine):
            self._store_limiter.record_load_start()
        is_given = self.orders.give(
            OrderKind.LOAD,
            model,
            None,
            lambda state: fits(model, state, notice),
        )
        if not is_given:
            return 'the engine did not take the order'
        cause = self.orders.await_state(
            lambda state: model in state.models and not state.is_busy,
            MODEL_LOAD_TIMEOUT,
            ORDER_READ_INTERVAL,
        )
        self.state.loaded_at_by_model[model] = self._clock.elapsed()
        return cause

    def _is_recently_loaded(self, model: str) -> bool:
        loaded_at = self.state.loaded_at_by_model.get(model)
        return loaded_at is not None and (
            self._clock.elapsed() - loaded_at < MIN_MODEL_RESIDENCY
        )

    def _unload_model(self, victim: str) -> str:
        engine = self.orders.engine
        if engine is None or victim not in engine.models:
            return ''
        if not self.orders.give(OrderKind.UNLOAD, victim, None):
            return f'the engine did not take the order to drop {victim}'
        return self.orders.await_state(
            lambda state: victim not in state.models and not state.is_busy,
            MODEL_LOAD_TIMEOUT,
            ORDER_READ_INTERVAL,
        )

    def _handle_adapter_request(
        self, sender: bytes, request: AdapterAsk
    ) -> None:
        self.state.sender_by_pending_request[request.ask_id] = sender
        self.state.waiting_adapter_requests += 1
        try:
            self._wait_for_model_load(
                timedelta(milliseconds=request.patience_ms)
            )
            cause = self._adapters.load(request, self.state.notice)
        finally:
            self.state.waiting_adapter_requests -= 1
        self._reply(request.ask_id, cause)

    def _wait_for_model_load(self, timeout: timedelta) -> None:
        """Wait while the engine loads a model and accepts no other order."""
        give_up_at = self._clock.elapsed() + timeout
        while self.state.loading_model and self._clock.elapsed() < give_up_at:
            self._clock.sleep(ADAPTER_READ_INTERVAL)
