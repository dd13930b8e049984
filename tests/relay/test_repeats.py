"""The budget of repeats over restarts of gateways."""

from datetime import timedelta

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_relay.repeats import RepeatBudget

WINDOW = timedelta(seconds=10)
RATIO, EXTRA, GATEWAYS = 0.2, 56, 6


@pytest.mark.parametrize('life', [0.5, 3, 9, 14])
@pytest.mark.parametrize('firsts', [0, 40])
def test_gateways_that_restart_keep_the_budget_of_repeats(life, firsts):
    """All gateways lose power and forget the repeats just before it."""
    clock = ManualClock()
    sent = []
    repeated = []
    for number in range(3):
        extra_from = clock.elapsed() + WINDOW if number else timedelta()
        budgets = [
            RepeatBudget(
                clock.elapsed, WINDOW, RATIO, EXTRA / GATEWAYS, extra_from
            )
            for _ in range(GATEWAYS)
        ]
        for _ in range(int(life * 10)):
            clock.advance(timedelta(milliseconds=100))
            for budget in budgets:
                for _ in range(firsts // 10):
                    budget.note_first()
                    sent.append(clock.elapsed())
                while budget.take():
                    repeated.append(clock.elapsed())
    assert repeated
    for end in repeated:
        begin = end - WINDOW
        asked = sum(begin <= at <= end for at in sent)
        spent = sum(begin <= at <= end for at in repeated)
        assert spent <= RATIO * asked + EXTRA


def test_the_extra_comes_back_a_window_behind_a_restart(clock):
    budget = RepeatBudget(clock.elapsed, WINDOW, RATIO, EXTRA, WINDOW)
    assert not budget.take()
    clock.advance(WINDOW)
    assert budget.take()
