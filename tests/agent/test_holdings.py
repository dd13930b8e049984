"""Behaviour of an agent with little free memory."""

import msgspec
import pytest
from returns.result import Result, Success

from verbenamux_agent.holdings import Holdings
from verbenamux_agent.target import Call, TargetFailure
from verbenamux_config.entities import Adapter
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import ManualClock, milliseconds
from verbenamux_placement.ledger import Ledger, RowState

MAX_MESSAGE_DELAY = milliseconds(100)


class FakeEngine:
    """Answers orders, and reports what a test sets."""

    def __init__(self) -> None:
        self.orders: list[dict[str, object]] = []

    def exchange(self, call: Call) -> Result[bytes, TargetFailure]:
        self.orders.append(msgspec.json.decode(call.body))
        return Success(b'{"state": "done"}')


@pytest.fixture
def engine() -> FakeEngine:
    return FakeEngine()


@pytest.fixture
def holdings(engine: FakeEngine, clock: ManualClock) -> Holdings:
    made = Holdings(engine, clock, MAX_MESSAGE_DELAY, 2, lambda *_, **__: None)
    made.ledger = Ledger(100, MAX_MESSAGE_DELAY)
    made.configuration = Configuration(
        adapters_by_name={
            name: Adapter(name, 'base', 10) for name in ('one', 'two')
        },
    )
    clock.advance(milliseconds(1000))
    return made


def fill(holdings: Holdings, memory_mb: int) -> None:
    row = holdings.ledger.reserve('base', 'v1', memory_mb)
    row.state = RowState.READY


def test_adapter_that_cannot_fit_is_refused_at_once(
    holdings: Holdings,
    clock: ManualClock,
) -> None:
    fill(holdings, 95)
    before = clock.elapsed()
    deadline = before + milliseconds(60_000)
    assert not holdings.ensure_adapter('one', deadline, set)
    assert clock.elapsed() == before


def test_adapter_in_use_is_not_evicted(
    holdings: Holdings,
    clock: ManualClock,
) -> None:
    fill(holdings, 85)
    row = holdings.ledger.reserve('one', 'one', 10, adapter=True)
    row.state = RowState.READY
    deadline = clock.elapsed() + milliseconds(60_000)
    assert not holdings.ensure_adapter('two', deadline, lambda: {'one'})
    assert row.state is RowState.READY


def test_agent_without_a_start_record_orders_nothing(
    holdings: Holdings,
    engine: FakeEngine,
    clock: ManualClock,
) -> None:
    deadline = clock.elapsed() + milliseconds(50)
    assert not holdings.ensure_adapter('one', deadline, set)
    assert not engine.orders
