"""Every scenario, and two seeds of random faults, over real processes.

The runs without a mechanism are left to `make prove`.
"""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from verbenamux_harness.language import Scenario, read_scenarios
from verbenamux_harness.proving import FLEETS_AT_ONCE, describe
from verbenamux_harness.runner import Verdict, run_scenario
from verbenamux_harness.soak import draw_scenario

pytestmark = [pytest.mark.processes, pytest.mark.timeout(900)]

FOLDER = Path(__file__).parents[2] / 'scenarios'
SOAK_SEEDS = (1, 2)
SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        *read_scenarios(FOLDER),
        *(draw_scenario(seed) for seed in SOAK_SEEDS),
    )
}


@pytest.fixture(scope='module')
def runs(
    tmp_path_factory: pytest.TempPathFactory,
    request: pytest.FixtureRequest,
) -> Iterator[dict[str, Future[Verdict]]]:
    """Return all runs that were asked for, a few at a time."""
    folder = tmp_path_factory.mktemp('scenarios')
    asked = [
        test.callspec.params['name']
        for test in request.session.items
        if test.module is request.module
    ]
    with ThreadPoolExecutor(FLEETS_AT_ONCE) as pool:
        yield {
            name: pool.submit(run_scenario, SCENARIOS[name], folder / name)
            for name in asked
        }


@pytest.mark.parametrize('name', SCENARIOS)
def test_scenario_keeps_every_promise(
    runs: dict[str, Future[Verdict]],
    name: str,
) -> None:
    verdict = runs[name].result()
    assert verdict.kept, '\n'.join(describe(verdict))
