"""Every scenario, and two seeds of random faults, over real processes.

`make prove` covers the runs with a mechanism disabled.
"""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from verbenamux_harness.language import Scenario, read_scenarios
from verbenamux_harness.proving import MAX_PARALLEL_FLEETS, describe_failure
from verbenamux_harness.runner import ScenarioResult, run_scenario
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
) -> Iterator[dict[str, Future[ScenarioResult]]]:
    """Return the futures of all selected runs, a few run in parallel."""
    folder = tmp_path_factory.mktemp('scenarios')
    requested = [
        test.callspec.params['name']
        for test in request.session.items
        if test.module is request.module
    ]
    with ThreadPoolExecutor(MAX_PARALLEL_FLEETS) as pool:
        yield {
            name: pool.submit(run_scenario, SCENARIOS[name], folder / name)
            for name in requested
        }


@pytest.mark.parametrize('name', SCENARIOS)
def test_scenario_keeps_every_promise(
    runs: dict[str, Future[ScenarioResult]],
    name: str,
) -> None:
    result = runs[name].result()
    assert result.succeeded, '\n'.join(describe_failure(result))
