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
from verbenamux_relay.model_placement import Demand, Move, place
from verbenamux_relay.target_selection import holdings
from verbenamux_relay.targets import Target, TargetTable
from verbenamux_relay.terms import RequestTerms
from verbenamux_runtime.peers import PeerLink

# How long a keeper may take for an adapter before another target is tried.
ADAPTER_TIMEOUT = timedelta(milliseconds=400)
# A model order may take longer than predicted by this factor.
ORDER_TIMEOUT_FACTOR = 1.5
# How long a keeper may take for a model, loads from a busy store included.
MODEL_TIMEOUT = timedelta(seconds=12)
# A keeper that becomes unresponsive meanwhile is noticed within this time.
WATCH_INTERVAL = timedelta(milliseconds=250)
# Time for evictions: the requests of the evicted model must end.
EVICTION_TIME = timedelta(milliseconds=300)
# A target that refused a model is not used for this long.
REFUSAL_COOLDOWN = timedelta(milliseconds=500)
# Delay before the next search for a target that can load a model.
RETRY_DELAY = timedelta(milliseconds=60)

LinkOf = Callable[[str], PeerLink | None]
LogLine = Callable[..., None]
Count = Callable[..., None]


@dataclass(slots=True)
class Loader:
    """Loads on demand; one task per model asks, any number wait for it."""

    target_table: TargetTable
    link_of: LinkOf
    clock: Clock
    log: LogLine
    count: Count
    demand: Callable[[], Demand]
    _changed: Event = field(default_factory=Event)
    _requested_models: set[str] = field(default_factory=set)
    _cooldown_until_by_target: dict[str, timedelta] = field(
        default_factory=dict
    )
    _expected_at_by_model: dict[str, timedelta] = field(default_factory=dict)

    def notify_change(self) -> None:
        """Wake the requests that wait for a model, as holdings changed."""
        self._changed.set()
        self._changed.clear()

    def expected_at(self, model: str) -> timedelta | None:
        """Return when a model should be in place, if it is being loaded."""
        return self._expected_at_by_model.get(model)

    def request_model(self, service: Service, model: str) -> None:
        """Have a model loaded, unless it is being requested already."""
        if model not in self._requested_models:
            self._requested_models.add(model)
            gevent.spawn(self._load_somewhere, service, model)

    def await_change(self, timeout: timedelta) -> None:
        """Wait for a change of what targets hold."""
        self._changed.wait(timeout.total_seconds())

    def load_adapter(
        self,
        target: Target,
        model: str,
        adapter: str,
        order_time_left: timedelta,
        max_wait: timedelta,
    ) -> bool:
        """Have an adapter loaded at a target; return whether it is.

        `order_time_left` is how long its engine accepts no order yet. The load
        may continue after `max_wait`, for other requests.
        """
        ask_id = new_request_id()
        order_timeout = order_time_left * ORDER_TIMEOUT_FACTOR
        reply = self._request_load(
            target.entry.target_id,
            AdapterAsk(ask_id, model, adapter, to_milliseconds(order_timeout)),
            max(min(ADAPTER_TIMEOUT + order_timeout, max_wait), timedelta()),
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

    def notify_adapter_use(self, target: Target, terms: RequestTerms) -> None:
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
        request = ModelAsk(ask_id, move.model, move.evict)
        reply = self._request_load(move.target_id, request, MODEL_TIMEOUT)
        in_place = reply is not None and reply.in_place
        if not in_place:
            cooldown_until = self.clock.elapsed() + REFUSAL_COOLDOWN
            self._cooldown_until_by_target[move.target_id] = cooldown_until
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

    def _request_load(
        self,
        target_id: str,
        request: ModelAsk | AdapterAsk,
        timeout: timedelta,
    ) -> LoadReply | None:
        """Return a keeper's reply, or None.

        A keeper that became unresponsive, left or restarted will not reply:
        the wait ends within WATCH_INTERVAL after this is known.
        """
        link = self.link_of(target_id)
        target = self.target_table.by_id.get(target_id)
        if link is None or target is None:
            return None
        asked_keeper = target.report.keeper if target.report else None
        pending_reply = gevent.spawn(link.ask, request.ask_id, request, timeout)
        try:
            pending_reply.join(WATCH_INTERVAL.total_seconds())
            while not pending_reply.ready() and self._may_reply(
                target_id, asked_keeper
            ):
                pending_reply.join(WATCH_INTERVAL.total_seconds())
        finally:
            pending_reply.kill(block=False)
        reply = pending_reply.value
        return reply if isinstance(reply, LoadReply) else None

    def _may_reply(self, target_id: str, asked_keeper: str | None) -> bool:
        """Return whether the keeper that was asked may still reply."""
        target = self.target_table.by_id.get(target_id)
        if target is None or target.report is None:
            return target is not None
        return target.accepts_orders(self.clock.elapsed()) and (
            asked_keeper in {None, target.report.keeper}
        )

    def _load_somewhere(self, service: Service, model: str) -> None:
        try:
            self._load_at_best_target(service, model)
        finally:
            self._requested_models.discard(model)
            self._expected_at_by_model.pop(model, None)
            self.notify_change()

    def _load_at_best_target(self, service: Service, model: str) -> None:
        engine = service.engine
        if engine is None:
            return
        now = self.clock.elapsed()
        candidates = tuple(
            holding
            for holding in holdings(self.target_table, service.name, now)
            if self._cooldown_until_by_target.get(holding.target_id, now) <= now
        )
        loading = [
            holding for holding in candidates if holding.loading == model
        ]
        if loading:
            self._await_other_load(service, engine, model)
            return
        move = place(model, candidates, engine, self.demand())
        if move is None:
            self.clock.sleep(RETRY_DELAY)
            return
        self._expected_at_by_model[model] = now + move.load_time + EVICTION_TIME
        if not self.carry_out(move):
            self.clock.sleep(RETRY_DELAY)

    def _await_other_load(
        self,
        service: Service,
        engine: EngineTerms,
        model: str,
    ) -> None:
        """Wait while the model is loaded for another gateway."""
        now = self.clock.elapsed()
        give_up_at = (
            now + engine.models_by_name[model].cold_load + EVICTION_TIME
        )
        self._expected_at_by_model[model] = give_up_at
        while self.clock.elapsed() < give_up_at:
            self.clock.sleep(RETRY_DELAY)
            candidates = holdings(
                self.target_table, service.name, self.clock.elapsed()
            )
            if all(holding.loading != model for holding in candidates):
                return


def _outcome(in_place: bool) -> str:
    return 'in_place' if in_place else 'refused'
