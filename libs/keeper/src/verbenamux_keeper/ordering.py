"""Orders to one engine: each is given until the engine took it."""

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

# An order is given up after so long.
ORDER_MOST = timedelta(seconds=4)
# Pause before an order that got no answer is sent again.
ANSWER_PAUSE = timedelta(milliseconds=200)

TAKEN_ANSWERS = frozenset((OrderAnswer.ACCEPTED, OrderAnswer.HOLDS))


class EngineOrders:
    """An engine as last read, and the orders given to it.

    `is_heard` tells whether the newest read got an answer. Who must see the
    engine unchanged between a read and an order holds `lock`. Once
    `is_stopping` no order is given any more.
    """

    def __init__(
        self,
        port: EnginePort,
        clock: Clock,
        log: Callable[..., None],
        count: Callable[..., None],
        note_read: Callable[[EngineState], None],
    ) -> None:
        """Start with nothing known; `note_read` gets whatever is read."""
        self.target_id: str | None = None
        self.engine: EngineState | None = None
        self.is_heard = False
        self.is_stopping = False
        self.lock = RLock()
        self._port = port
        self._clock = clock
        self._log = log
        self._count = count
        self._note_read = note_read
        self._token: int | None = None
        self._last_id: str | None = None
        self._starts = 0

    def refresh(self) -> EngineState | None:
        """Read the engine; a restarted one is identified anew."""
        read = self._port.read()
        known = self.engine
        self.is_heard = read is not None
        if read is None:
            return None
        is_restarted = (
            known is None
            or read.started_ms != known.started_ms
            or read.orders_taken < known.orders_taken
        )
        if is_restarted or self.target_id is None:
            self.target_id = self._port.identify()
            self._note_id(self.target_id)
            self._log(
                'engine_identified',
                target=self.target_id,
                started_ms=read.started_ms,
                models=sorted(read.models),
            )
        self.engine = read
        self._note_read(read)
        return read

    def _note_id(self, target_id: str | None) -> None:
        """Count the engine's starts: each has another id.

        The numbers in reports do not prove one, as reads overtake each other.
        """
        if target_id is None:
            return
        if self._last_id not in {None, target_id}:
            self._starts += 1
        self._last_id = target_id

    def give(
        self,
        kind: OrderKind,
        model: str,
        adapter: str | None,
    ) -> bool:
        """Give an order until the engine took it; tell whether it did."""
        give_up_at = self._clock.elapsed() + ORDER_MOST
        with self.lock:
            while self._clock.elapsed() < give_up_at and not self.is_stopping:
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
        target_id = self.target_id
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
        period: timedelta,
    ) -> str:
        """Read until a condition holds; return why it does not, or nothing.

        An engine that restarted meanwhile has lost its orders.
        """
        starts = self._starts
        give_up_at = self._clock.elapsed() + timeout
        while self._clock.elapsed() < give_up_at:
            engine = self.refresh()
            if engine is not None and condition(engine):
                return ''
            if self._starts > starts:
                return 'the engine restarted'
            self._clock.sleep(period)
        return 'the engine did not finish the order in time'
