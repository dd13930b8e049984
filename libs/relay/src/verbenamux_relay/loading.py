"""Loads models and adapters through the keepers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.ids import new_request_id
from verbenamux_contracts.messages import (
    AdapterAsk,
    AdapterUse,
    LoadReply,
    ModelAsk,
)
from verbenamux_relay.catalog import EngineTerms, Service
from verbenamux_relay.picking import holdings
from verbenamux_relay.placing import Demand, Move, place
from verbenamux_relay.targets import Target, TargetBook
from verbenamux_relay.terms import RequestTerms
from verbenamux_runtime.peers import PeerLink

# How long a keeper may take for an adapter before another target is tried.
ADAPTER_MOST = timedelta(milliseconds=400)
# A model order may take longer than predicted by this factor.
PATIENCE_FACTOR = 1.5
# How long a keeper may take for a model, loads from a busy store included.
MODEL_MOST = timedelta(seconds=12)
# A keeper that becomes unresponsive meanwhile is noticed within this time.
WATCH_PERIOD = timedelta(milliseconds=250)
# Time for evictions: the requests of the evicted model must end.
UNLOAD_TIME = timedelta(milliseconds=300)
# A target that refused a model is not used for this long.
REFUSAL_REST = timedelta(milliseconds=500)
# Delay before the next search for a target that can load a model.
RETRY_PAUSE = timedelta(milliseconds=60)

LinkOf = Callable[[str], PeerLink | None]
LogLine = Callable[..., None]
Count = Callable[..., None]


@dataclass(slots=True)
class Loader:
    """Loads on demand; one task per model asks, any number wait for it."""

    book: TargetBook
    link_of: LinkOf
    clock: Clock
    log: LogLine
    count: Count
    demand: Callable[[], Demand]
    _changed: Event = field(default_factory=Event)
    _asking: set[str] = field(default_factory=set)
    _resting_until: dict[str, timedelta] = field(default_factory=dict)
    _expected_by_model: dict[str, timedelta] = field(default_factory=dict)

    def note_change(self) -> None:
        """Wake the requests that wait for a model, as holdings changed."""
        self._changed.set()
        self._changed.clear()

    def expected_at(self, model: str) -> timedelta | None:
        """Return when a model should be in place, if it is being loaded."""
        return self._expected_by_model.get(model)

    def ask(self, service: Service, model: str) -> None:
        """Have a model loaded, unless it is being requested already."""
        if model not in self._asking:
            self._asking.add(model)
            gevent.spawn(self._load_somewhere, service, model)

    def await_change(self, timeout: timedelta) -> None:
        """Wait for a change of what targets hold."""
        self._changed.wait(timeout.total_seconds())

    def load_adapter(
        self,
        target: Target,
        model: str,
        adapter: str,
        order_left: timedelta,
        wait_most: timedelta,
    ) -> bool:
        """Have an adapter loaded at a target; return whether it is.

        `order_left` is how long its engine accepts no order yet. The load may
        continue after `wait_most`, for other requests.
        """
        ask_id = new_request_id()
        patience = order_left * PATIENCE_FACTOR
        reply = self._ask(
            target.entry.target_id,
            AdapterAsk(ask_id, model, adapter, to_milliseconds(patience)),
            max(min(ADAPTER_MOST + patience, wait_most), timedelta()),
        )
        in_place = reply is not None and reply.in_place
        self.count('adapter_loads_total', outcome=_outcome(in_place))
        if not in_place:
            cause = 'silent' if reply is None else reply.cause
            self.log(
                'adapter_not_loaded',
                target=target.entry.target_id,
                adapter=f'{model}/{adapter}',
                cause=cause,
            )
        return in_place

    def note_adapter_use(self, target: Target, terms: RequestTerms) -> None:
        """Notify a keeper that a request uses its adapter, if it names one."""
        link = self.link_of(target.entry.target_id)
        if link is None or terms.adapter is None:
            return
        link.send(
            AdapterUse(terms.request_id, terms.model or '', terms.adapter)
        )

    def carry_out(self, move: Move) -> bool:
        """Request a move from a keeper; return whether it succeeded."""
        ask_id = new_request_id()
        ask = ModelAsk(ask_id, move.model, move.evict)
        reply = self._ask(move.target_id, ask, MODEL_MOST)
        in_place = reply is not None and reply.in_place
        if not in_place:
            rest_until = self.clock.elapsed() + REFUSAL_REST
            self._resting_until[move.target_id] = rest_until
        self.count('model_moves_total', outcome=_outcome(in_place))
        self.log(
            'model_move',
            target=move.target_id,
            model=move.model,
            evicted=move.evict,
            in_place=in_place,
            cause='silent' if reply is None else reply.cause,
        )
        return in_place

    def _ask(
        self,
        target_id: str,
        ask: ModelAsk | AdapterAsk,
        timeout: timedelta,
    ) -> LoadReply | None:
        """Return a keeper's reply, or None.

        A keeper that became unresponsive, left or restarted will not reply:
        the wait ends within WATCH_PERIOD after this is known.
        """
        link = self.link_of(target_id)
        target = self.book.by_id.get(target_id)
        if link is None or target is None:
            return None
        asked = target.report.keeper if target.report else None
        asking = gevent.spawn(link.ask, ask.ask_id, ask, timeout)
        try:
            asking.join(WATCH_PERIOD.total_seconds())
            while not asking.ready() and self._may_reply(target_id, asked):
                asking.join(WATCH_PERIOD.total_seconds())
        finally:
            asking.kill(block=False)
        reply = asking.value
        return reply if isinstance(reply, LoadReply) else None

    def _may_reply(self, target_id: str, asked: str | None) -> bool:
        """Return whether the keeper that was asked may still reply."""
        target = self.book.by_id.get(target_id)
        if target is None or target.report is None:
            return target is not None
        return target.takes_orders(self.clock.elapsed()) and (
            asked in {None, target.report.keeper}
        )

    def _load_somewhere(self, service: Service, model: str) -> None:
        try:
            self._ask_best(service, model)
        finally:
            self._asking.discard(model)
            self._expected_by_model.pop(model, None)
            self.note_change()

    def _ask_best(self, service: Service, model: str) -> None:
        engine = service.engine
        if engine is None:
            return
        now = self.clock.elapsed()
        places = tuple(
            holding
            for holding in holdings(self.book, service.name, now)
            if self._resting_until.get(holding.target_id, now) <= now
        )
        loading = [holding for holding in places if holding.loading == model]
        if loading:
            self._await_elsewhere(service, engine, model)
            return
        move = place(model, places, engine, self.demand())
        if move is None:
            self.clock.sleep(RETRY_PAUSE)
            return
        self._expected_by_model[model] = now + move.load_time + UNLOAD_TIME
        if not self.carry_out(move):
            self.clock.sleep(RETRY_PAUSE)

    def _await_elsewhere(
        self,
        service: Service,
        engine: EngineTerms,
        model: str,
    ) -> None:
        """Wait while the model is loaded for another gateway."""
        now = self.clock.elapsed()
        give_up_at = now + engine.models_by_name[model].cold_load + UNLOAD_TIME
        self._expected_by_model[model] = give_up_at
        while self.clock.elapsed() < give_up_at:
            self.clock.sleep(RETRY_PAUSE)
            places = holdings(self.book, service.name, self.clock.elapsed())
            if all(holding.loading != model for holding in places):
                return


def _outcome(in_place: bool) -> str:
    return 'in_place' if in_place else 'refused'
