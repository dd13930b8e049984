"""A keeper of an engine that runs on the clock of the system."""

import pytest

from keeper.fake_engine import FakeEngine, make_keeper
from verbenamux_contracts.clock import SystemClock


@pytest.fixture
def engine():
    return FakeEngine(SystemClock())


@pytest.fixture
def sent():
    return []


@pytest.fixture
def keeper(engine, sent):
    running = make_keeper(engine, engine.clock, sent)
    running.orders.refresh()
    return running
