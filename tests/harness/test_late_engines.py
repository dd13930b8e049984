"""Engines that start far apart, over real processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from verbenamux_harness.fleet import Fleet
from verbenamux_harness.shapes import nakhla
from verbenamux_harness.web import wait_until

pytestmark = pytest.mark.processes

FIRST_ENGINE = 'engine-0'
LATE_ENGINES = ('engine-1', 'engine-2')
MODELS_PER_ENGINE = 4


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield a fleet whose first engine loaded models while it was alone."""
    built = Fleet(nakhla(), tmp_path)
    try:
        built.launch(without=LATE_ENGINES)
        wait_until(
            lambda: (
                len(loaded_models(built, FIRST_ENGINE)) == MODELS_PER_ENGINE
            ),
            'models',
        )
        for name in LATE_ENGINES:
            built.start_target(name)
            built.start_agent(name)
        built.wait_ready()
        yield built
    finally:
        built.stop()


def loaded_models(fleet: Fleet, engine: str) -> set[str]:
    targets = fleet.status('gateway-0').get('targets', {})
    return set(targets.get(engine, {}).get('models', ()))


def test_adapter_is_loaded_though_its_model_filled_the_first_engine(
    fleet: Fleet,
) -> None:
    assert fleet.shape.adapters['waiver-fr'] in loaded_models(
        fleet, FIRST_ENGINE
    )
    for gateway in fleet.gateways:
        answer = fleet.chat(gateway, 'counter', 'bonjour', model='waiver-fr')
        assert answer.status == 200, answer.body
