"""The retry budget over restarts of gateways."""

from datetime import timedelta

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_relay.retry_budget import RetryBudget

WINDOW = timedelta(seconds=10)
RATIO, EXTRA, GATEWAYS = 0.2, 56, 6


@pytest.mark.parametrize('lifetime', [0.5, 3, 9, 14])
@pytest.mark.parametrize('first_sends', [0, 40])
def test_restarting_gateways_keep_the_retry_budget(lifetime, first_sends):
    """All gateways lose power and forget their most recent retries."""
    clock = ManualClock()
    first_sent_at = []
    retried_at = []
    for number in range(3):
        extra_from = clock.elapsed() + WINDOW if number else timedelta()
        budgets = [
            RetryBudget(
                clock.elapsed, WINDOW, RATIO, EXTRA / GATEWAYS, extra_from
            )
            for _ in range(GATEWAYS)
        ]
        for _ in range(int(lifetime * 10)):
            clock.advance(timedelta(milliseconds=100))
            for budget in budgets:
                for _ in range(first_sends // 10):
                    budget.record_first_send()
                    first_sent_at.append(clock.elapsed())
                while budget.take():
                    retried_at.append(clock.elapsed())
    assert retried_at
    for end in retried_at:
        begin = end - WINDOW
        first_count = sum(begin <= at <= end for at in first_sent_at)
        retry_count = sum(begin <= at <= end for at in retried_at)
        assert retry_count <= RATIO * first_count + EXTRA


def test_the_extra_is_available_one_window_after_a_restart(clock):
    budget = RetryBudget(clock.elapsed, WINDOW, RATIO, EXTRA, WINDOW)
    assert not budget.take()
    clock.advance(WINDOW)
    assert budget.take()
