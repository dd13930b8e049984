"""Engines that come up far apart, through separate processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from verbenamux_harness.fleet import Fleet
from verbenamux_harness.shapes import nakhla
from verbenamux_harness.web import wait_until

pytestmark = pytest.mark.processes

FIRST = 'engine-0'
LATE = ('engine-1', 'engine-2')
MODELS_THAT_FILL = 4


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield a fleet whose first engine was filled while it was alone."""
    made = Fleet(nakhla(), tmp_path)
    try:
        made.launch(without=LATE)
        wait_until(lambda: len(held(made, FIRST)) == MODELS_THAT_FILL, 'models')
        for name in LATE:
            made.start_target(name)
            made.start_agent(name)
        made.wait_ready()
        yield made
    finally:
        made.stop()


def held(fleet: Fleet, engine: str) -> set[str]:
    targets = fleet.status('gateway-0').get('targets', {})
    return set(targets.get(engine, {}).get('models', ()))


def test_adapter_finds_room_though_its_model_filled_the_first_engine(
    fleet: Fleet,
) -> None:
    assert fleet.shape.adapters['waiver-fr'] in held(fleet, FIRST)
    for gateway in fleet.gateways:
        answer = fleet.chat(gateway, 'counter', 'bonjour', model='waiver-fr')
        assert answer.status == 200, answer.body
