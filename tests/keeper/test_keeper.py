"""Orders to an engine that loses answers, restarts and acts late."""

from datetime import timedelta
from random import Random

import gevent
import pytest

from keeper.engines import NOTICE, PLACE, FakeEngine, make_keeper
from verbenamux_contracts.clock import ManualClock, SystemClock
from verbenamux_contracts.messages import (
    AdapterAsk,
    AdapterUse,
    KeeperHello,
    LoadReply,
    ModelAsk,
)
from verbenamux_keeper.adapters import RUN_NEWS
from verbenamux_keeper.engine import (
    EngineState,
)
from verbenamux_keeper.holding import fits
from verbenamux_keeper.keeper import READ_PERIOD, Keeper
from verbenamux_keeper.pacing import StorePace


@pytest.fixture
def engine(clock):
    return FakeEngine(clock)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def keeper(engine, clock, sent):
    return make_keeper(engine, clock, sent)


def ask(keeper, sent, model, *evict):
    keeper._answer_model(b'gateway', ModelAsk('ask', model, evict))
    return sent[-1][1]


def ask_adapter(keeper, sent, model, adapter):
    keeper._answer_adapter(b'gateway', AdapterAsk('ask', model, adapter))
    return sent[-1][1]


def test_a_model_is_loaded_and_told_of(keeper, sent, engine):
    assert ask(keeper, sent, 'm1').in_place
    assert set(engine.models) == {'m1'}
    reports = [message for _, message in sent if hasattr(message, 'models')]
    assert reports[-1].models == ('m1',)


def test_an_engine_that_crashed_is_not_told_of(keeper, sent, engine, clock):
    """inc-ccbf: gateways took the keeper's word for the engine's life.

    A keeper that reads nothing knows nothing: it must be as silent as its
    engine, however often gateways ask.
    """

    def read_and_tell():
        sent.clear()
        for _ in range(20):
            clock.advance(READ_PERIOD)
            keeper.orders.refresh()
            keeper.tell()
            keeper.receive(b'gateway', KeeperHello('g', wants_report=True))
        return len(sent)

    assert read_and_tell()
    engine.is_silent = True
    assert not read_and_tell()
    engine.is_silent = False
    engine.restart()
    assert read_and_tell()
    assert sent[-1][1].target_id == 'engine-2'


def test_memory_is_never_overrun(keeper, sent, engine, clock):
    for name in ('m1', 'm2'):
        assert ask(keeper, sent, name).in_place
    reply = ask(keeper, sent, 'm3')
    assert not reply.in_place
    assert 'room' in reply.cause
    clock.advance(timedelta(seconds=2))
    assert ask(keeper, sent, 'm3', 'm1').in_place
    assert set(engine.models) == {'m2', 'm3'}


def test_a_model_that_has_just_come_stays(keeper, sent):
    for name in ('m1', 'm2'):
        assert ask(keeper, sent, name).in_place
    assert 'just come' in ask(keeper, sent, 'm3', 'm2').cause


def test_the_least_lately_used_adapter_makes_way(keeper, sent, engine, clock):
    ask(keeper, sent, 'm1')
    for name in ('a1', 'a2', 'a3'):
        assert ask_adapter(keeper, sent, 'm1', name).in_place
        clock.advance(timedelta(seconds=1))
    keeper._uses.note_use('m1/a1')
    clock.advance(timedelta(seconds=1))
    assert ask_adapter(keeper, sent, 'm1', 'a4').in_place
    assert engine.models['m1'] == {'a1', 'a3', 'a4'}


def test_adapters_in_use_are_not_made_to_go(keeper, sent):
    ask(keeper, sent, 'm1')
    for name in ('a1', 'a2', 'a3'):
        ask_adapter(keeper, sent, 'm1', name)
    for name in ('a1', 'a2', 'a3'):
        keeper._uses.note_use(f'm1/{name}')
    reply = ask_adapter(keeper, sent, 'm1', 'a4')
    assert not reply.in_place
    assert 'in use' in reply.cause


def test_an_engine_whose_adapters_all_run_gets_no_order(
    keeper, sent, engine, clock
):
    """More adapters are asked for than there are places, each in use.

    A grown site's day: an engine takes an unload of an adapter in use, and
    then no other order for the second or more in which its requests end.
    """
    ask(keeper, sent, 'm1')
    for name in ('a1', 'a2', 'a3'):
        ask_adapter(keeper, sent, 'm1', name)
        keeper.receive(b'gateway', AdapterUse(f'run-{name}', 'm1', name))
    before = engine.orders
    engine.running = {'run-a1', 'run-a2', 'run-a3'}
    for number in range(20):
        clock.advance(timedelta(milliseconds=100))
        reply = ask_adapter(keeper, sent, 'm1', f'b{number}')
        assert not reply.in_place
        assert 'in use' in reply.cause
    assert engine.orders == before
    engine.running = {'run-a1', 'run-a3'}
    assert ask_adapter(keeper, sent, 'm1', 'b0').in_place
    assert engine.models['m1'] == {'a1', 'a3', 'b0'}


def test_a_request_that_was_just_sent_keeps_its_adapter(
    keeper, sent, engine, clock
):
    """The report that shows its run comes some hundred ms later."""
    ask(keeper, sent, 'm1')
    for name in ('a1', 'a2', 'a3'):
        ask_adapter(keeper, sent, 'm1', name)
    clock.advance(timedelta(seconds=5))
    keeper.receive(b'gateway', AdapterUse('run-1', 'm1', 'a1'))
    clock.advance(RUN_NEWS * 0.9)
    for name in ('b1', 'b2'):
        assert ask_adapter(keeper, sent, 'm1', name).in_place
    assert engine.models['m1'] == {'a1', 'b1', 'b2'}
    clock.advance(RUN_NEWS)
    assert ask_adapter(keeper, sent, 'm1', 'b3').in_place
    assert 'a1' not in engine.models['m1']


def test_a_restarted_engine_gets_orders_under_its_new_name(
    keeper,
    sent,
    engine,
):
    ask(keeper, sent, 'm1')
    engine.restart()
    assert ask(keeper, sent, 'm2').in_place
    assert set(engine.models) == {'m2'}


def test_a_fenced_keeper_takes_a_newer_token(keeper, sent, engine):
    ask(keeper, sent, 'm1')
    engine.highest_token = 5
    engine.tokens = 7
    assert ask(keeper, sent, 'm2').in_place


@pytest.mark.parametrize('seed', range(25))
def test_lost_and_late_orders_never_overrun_the_engine(seed):
    """Half of the answers are lost; lost orders act later, or never."""
    clock = ManualClock()
    random = Random(seed)
    engine = FakeEngine(clock, random)
    engine.lose = 0.5
    sent = []
    keeper = Keeper(
        PLACE,
        engine.port(),
        StorePace(clock.elapsed, is_first_start=True),
        clock,
        lambda sender, message: sent.append((sender, message)),
        lambda event, **fields: None,
    )
    keeper.receive(b'gateway', NOTICE)
    for _ in range(30):
        clock.advance(timedelta(seconds=random.random() * 3))
        if random.random() < 0.1:
            engine.restart()
        held = sorted(engine.models)
        evict = random.sample(held, min(len(held), random.randint(0, 2)))
        ask(keeper, sent, f'm{random.randrange(6)}', *evict)
        if engine.models and random.random() < 0.5:
            model = random.choice(sorted(engine.models))
            ask_adapter(keeper, sent, model, f'a{random.randrange(8)}')
        if random.random() < 0.5:
            engine.act_late()
    assert engine.orders > 20


def test_a_model_of_unknown_size_does_not_fit():
    assert not fits('stranger', EngineState(), NOTICE)
    held = EngineState(adapters_by_model={'stranger': frozenset()})
    assert not fits('m1', held, NOTICE)


def test_a_keeper_that_restarted_loads_from_the_disk_at_once(
    sent, engine, clock
):
    """The store's pace says nothing of an engine's own copies."""
    engine.on_disk = {'m1'}
    keeper = make_keeper(engine, clock, sent, is_first_start=False)
    assert ask(keeper, sent, 'm1').in_place
    assert 'pace' in ask(keeper, sent, 'm2').cause
    clock.advance(timedelta(seconds=6))
    assert ask(keeper, sent, 'm2').in_place


def test_adapters_that_waited_for_a_load_go_before_the_next_model():
    """An engine restarted: models load one by one while requests wait."""
    engine = FakeEngine(SystemClock())
    sent = []
    keeper = Keeper(
        PLACE,
        engine.port(),
        StorePace(engine.clock.elapsed, is_first_start=True),
        engine.clock,
        lambda sender, message: sent.append(message),
        lambda event, **fields: None,
    )
    keeper.receive(b'gateway', NOTICE)
    keeper.orders.refresh()
    for name in ('m1', 'm2'):
        keeper.receive(b'gateway', ModelAsk(name, name))
    gevent.sleep(0.1)
    keeper.receive(b'gateway', AdapterAsk('a', 'm1', 'a1', 2000))
    with gevent.Timeout(5):
        while len(sent) < 3:
            gevent.sleep(0.05)
    replies = [message for message in sent if isinstance(message, LoadReply)]
    assert [reply.ask_id for reply in replies] == ['m1', 'a', 'm2']
    assert not [reply.cause for reply in replies if not reply.in_place]
