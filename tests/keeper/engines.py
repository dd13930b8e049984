"""An engine that checks every rule of orders, and a keeper beside it."""

from datetime import timedelta
from random import Random

from verbenamux_contracts.messages import EngineNotice, KeeperHello, ModelSize
from verbenamux_keeper.engine import (
    EnginePort,
    EngineState,
    OrderAnswer,
    OrderKind,
)
from verbenamux_keeper.keeper import EnginePlace, Keeper
from verbenamux_keeper.pacing import StorePace

NOTICE = EngineNotice(
    version=1,
    models=tuple(ModelSize(f'm{number}', 70) for number in range(6)),
    weights_mb=200,
    adapter_places=3,
    store_loads_per_second=10,
    targets=1,
)

PLACE = EnginePlace('service', '127.0.0.1:1', 'here')


class FakeEngine:
    """An engine that checks every rule an order must keep."""

    def __init__(self, clock, random=None):
        self.clock = clock
        self.random = random or Random(0)
        self.lose = 0.0
        self.models = {}
        self.pending = {}
        self.ready_at = timedelta()
        self.taken = 0
        self.started = 1
        self.highest_token = 0
        self.tokens = 0
        self.late = []
        self.orders = 0
        self.running = set()
        self.on_disk = set()
        self.is_silent = False
        self.adapter_seconds = 0.009

    def port(self):
        return EnginePort(
            self.read,
            lambda: f'engine-{self.started}',
            self.order,
            self.new_token,
        )

    def new_token(self):
        self.tokens += 1
        return self.tokens

    def read(self):
        self.settle()
        if self.is_silent:
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
            orders_taken=self.taken,
            started_ms=self.started,
        )

    def settle(self):
        now = self.clock.elapsed()
        for name, ready_at in list(self.pending.items()):
            if ready_at <= now:
                del self.pending[name]
                model, _, adapter = name.partition('/')
                if model in self.models:
                    self.models[model].add(adapter)

    def order(self, target_id, token, order):
        self.settle()
        self.orders += 1
        if target_id != f'engine-{self.started}':
            return OrderAnswer.OTHER_TARGET
        if token < self.highest_token:
            return OrderAnswer.FENCED
        self.highest_token = token
        if self.lose and self.random.random() < self.lose:
            if self.random.random() < 0.5:
                self.late.append(order)
            elif order.after_orders == self.taken:
                self.carry_out(order)
            return OrderAnswer.UNKNOWN
        if order.after_orders != self.taken:
            return OrderAnswer.CONFLICT
        if self.clock.elapsed() < self.ready_at:
            return OrderAnswer.CONFLICT
        self.carry_out(order)
        return OrderAnswer.ACCEPTED

    def act_late(self):
        for order in self.late:
            if order.after_orders == self.taken:
                self.carry_out(order)
        self.late = []

    def carry_out(self, order):
        self.taken += 1
        if order.adapter is not None:
            self.carry_out_adapter(order)
        elif order.kind is OrderKind.LOAD:
            self.models[order.model] = set()
            self.ready_at = self.clock.elapsed() + timedelta(seconds=1)
            assert 70 * len(self.models) <= 200, 'the engine crashed'
        else:
            self.models.pop(order.model, None)

    def carry_out_adapter(self, order):
        if order.kind is OrderKind.UNLOAD:
            self.models[order.model].discard(order.adapter)
            return
        name = f'{order.model}/{order.adapter}'
        load_time = timedelta(seconds=self.adapter_seconds)
        self.pending[name] = self.clock.elapsed() + load_time
        held = sum(map(len, self.models.values())) + len(self.pending)
        assert held <= 3, 'the engine crashed'

    def restart(self):
        self.started += 1
        self.taken = 0
        self.highest_token = 0
        self.models = {}
        self.pending = {}


def make_keeper(engine, clock, sent, *, is_first_start=True):
    made = Keeper(
        PLACE,
        engine.port(),
        StorePace(clock.elapsed, is_first_start=is_first_start),
        clock,
        lambda sender, message: sent.append((sender, message)),
        lambda event, **fields: None,
    )
    made.receive(b'gateway', KeeperHello('gateway'))
    made.receive(b'gateway', NOTICE)
    return made
