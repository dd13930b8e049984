"""A fake engine that checks the rules of orders, and a keeper for it."""

from datetime import timedelta
from random import Random

from verbenamux_contracts.messages import EngineNotice, KeeperHello, ModelSize
from verbenamux_keeper.engine import (
    EnginePort,
    EngineState,
    OrderAnswer,
    OrderKind,
)
from verbenamux_keeper.keeper import EngineLocation, Keeper
from verbenamux_keeper.pacing import StoreLoadLimiter

NOTICE = EngineNotice(
    version=1,
    models=tuple(ModelSize(f'm{number}', 70) for number in range(6)),
    weights_mb=200,
    adapter_places=3,
    store_loads_per_second=10,
    targets=1,
)

PLACE = EngineLocation('service', '127.0.0.1:1', 'here')
ORDER_ANSWER_TIMEOUT = timedelta(milliseconds=400)


class FakeEngine:
    """An engine that checks every rule of orders."""

    def __init__(self, clock, random=None):
        self.clock = clock
        self.random = random or Random(0)
        self.answer_loss_rate = 0.0
        self.models = {}
        self.loading = None
        self.pending = {}
        self.ready_at = timedelta()
        self.unanswered_loads = 0
        self.late_seconds = 2
        self.accepted_orders = 0
        self.start_count = 1
        self.highest_token = 0
        self.last_token = 0
        self.delayed_orders = []
        self.order_count = 0
        self.running = set()
        self.on_disk = set()
        self.is_unresponsive = False
        self.adapter_load_seconds = 0.009
        self.load_time = timedelta(seconds=1)

    def port(self):
        return EnginePort(
            self.read,
            lambda: f'engine-{self.start_count}',
            self.order,
            self.new_token,
        )

    def new_token(self):
        self.last_token += 1
        return self.last_token

    def read(self):
        self.proceed()
        if self.is_unresponsive:
            return None
        return EngineState(
            adapters_by_model={
                model: frozenset(adapters)
                for model, adapters in self.models.items()
            },
            pending=frozenset(self.pending),
            on_disk=frozenset(self.on_disk),
            running_ids=frozenset(self.running),
            is_busy=self.clock.elapsed() < self.ready_at,
            orders_taken=self.accepted_orders,
            started_ms=self.start_count,
        )

    def proceed(self):
        """Finish loads, and carry out what is due of the delayed orders."""
        now = self.clock.elapsed()
        if self.loading is not None and now >= self.ready_at:
            self.models[self.loading] = set()
            self.loading = None
        self.act_late(now)
        for name, ready_at in list(self.pending.items()):
            if ready_at <= now:
                del self.pending[name]
                model, _, adapter = name.partition('/')
                if model in self.models:
                    self.models[model].add(adapter)

    def order(self, target_id, token, order):
        self.proceed()
        self.order_count += 1
        if target_id != f'engine-{self.start_count}':
            return OrderAnswer.OTHER_TARGET
        if token < self.highest_token:
            return OrderAnswer.FENCED
        self.highest_token = token
        if self.unanswered_loads and order.kind is OrderKind.LOAD:
            self.unanswered_loads -= 1
            self.delay(order, self.late_seconds)
            self.clock.advance(ORDER_ANSWER_TIMEOUT)
            return OrderAnswer.UNKNOWN
        if (
            self.answer_loss_rate
            and self.random.random() < self.answer_loss_rate
        ):
            if self.random.random() < 0.5:
                self.delay(order, self.random.random() * 12)
            elif self.accepts(order):
                self.execute(order)
            return OrderAnswer.UNKNOWN
        if not self.accepts(order):
            return OrderAnswer.CONFLICT
        self.execute(order)
        return OrderAnswer.ACCEPTED

    def accepts(self, order):
        is_busy = self.clock.elapsed() < self.ready_at
        return not is_busy and order.after_orders == self.accepted_orders

    def delay(self, order, seconds):
        due_at = self.clock.elapsed() + timedelta(seconds=seconds)
        self.delayed_orders.append((due_at, order))

    def act_late(self, until=timedelta.max):
        """Carry out, or refuse, the delayed orders that are due by then."""
        due = [order for at, order in self.delayed_orders if at <= until]
        self.delayed_orders = [
            (at, order) for at, order in self.delayed_orders if at > until
        ]
        for order in due:
            if self.accepts(order):
                self.execute(order)

    def execute(self, order):
        self.accepted_orders += 1
        if order.adapter is not None:
            self.execute_adapter_order(order)
        elif order.kind is OrderKind.LOAD:
            self.loading = order.model
            self.ready_at = self.clock.elapsed() + self.load_time
            held = {*self.models, order.model}
            assert 70 * len(held) <= 200, 'the engine crashed'
        else:
            self.models.pop(order.model, None)

    def execute_adapter_order(self, order):
        if order.kind is OrderKind.UNLOAD:
            self.models[order.model].discard(order.adapter)
            return
        name = f'{order.model}/{order.adapter}'
        load_time = timedelta(seconds=self.adapter_load_seconds)
        self.pending[name] = self.clock.elapsed() + load_time
        held = sum(map(len, self.models.values())) + len(self.pending)
        assert held <= 3, 'the engine crashed'

    def restart(self):
        self.start_count += 1
        self.accepted_orders = 0
        self.highest_token = 0
        self.models = {}
        self.loading = None
        self.pending = {}
        self.ready_at = timedelta()


def make_keeper(engine, clock, sent, *, is_first_start=True):
    keeper = Keeper(
        PLACE,
        engine.port(),
        StoreLoadLimiter(clock.elapsed, is_first_start=is_first_start),
        clock,
        lambda sender, message: sent.append((sender, message)),
        lambda event, **fields: None,
    )
    keeper.receive(b'gateway', KeeperHello('gateway'))
    keeper.receive(b'gateway', NOTICE)
    return keeper
