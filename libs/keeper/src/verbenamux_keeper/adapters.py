"""Adapters of one engine: which are in use, and which are evicted."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.messages import AdapterAsk, AdapterUse, EngineNotice
from verbenamux_keeper.engine import EngineState, OrderKind
from verbenamux_keeper.holding import without_versions
from verbenamux_keeper.orders import EngineOrders

ADAPTER_READ_INTERVAL = timedelta(milliseconds=4)
ADAPTER_LOAD_TIMEOUT = timedelta(milliseconds=600)
# An adapter used within this time is not unloaded.
MIN_ADAPTER_IDLE_TIME = timedelta(milliseconds=100)
# The engine's report may show a request as running only this long after it was
# sent.
MAX_RUN_REPORT_DELAY = timedelta(seconds=1)
# Adapters that an engine may be loading at the same time.
MAX_PENDING_ADAPTERS = 4


@dataclass(frozen=True, slots=True)
class AdapterRun:
    """A request that was sent to the engine, with the adapter it uses."""

    adapter: str
    sent_at: timedelta


class AdapterUsage:
    """When each adapter was last used, and which requests use it now."""

    def __init__(self, elapsed: Callable[[], timedelta]) -> None:
        """Start without any recorded use."""
        self._elapsed = elapsed
        self._last_used_at_by_adapter: dict[str, timedelta] = {}
        self._run_by_request: dict[str, AdapterRun] = {}

    def record_use(self, adapter: str) -> None:
        """Record that an adapter, as MODEL/ADAPTER, is used now."""
        self._last_used_at_by_adapter[adapter] = self._elapsed()

    def record_run(self, use: AdapterUse) -> None:
        """Record that a request that uses an adapter is sent."""
        adapter = f'{use.model}/{use.adapter}'
        self.record_use(adapter)
        self._run_by_request[use.request_id] = AdapterRun(
            adapter,
            self._elapsed(),
        )

    def forget_ended_runs(self, engine: EngineState) -> None:
        """Forget requests that ended; one just sent counts as running."""
        now = self._elapsed()
        for request_id, run in tuple(self._run_by_request.items()):
            is_recent = now - run.sent_at < MAX_RUN_REPORT_DELAY
            if not is_recent and request_id not in engine.running_ids:
                self._run_by_request.pop(request_id)

    def forget(self, adapter: str) -> None:
        """Forget when an adapter that is unloaded was used."""
        self._last_used_at_by_adapter.pop(adapter, None)

    def idle_adapters(self, adapters: frozenset[str]) -> Iterator[str]:
        """Yield those that no request uses, least recently used first."""
        running = {run.adapter for run in self._run_by_request.values()}
        now = self._elapsed()
        last_used_at = self._last_used_at_by_adapter
        never = timedelta.min
        least_recently_used = sorted(
            adapters - running,
            key=lambda adapter: (last_used_at.get(adapter, never), adapter),
        )
        for adapter in least_recently_used:
            if (
                now - last_used_at.get(adapter, timedelta())
                >= MIN_ADAPTER_IDLE_TIME
            ):
                yield adapter


class AdapterOrders:
    """Loads adapters on request."""

    def __init__(
        self,
        orders: EngineOrders,
        usage: AdapterUsage,
        publish_changes: Callable[[], None],
    ) -> None:
        """Send orders through `orders`; `publish_changes` reports results."""
        self._orders = orders
        self._usage = usage
        self._publish_changes = publish_changes

    def load(self, request: AdapterAsk, notice: EngineNotice | None) -> str:
        """Load an adapter; return why it is not loaded, or an empty string."""
        adapter = f'{request.model}/{request.adapter}'
        self._usage.record_use(adapter)
        engine = self._orders.engine
        if notice is None or engine is None:
            return 'the engine is not known yet'
        if adapter in engine.adapters:
            return ''
        with self._orders.lock:
            engine = self._orders.refresh() or engine
            if adapter not in engine.adapters | without_versions(
                engine.pending
            ):
                cause = self._order(request, engine, notice)
                if cause:
                    return cause
        cause = self._orders.await_state(
            lambda state: adapter in state.adapters,
            ADAPTER_LOAD_TIMEOUT,
            ADAPTER_READ_INTERVAL,
        )
        self._publish_changes()
        return cause

    def _order(
        self,
        request: AdapterAsk,
        engine: EngineState,
        notice: EngineNotice,
    ) -> str:
        if request.model not in engine.models:
            return 'the engine does not hold the model'
        if len(engine.pending) >= MAX_PENDING_ADAPTERS:
            self._orders.await_state(
                lambda state: len(state.pending) < MAX_PENDING_ADAPTERS,
                ADAPTER_LOAD_TIMEOUT,
                ADAPTER_READ_INTERVAL,
            )
            engine = self._orders.engine or engine

        def has_room(state: EngineState) -> bool:
            used_places = len(state.adapters) + len(state.pending)
            return used_places < notice.adapter_places

        if not has_room(engine) and not self._unload_least_recently_used(
            engine
        ):
            return 'all places for adapters are in use'
        is_given = self._orders.give(
            OrderKind.LOAD, request.model, request.adapter, has_room
        )
        return '' if is_given else 'the engine did not take the order'

    def _unload_least_recently_used(self, engine: EngineState) -> bool:
        """Unload the least recently used adapter.

        One that running requests use is skipped: the engine would accept
        no other order until they end.
        """
        for adapter in self._usage.idle_adapters(engine.adapters):
            model, _, name = adapter.partition('/')
            if self._orders.give(OrderKind.UNLOAD, model, name):
                self._usage.forget(adapter)
                return True
        return False
