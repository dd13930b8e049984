"""Carrying out what gateways ask of an engine, one order at a time."""

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
from verbenamux_keeper.engine import (
    EnginePort,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from verbenamux_keeper.holding import (
    fits,
    is_cold,
    is_done,
    models_of,
    without_versions,
)
from verbenamux_keeper.pacing import StorePace
from verbenamux_keeper.reporting import Reporter, Send

# The engine is read this often, and faster while an order is carried out.
READ_PERIOD = timedelta(milliseconds=150)
ORDER_PERIOD = timedelta(milliseconds=40)
ADAPTER_PERIOD = timedelta(milliseconds=4)
# An order is given up after so long, and a model's load altogether.
ORDER_MOST = timedelta(seconds=4)
MODEL_MOST = timedelta(seconds=20)
ADAPTER_MOST = timedelta(milliseconds=600)
# An adapter used within this time is not made to go.
ADAPTER_REST = timedelta(milliseconds=100)
# The engine's report may show a request's run only this long after it was sent.
RUN_NEWS = timedelta(seconds=1)
# A model that has just come is not made to go: requests wait for it.
MODEL_REST = timedelta(milliseconds=1200)
# Adapters that may be on their way to an engine at the same time.
ADAPTERS_PENDING_MOST = 4
# Adapters that waited for a model order go first for at most this long.
ADAPTERS_TURN = timedelta(milliseconds=120)
# Pause before an order that got no answer is sent again.
ANSWER_PAUSE = timedelta(milliseconds=200)

TAKEN_ANSWERS = frozenset((OrderAnswer.ACCEPTED, OrderAnswer.HOLDS))


def _count_nothing(_name: str, **_labels: str) -> None:
    """Stand for metrics where nobody reads any."""


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """Where the engine is: its service, address and data centre."""

    service: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class AdapterRun:
    """A request that was sent to the engine, with the adapter it uses."""

    adapter: str
    sent_at: timedelta


@dataclass(slots=True)
class KeeperState:
    """All that a keeper knows; times are monotonic.

    `engine` is as last read; `is_heard` tells whether the newest read got an
    answer.
    """

    target_id: str | None = None
    engine: EngineState | None = None
    is_heard: bool = False
    notice: EngineNotice | None = None
    fencing_token: int | None = None
    ordering: str | None = None
    ordered_at: timedelta = timedelta()
    adapters_waiting: int = 0
    used_at_by_adapter: dict[str, timedelta] = field(default_factory=dict)
    run_by_request: dict[str, AdapterRun] = field(default_factory=dict)
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
        self._place = place
        self._port = port
        self._pace = pace
        self._clock = clock
        self._send = send
        self._reporter = Reporter(clock, send)
        self._log = log
        self._count = count
        self._models_lock = RLock()
        self._orders_lock = RLock()

    def receive(self, sender: bytes, message: AnyMessage) -> None:
        """Take in a gateway's message; asks are carried out in tasks."""
        match message:
            case KeeperHello():
                self._greet(sender, message)
            case EngineNotice():
                self._take_notice(message)
            case AdapterUse():
                self._note_run(message)
            case ModelAsk():
                gevent.spawn(self._answer_model, sender, message)
            case AdapterAsk():
                gevent.spawn(self._answer_adapter, sender, message)

    def run(self) -> None:
        """Read the engine for ever and tell gateways what changed."""
        while True:
            self.refresh()
            self.tell()
            period = ORDER_PERIOD if self.state.ordering else READ_PERIOD
            self._clock.sleep(period)

    def refresh(self) -> EngineState | None:
        """Read the engine; a restarted one is identified anew."""
        read = self._port.read()
        known = self.state.engine
        self.state.is_heard = read is not None
        if read is None:
            return None
        is_restarted = (
            known is None
            or read.started_ms != known.started_ms
            or read.orders_taken < known.orders_taken
        )
        if is_restarted or self.state.target_id is None:
            self.state.target_id = self._port.identify()
            self._log(
                'engine_identified',
                target=self.state.target_id,
                started_ms=read.started_ms,
                models=sorted(read.models),
            )
        self.state.engine = read
        self._forget_ended_runs(read)
        return read

    def tell(self) -> None:
        """Tell gateways what changed, if it is due.

        Nothing of an engine that does not answer: a report tells that it
        lives.
        """
        if self.state.is_heard and self.state.target_id is not None:
            self._reporter.tell(self._report())

    def _report(self) -> KeeperReport:
        engine = self.state.engine or EngineState()
        notice = self.state.notice
        pending = set(models_of(engine.pending))
        if self.state.ordering is not None:
            pending.add(self.state.ordering)
        return KeeperReport(
            target_id=self.state.target_id or '',
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

    def _note_use(self, adapter: str) -> None:
        self.state.used_at_by_adapter[adapter] = self._clock.elapsed()

    def _note_run(self, use: AdapterUse) -> None:
        adapter = f'{use.model}/{use.adapter}'
        self._note_use(adapter)
        self.state.run_by_request[use.request_id] = AdapterRun(
            adapter,
            self._clock.elapsed(),
        )

    def _forget_ended_runs(self, engine: EngineState) -> None:
        """Forget requests that do not run; what was just sent counts as run."""
        now = self._clock.elapsed()
        run_by_request = self.state.run_by_request
        for request_id, run in tuple(run_by_request.items()):
            is_news = now - run.sent_at < RUN_NEWS
            if not is_news and request_id not in engine.running_ids:
                run_by_request.pop(request_id)

    def _answer_model(self, sender: bytes, ask: ModelAsk) -> None:
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
            holds=sorted(self.state.engine.models if self.state.engine else ()),
        )
        self.tell()
        self._send(sender, LoadReply(ask.ask_id, not cause, cause))

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
        engine = self.refresh()
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
        engine = self.state.engine
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if not fits(model, engine, notice):
            return 'the engine has no room'
        if is_cold(model, engine):
            self._pace.note_start()
        if not self._give(OrderKind.LOAD, model, None):
            return 'the engine did not take the order'
        cause = self._await(
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
        engine = self.state.engine
        if engine is None or victim not in engine.models:
            return ''
        if not self._give(OrderKind.UNLOAD, victim, None):
            return f'the engine did not take the order to drop {victim}'
        return self._await(
            lambda state: victim not in state.models and not state.is_busy,
            MODEL_MOST,
            ORDER_PERIOD,
        )

    def _answer_adapter(self, sender: bytes, ask: AdapterAsk) -> None:
        self.state.adapters_waiting += 1
        try:
            self._await_order(timedelta(milliseconds=ask.patience_ms))
            cause = self._load_adapter(ask)
        finally:
            self.state.adapters_waiting -= 1
        self._send(sender, LoadReply(ask.ask_id, not cause, cause))

    def _load_adapter(self, ask: AdapterAsk) -> str:
        """Load an adapter; return why it is not in place, or nothing."""
        wanted = f'{ask.model}/{ask.adapter}'
        self._note_use(wanted)
        engine = self.state.engine
        notice = self.state.notice
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if wanted in engine.adapters:
            return ''
        with self._orders_lock:
            engine = self.refresh() or engine
            if wanted not in engine.adapters | without_versions(engine.pending):
                cause = self._order_adapter(ask, engine, notice)
                if cause:
                    return cause
        cause = self._await(
            lambda state: wanted in state.adapters,
            ADAPTER_MOST,
            ADAPTER_PERIOD,
        )
        self.tell()
        return cause

    def _await_order(self, patience: timedelta) -> None:
        """Wait while the engine loads a model and takes no other order."""
        give_up_at = self._clock.elapsed() + patience
        while self.state.ordering and self._clock.elapsed() < give_up_at:
            self._clock.sleep(ADAPTER_PERIOD)

    def _order_adapter(
        self,
        ask: AdapterAsk,
        engine: EngineState,
        notice: EngineNotice,
    ) -> str:
        if ask.model not in engine.models:
            return 'the engine does not hold the model'
        if len(engine.pending) >= ADAPTERS_PENDING_MOST:
            self._await(
                lambda state: len(state.pending) < ADAPTERS_PENDING_MOST,
                ADAPTER_MOST,
                ADAPTER_PERIOD,
            )
            engine = self.state.engine or engine
        taken = len(engine.adapters) + len(engine.pending)
        if taken >= notice.adapter_places and not self._drop_adapter(engine):
            return 'all places for adapters are in use'
        if self._give(OrderKind.LOAD, ask.model, ask.adapter):
            return ''
        return 'the engine did not take the order'

    def _drop_adapter(self, engine: EngineState) -> bool:
        """Unload the adapter that was used the longest ago.

        One that requests run with is passed over: the engine would take no
        other order until they end.
        """
        running = {run.adapter for run in self.state.run_by_request.values()}
        now = self._clock.elapsed()
        used_at = self.state.used_at_by_adapter
        never = timedelta.min
        oldest = sorted(
            engine.adapters - running,
            key=lambda adapter: (used_at.get(adapter, never), adapter),
        )
        for adapter in oldest:
            if now - used_at.get(adapter, timedelta()) < ADAPTER_REST:
                continue
            model, _, name = adapter.partition('/')
            if self._give(OrderKind.UNLOAD, model, name):
                used_at.pop(adapter, None)
                return True
        return False

    def _give(
        self,
        kind: OrderKind,
        model: str,
        adapter: str | None,
    ) -> bool:
        """Give an order until the engine took it; tell whether it did."""
        give_up_at = self._clock.elapsed() + ORDER_MOST
        with self._orders_lock:
            while self._clock.elapsed() < give_up_at:
                answer = self._order_once(kind, model, adapter)
                if answer in TAKEN_ANSWERS:
                    return True
                if answer is OrderAnswer.INVALID:
                    return False
                if answer is OrderAnswer.CONFLICT and adapter is not None:
                    # The engine loads a model: another engine is faster.
                    return False
                self._clock.sleep(ANSWER_PAUSE)
        return False

    def _order_once(
        self,
        kind: OrderKind,
        model: str,
        adapter: str | None,
    ) -> OrderAnswer:
        """Order once, unless the engine's state shows the order as done."""
        engine = self.refresh()
        token = self._fencing_token()
        target_id = self.state.target_id
        if engine is None or token is None or target_id is None:
            return OrderAnswer.UNKNOWN
        if is_done(engine, kind, model, adapter):
            return OrderAnswer.HOLDS
        order = Order(kind, model, adapter, engine.orders_taken)
        answer = self._port.order(target_id, token, order)
        self._count('orders_total', order=kind.value, answer=answer.value)
        self._log(
            'order_given',
            order=kind.value,
            model=model,
            adapter=adapter,
            after_orders=order.after_orders,
            fencing_token=token,
            target=target_id,
            answer=answer.value,
        )
        if answer is OrderAnswer.FENCED:
            self.state.fencing_token = None
        elif answer is OrderAnswer.OTHER_TARGET:
            self.state.target_id = None
        return answer

    def _fencing_token(self) -> int | None:
        if self.state.fencing_token is None:
            self.state.fencing_token = self._port.new_fencing_token()
        return self.state.fencing_token

    def _await(
        self,
        condition: Callable[[EngineState], bool],
        timeout: timedelta,
        period: timedelta,
    ) -> str:
        give_up_at = self._clock.elapsed() + timeout
        while self._clock.elapsed() < give_up_at:
            engine = self.refresh()
            if engine is not None and condition(engine):
                return ''
            self._clock.sleep(period)
        return 'the engine did not finish the order in time'
