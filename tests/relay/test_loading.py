"""When a model should be in place, by what a gateway knows."""

from datetime import timedelta

import pytest

from verbenamux_relay.catalog import EngineTerms, ModelTerms, Service
from verbenamux_relay.loading import UNLOAD_TIME, Loader
from verbenamux_relay.placing import Demand
from verbenamux_relay.targets import TargetBook, TargetEntry, TargetReport

SECOND = timedelta(seconds=1)
COLD, DISK, WARM = SECOND * 4, SECOND * 0.8, SECOND * 0.4
MODEL = ModelTerms('m', 1, COLD, DISK, WARM)
SERVICE = Service('s', 10, EngineTerms(1, 1, 1, 1, 1, {'m': MODEL}))


@pytest.fixture
def book():
    return TargetBook()


@pytest.fixture
def loader(book, clock):
    clock.advance(SECOND * 100)
    return Loader(
        book,
        lambda _target: None,
        clock,
        lambda _event, **fields: None,
        lambda _name, **labels: None,
        lambda: Demand({}, {}),
    )


def put(book, clock, name, **holds):
    entry = TargetEntry(name, 's', ('10.0.0.1', len(book.by_id)), 'z', 8)
    book.put(entry, clock.elapsed())
    if holds:
        book.by_id[name].report = TargetReport(name, clock.elapsed(), **holds)


def test_without_a_load_nothing_is_expected(book, loader, clock):
    put(book, clock, 't0', on_disk=frozenset('m'))
    assert loader.expected_at(SERVICE, 'm') is None


def test_a_load_that_is_late_is_expected_later_and_later(loader, clock):
    ends_at = clock.elapsed() + COLD
    loader._expected_by_model['m'] = ends_at
    assert loader.expected_at(SERVICE, 'm') == ends_at
    clock.advance(COLD)
    assert loader.expected_at(SERVICE, 'm') == ends_at
    clock.advance(SECOND)
    assert loader.expected_at(SERVICE, 'm') == ends_at + SECOND * 2


@pytest.mark.parametrize(
    ('age', 'left'),
    [
        (SECOND * 3, SECOND + UNLOAD_TIME),
        (COLD + UNLOAD_TIME, SECOND * 0),
        (SECOND * 6 + UNLOAD_TIME, SECOND * 2),
    ],
)
def test_a_load_that_another_gateway_asked_for_is_known_by_its_age(
    book, loader, clock, age, left
):
    """Two replays: 33 of 36 refusals, the models came in the time allowed.

    Each gateway but one reckoned a whole load from when it heard of it.
    """
    loading = {'pending': frozenset('m'), 'is_ordering': True}
    put(book, clock, 't0', ordered_at=clock.elapsed() - age, **loading)
    put(book, clock, 't1', active=1)
    loader._expected_by_model['m'] = clock.elapsed() + COLD * 2
    assert loader.expected_at(SERVICE, 'm') == clock.elapsed() + left
