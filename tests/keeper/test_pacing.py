"""All engines together keep the rate limit of the weight store."""

from datetime import timedelta
from random import Random

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_keeper.pacing import StoreLoadLimiter

WINDOW = timedelta(seconds=5)
STEP = timedelta(milliseconds=100)


class Engines:
    """Engines that load from the store whenever their limiters let them."""

    def __init__(self, rate, targets):
        self.clock = ManualClock()
        self.rate = rate
        self.targets = targets
        self.starts = []
        self.limiters = []

    def restart(self, randoms, *, is_first_start=True):
        self.limiters = [
            StoreLoadLimiter(
                self.clock.elapsed,
                WINDOW,
                1.1,
                random,
                is_first_start=is_first_start,
            )
            for random in randoms
        ]

    def ready(self):
        return [
            limiter
            for limiter in self.limiters
            if limiter.is_ready(self.rate, self.targets)
        ]

    def load(self):
        for limiter in self.ready():
            limiter.record_load_start()
            self.starts.append(self.clock.elapsed())

    def run(self, steps):
        for _ in range(steps):
            self.clock.advance(STEP)
            self.load()

    @property
    def allowed(self):
        return self.rate * 5 * 1.1 + 3

    def check_pace(self, seed=None):
        for start in self.starts:
            starts_in_window = [
                at for at in self.starts if start <= at <= start + WINDOW
            ]
            assert len(starts_in_window) <= self.allowed, seed


@pytest.mark.parametrize(
    ('rate', 'targets'),
    [(1.4, 6), (2.1, 9), (7.5, 26), (0.5, 12), (1.4, 40)],
)
def test_all_engines_together_keep_the_store_rate(rate, targets):
    """All engines lose their models and load from the store at once."""
    engines = Engines(rate, targets)
    engines.restart(map(Random, range(targets)))
    engines.run(600)
    engines.check_pace()
    assert len(engines.starts) > 60 * rate / 3


def test_restarted_keepers_keep_the_store_rate():
    """After a power loss keepers have forgotten the loads just before it."""
    engines = Engines(2.1, 9)
    for is_first_start in (True, False):
        engines.restart(
            (Random() for _ in range(9)), is_first_start=is_first_start
        )
        engines.load()
        engines.clock.advance(timedelta(seconds=2))
    assert engines.starts
    assert len(engines.starts) <= engines.allowed


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
    engines = Engines(rate, targets)
    for generation in range(4):
        first = generation * targets
        engines.restart(
            map(Random, range(first, first + targets)),
            is_first_start=generation == 0,
        )
        engines.run(int((interval_seconds if generation < 3 else 60) * 10))
    engines.check_pace()
    last = engines.clock.elapsed() - timedelta(seconds=55)
    assert sum(start > last for start in engines.starts) > 55 * rate / 3


def test_random_parts_keep_the_pace_whatever_is_drawn():
    """Engines that get less than one load a window load at random times."""
    for seed in range(30):
        random = Random(seed)
        engines = Engines(1.4, 40)
        engines.restart(Random(random.random()) for _ in range(40))
        engines.run(300)
        engines.check_pace(seed)


def test_engines_that_all_load_behind_a_calm_keep_the_pace():
    """Demand moves to other models in many engines at once."""
    engines = Engines(7.1, 52)
    engines.restart(map(Random, range(52)))
    engines.clock.advance(timedelta(seconds=60))
    assert len(engines.ready()) <= engines.allowed
