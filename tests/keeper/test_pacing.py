"""All engines together keep the rate limit of the weight store."""

from datetime import timedelta
from random import Random

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_keeper.pacing import StoreLoadLimiter


@pytest.mark.parametrize(
    ('rate', 'targets'),
    [(1.4, 6), (2.1, 9), (7.5, 26), (0.5, 12), (1.4, 40)],
)
def test_all_engines_together_keep_the_store_rate(rate, targets):
    """All engines lose their models and load from the store at once."""
    clock = ManualClock()
    window = timedelta(seconds=5)
    limiters = [
        StoreLoadLimiter(
            clock.elapsed, window, 1.1, Random(number), is_first_start=True
        )
        for number in range(targets)
    ]
    starts = []
    for _ in range(600):
        clock.advance(timedelta(milliseconds=100))
        for limiter in limiters:
            if limiter.is_ready(rate, targets):
                limiter.record_load_start()
                starts.append(clock.elapsed())
    budget = rate * 5 * 1.1 + 3
    for start in starts:
        starts_in_window = [
            at for at in starts if start <= at <= start + window
        ]
        assert len(starts_in_window) <= budget
    assert len(starts) > 60 * rate / 3


def test_restarted_keepers_keep_the_store_rate():
    """After a power loss keepers have forgotten the loads just before it."""
    clock = ManualClock()
    window = timedelta(seconds=5)
    rate, targets = 2.1, 9
    starts = []
    for is_first_start in (True, False):
        limiters = [
            StoreLoadLimiter(
                clock.elapsed, window, 1.1, is_first_start=is_first_start
            )
            for _ in range(targets)
        ]
        for limiter in limiters:
            if limiter.is_ready(rate, targets):
                limiter.record_load_start()
                starts.append(clock.elapsed())
        clock.advance(timedelta(seconds=2))
    assert starts
    assert len(starts) <= rate * 5 * 1.1 + 3


@pytest.mark.parametrize('interval_seconds', [0.3, 2, 4.9, 12])
@pytest.mark.parametrize(
    ('rate', 'targets'),
    [(1.4, 6), (2.1, 9), (7.5, 26)],
)
def test_restarts_at_any_moment_keep_the_store_rate(
    rate, targets, interval_seconds
):
    """All keepers restart repeatedly, `interval_seconds` apart.

    Loads continue between restarts where there is time for them.
    """
    clock = ManualClock()
    window = timedelta(seconds=5)
    starts = []
    for generation in range(4):
        limiters = [
            StoreLoadLimiter(
                clock.elapsed,
                window,
                1.1,
                Random(generation * targets + number),
                is_first_start=generation == 0,
            )
            for number in range(targets)
        ]
        for _ in range(int((interval_seconds if generation < 3 else 60) * 10)):
            clock.advance(timedelta(milliseconds=100))
            for limiter in limiters:
                if limiter.is_ready(rate, targets):
                    limiter.record_load_start()
                    starts.append(clock.elapsed())
    for start in starts:
        starts_in_window = [
            at for at in starts if start <= at <= start + window
        ]
        assert len(starts_in_window) <= rate * 5 * 1.1 + 3
    last = clock.elapsed() - timedelta(seconds=55)
    assert sum(start > last for start in starts) > 55 * rate / 3


def test_random_parts_keep_the_pace_whatever_is_drawn():
    """Engines that get less than one load a window load at random times."""
    rate, targets = 1.4, 40
    window = timedelta(seconds=5)
    for seed in range(30):
        clock = ManualClock()
        random = Random(seed)
        limiters = [
            StoreLoadLimiter(
                clock.elapsed,
                window,
                1.1,
                Random(random.random()),
                is_first_start=True,
            )
            for _ in range(targets)
        ]
        starts = []
        for _ in range(300):
            clock.advance(timedelta(milliseconds=100))
            for limiter in limiters:
                if limiter.is_ready(rate, targets):
                    limiter.record_load_start()
                    starts.append(clock.elapsed())
        for start in starts:
            starts_in_window = [
                at for at in starts if start <= at <= start + window
            ]
            assert len(starts_in_window) <= rate * 5 * 1.1 + 3, seed


def test_engines_that_all_load_behind_a_calm_keep_the_pace():
    """Demand moves to other models in many engines at once."""
    clock = ManualClock()
    rate, targets = 7.1, 52
    window = timedelta(seconds=5)
    limiters = [
        StoreLoadLimiter(
            clock.elapsed, window, 1.1, Random(number), is_first_start=True
        )
        for number in range(targets)
    ]
    clock.advance(timedelta(seconds=60))
    assert (
        sum(limiter.is_ready(rate, targets) for limiter in limiters)
        <= rate * 5 * 1.1 + 3
    )
