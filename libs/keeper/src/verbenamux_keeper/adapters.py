"""Adapters of one engine: which are in use, and which make way."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.messages import AdapterAsk, AdapterUse, EngineNotice
from verbenamux_keeper.engine import EngineState, OrderKind
from verbenamux_keeper.holding import without_versions
from verbenamux_keeper.ordering import EngineOrders

ADAPTER_PERIOD = timedelta(milliseconds=4)
# An adapter's load is given up after so long.
ADAPTER_MOST = timedelta(milliseconds=600)
# An adapter used within this time is not made to go.
ADAPTER_REST = timedelta(milliseconds=100)
# The engine's report may show a request's run only this long after it was sent.
RUN_NEWS = timedelta(seconds=1)
# Adapters that may be on their way to an engine at the same time.
ADAPTERS_PENDING_MOST = 4


@dataclass(frozen=True, slots=True)
class AdapterRun:
    """A request that was sent to the engine, with the adapter it uses."""

    adapter: str
    sent_at: timedelta


class AdapterUses:
    """When each adapter was used last, and by which requests it is now."""

    def __init__(self, elapsed: Callable[[], timedelta]) -> None:
        """Start with no use known."""
        self._elapsed = elapsed
        self._used_at_by_adapter: dict[str, timedelta] = {}
        self._run_by_request: dict[str, AdapterRun] = {}

    def note_use(self, adapter: str) -> None:
        """Note that an adapter, as MODEL/ADAPTER, is used now."""
        self._used_at_by_adapter[adapter] = self._elapsed()

    def note_run(self, use: AdapterUse) -> None:
        """Note that a request is sent that uses an adapter."""
        adapter = f'{use.model}/{use.adapter}'
        self.note_use(adapter)
        self._run_by_request[use.request_id] = AdapterRun(
            adapter,
            self._elapsed(),
        )

    def forget_ended_runs(self, engine: EngineState) -> None:
        """Forget requests that do not run; what was just sent counts as run."""
        now = self._elapsed()
        for request_id, run in tuple(self._run_by_request.items()):
            is_news = now - run.sent_at < RUN_NEWS
            if not is_news and request_id not in engine.running_ids:
                self._run_by_request.pop(request_id)

    def forget(self, adapter: str) -> None:
        """Forget when an adapter was used, since it goes."""
        self._used_at_by_adapter.pop(adapter, None)

    def at_rest(self, adapters: frozenset[str]) -> Iterator[str]:
        """Yield those that no request uses, the longest unused first."""
        running = {run.adapter for run in self._run_by_request.values()}
        now = self._elapsed()
        used_at = self._used_at_by_adapter
        never = timedelta.min
        oldest = sorted(
            adapters - running,
            key=lambda adapter: (used_at.get(adapter, never), adapter),
        )
        for adapter in oldest:
            if now - used_at.get(adapter, timedelta()) >= ADAPTER_REST:
                yield adapter


class AdapterOrders:
    """Loads adapters as they are asked for."""

    def __init__(
        self,
        orders: EngineOrders,
        uses: AdapterUses,
        tell: Callable[[], None],
    ) -> None:
        """Give orders through `orders`; `tell` tells of what came of them."""
        self._orders = orders
        self._uses = uses
        self._tell = tell

    def load(self, ask: AdapterAsk, notice: EngineNotice | None) -> str:
        """Load an adapter; return why it is not in place, or nothing."""
        wanted = f'{ask.model}/{ask.adapter}'
        self._uses.note_use(wanted)
        engine = self._orders.engine
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if wanted in engine.adapters:
            return ''
        with self._orders.lock:
            engine = self._orders.refresh() or engine
            if wanted not in engine.adapters | without_versions(engine.pending):
                cause = self._order(ask, engine, notice)
                if cause:
                    return cause
        cause = self._orders.await_state(
            lambda state: wanted in state.adapters,
            ADAPTER_MOST,
            ADAPTER_PERIOD,
        )
        self._tell()
        return cause

    def _order(
        self,
        ask: AdapterAsk,
        engine: EngineState,
        notice: EngineNotice,
    ) -> str:
        if ask.model not in engine.models:
            return 'the engine does not hold the model'
        if len(engine.pending) >= ADAPTERS_PENDING_MOST:
            self._orders.await_state(
                lambda state: len(state.pending) < ADAPTERS_PENDING_MOST,
                ADAPTER_MOST,
                ADAPTER_PERIOD,
            )
            engine = self._orders.engine or engine
        taken = len(engine.adapters) + len(engine.pending)
        if taken >= notice.adapter_places and not self._drop_one(engine):
            return 'all places for adapters are in use'
        if self._orders.give(OrderKind.LOAD, ask.model, ask.adapter):
            return ''
        return 'the engine did not take the order'

    def _drop_one(self, engine: EngineState) -> bool:
        """Unload the adapter that was used the longest ago.

        One that requests run with is passed over: the engine would take no
        other order until they end.
        """
        for adapter in self._uses.at_rest(engine.adapters):
            model, _, name = adapter.partition('/')
            if self._orders.give(OrderKind.UNLOAD, model, name):
                self._uses.forget(adapter)
                return True
        return False
