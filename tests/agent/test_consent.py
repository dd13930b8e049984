"""A model stays reachable however drops and keep requests interleave.

Holders request consent from each other while other drops are in progress.
Anything may happen during a request, so the machine starts further drops in it.
"""

from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from verbenamux_agent.holdings import Holdings
from verbenamux_contracts.clock import ManualClock, milliseconds
from verbenamux_placement.ledger import Ledger, RowState

MODEL = 'wig'
MAX_MESSAGE_DELAY = milliseconds(100)
NAMES = ('a', 'b', 'c', 'd')


@dataclass
class Holder:
    """One agent's holdings, with the model ready."""

    name: str
    holdings: Holdings
    dropping: list[str] = field(default_factory=list)

    @property
    def ready(self) -> bool:
        return self.holdings.consents_to_keep(MODEL) or bool(
            self.holdings.ledger.find_ready(MODEL),
        )


def new_holder(name: str, clock: ManualClock) -> Holder:
    holdings = Holdings(
        None, clock, MAX_MESSAGE_DELAY, 1, lambda *_, **__: None
    )
    holdings.ledger = Ledger(100, MAX_MESSAGE_DELAY)
    row = holdings.ledger.reserve(MODEL, 'v1', 50)
    row.state = RowState.READY
    return Holder(name, holdings)


class ConsentMachine(RuleBasedStateMachine):
    """Drops that request consent in sequence, nested into each other."""

    always_agrees = False

    @initialize()
    def begin(self) -> None:
        clock = ManualClock()
        self.holders = {name: new_holder(name, clock) for name in NAMES}
        clock.advance(milliseconds(1000))

    @rule(
        name=st.sampled_from(NAMES),
        order=st.permutations(NAMES),
        nested=st.lists(st.sampled_from(NAMES), max_size=4),
        lost=st.sets(st.sampled_from(NAMES), max_size=1),
    )
    def drop(
        self,
        name: str,
        order: list[str],
        nested: list[str],
        lost: set[str],
    ) -> None:
        self._drop(name, order, nested, lost)

    @invariant()
    def somebody_holds_the_model(self) -> None:
        assert any(
            holder.holdings.ledger.find_ready(MODEL)
            for holder in self.holders.values()
        )

    def _drop(
        self,
        name: str,
        order: list[str],
        nested: list[str],
        lost: set[str],
    ) -> None:
        others = tuple(other for other in order if other != name)

        def request_keep(other: str, model: str) -> bool:
            if nested:
                self._drop(nested.pop(), order, nested, lost)
            requested = self.holders[other].holdings
            agreed = self.always_agrees or requested.consents_to_keep(model)
            if nested:
                self._drop(nested.pop(), order, nested, lost)
            return agreed and other not in lost

        holdings = self.holders[name].holdings
        holdings.drop(MODEL, 'v1', others, request_keep, lambda _: True)


SETTINGS = settings(
    max_examples=300,
    stateful_step_count=10,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_last_copy_is_never_dropped() -> None:
    run_state_machine_as_test(ConsentMachine, settings=SETTINGS)


def test_without_consent_the_last_copy_is_dropped() -> None:
    class Mutant(ConsentMachine):
        always_agrees = True

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutant, settings=SETTINGS)
