"""Orders to one engine: each is retried until the engine accepts it."""

from collections.abc import Callable
from datetime import timedelta

from gevent.lock import RLock

from verbenamux_contracts.clock import Clock
from verbenamux_keeper.engine import (
    EnginePort,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from verbenamux_keeper.holding import is_done

ORDER_TIMEOUT = timedelta(seconds=4)
# Delay before an order without an answer is retried.
ORDER_RETRY_DELAY = timedelta(milliseconds=200)

SUCCESSFUL_ANSWERS = frozenset((OrderAnswer.ACCEPTED, OrderAnswer.HOLDS))
# Another try would have the same answer.
FINAL_ANSWERS = frozenset((OrderAnswer.INVALID, OrderAnswer.NO_ROOM))


def _needs_no_room(_engine: EngineState) -> bool:
    """Return True: an unloading order makes room."""
    return True


class EngineOrders:
    """An engine as last read, and the orders sent to it.

    `is_responsive` is whether the newest read got an answer. Code that needs
    the engine unchanged between a read and an order holds `lock`. Once
    `is_stopping` is set, no more orders are sent.
    """

    def __init__(
        self,
        port: EnginePort,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[..., None],
        on_read: Callable[[EngineState], None],
    ) -> None:
        """Start without a state; `on_read` gets each state that is read."""
        self.target_id: str | None = None
        self.engine: EngineState | None = None
        self.is_responsive = False
        self.is_stopping = False
        self.lock = RLock()
        self._port = port
        self._clock = clock
        self._log = log
        self._count = count
        self._on_read = on_read
        self._token: int | None = None
        self._last_target_id: str | None = None
        self._restarts = 0

    def refresh(self) -> EngineState | None:
        """Read the engine; after a restart it is identified again."""
        read = self._port.read()
        previous = self.engine
        self.is_responsive = read is not None
        if read is None:
            return None
        is_restarted = (
            previous is None
            or read.started_ms != previous.started_ms
            or read.orders_taken < previous.orders_taken
        )
        if is_restarted or self.target_id is None:
            self.target_id = self._port.identify()
            self._record_target_id(self.target_id)
            self._log(
                'engine_identified',
                target=self.target_id,
                started_ms=read.started_ms,
                models=sorted(read.models),
            )
        self.engine = read
        self._on_read(read)
        return read

    def _record_target_id(self, target_id: str | None) -> None:
        """Count the engine's restarts: each start has another id.

        The counts in reports do not prove a restart, as reads can overtake
        each other.
        """
        if target_id is None:
            return
        if self._last_target_id not in {None, target_id}:
            self._restarts += 1
        self._last_target_id = target_id

    def give(
        self,
        kind: OrderKind,
        model: str,
        adapter: str | None,
        has_room: Callable[[EngineState], bool] = _needs_no_room,
    ) -> bool:
        """Retry an order until the engine accepts it; return whether it did.

        `has_room` is asked of the state that the order is for, before each
        try: earlier orders without an answer may be carried out in between.
        """
        give_up_at = self._clock.elapsed() + ORDER_TIMEOUT
        with self.lock:
            while self._clock.elapsed() < give_up_at and not self.is_stopping:
                answer = self._order_once(kind, model, adapter, has_room)
                if answer in SUCCESSFUL_ANSWERS:
                    return True
                if answer in FINAL_ANSWERS:
                    return False
                if answer is OrderAnswer.CONFLICT and adapter is not None:
                    # The engine is loading a model: another engine is faster.
                    return False
                self._clock.sleep(ORDER_RETRY_DELAY)
        return False

    def _order_once(
        self,
        kind: OrderKind,
        model: str,
        adapter: str | None,
        has_room: Callable[[EngineState], bool],
    ) -> OrderAnswer:
        """Send an order, unless the engine's state shows it as done.

        A busy engine's order is not sent: it would be refused, or be carried
        out late, on top of a model that the report does not name yet.
        """
        engine = self.refresh()
        token = self._fencing_token()
        target_id = self.target_id
        if engine is None or token is None or target_id is None:
            return OrderAnswer.UNKNOWN
        if is_done(engine, kind, model, adapter):
            return OrderAnswer.HOLDS
        if engine.is_busy:
            return OrderAnswer.CONFLICT
        if not has_room(engine):
            self._log(
                'order_withheld',
                order=kind.value,
                model=model,
                adapter=adapter,
                after_orders=engine.orders_taken,
                holds=sorted(engine.models | engine.adapters),
            )
            return OrderAnswer.NO_ROOM
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
            self._token = None
        elif answer is OrderAnswer.OTHER_TARGET:
            self.target_id = None
        return answer

    def _fencing_token(self) -> int | None:
        if self._token is None:
            self._token = self._port.new_fencing_token()
        return self._token

    def await_state(
        self,
        condition: Callable[[EngineState], bool],
        timeout: timedelta,
        interval: timedelta,
    ) -> str:
        """Read until a condition holds; return why it does not, if so.

        An engine that restarted meanwhile has lost its orders.
        """
        restarts = self._restarts
        give_up_at = self._clock.elapsed() + timeout
        while self._clock.elapsed() < give_up_at:
            engine = self.refresh()
            if engine is not None and condition(engine):
                return ''
            if self._restarts > restarts:
                return 'the engine restarted'
            self._clock.sleep(interval)
        return 'the engine did not finish the order in time'
