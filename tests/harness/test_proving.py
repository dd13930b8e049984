"""The results table when a run ends without a result."""

import re
from pathlib import Path

import pytest
from typer.testing import CliRunner

from verbenamux_harness import proving
from verbenamux_harness.cli import app
from verbenamux_harness.language import Scenario, parse_scenarios
from verbenamux_harness.runner import ScenarioResult
from verbenamux_harness.web import ConditionTimeoutError

SCENARIOS = """
scenario first
  promise whole-answer
  without resume at gateway-* breaks expectations

scenario second
  promise at-most-once
"""
# No gateway accepts this duration setting, so none starts.
GATEWAYS_CANT_START = """
scenario gateways-cant-start
  promise whole-answer
  fleet nakhla snapshots=never
  load chat 5/s from counter
  for 1s
"""


def fail_first_scenario(
    scenario: Scenario,
    folder: Path,
    *_: object,
) -> ScenarioResult:
    if scenario.name == 'first':
        raise ConditionTimeoutError('gateway-0 to be ready:\nno peers')
    return ScenarioResult(scenario.name)


def test_a_run_without_a_result_is_a_failed_row(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    """Guards against a failed run that ends the table before later rows."""
    monkeypatch.setattr(proving, 'run_scenario', fail_first_scenario)
    scenarios = parse_scenarios(SCENARIOS)
    rows = list(proving.prove(scenarios, tmp_path))
    assert [(row.scenario, row.mutant, row.passed) for row in rows] == [
        ('first', '', False),
        ('first', 'resume', False),
        ('second', '', True),
    ]
    cause = 'ConditionTimeoutError: gateway-0 to be ready: no peers'
    for row in rows[:2]:
        what, _, logs = row.summary.partition('; logs: ')
        assert what == f'not run: {cause}'
        assert 'no peers' in (Path(logs) / 'error.txt').read_text()


@pytest.mark.processes
def test_a_fleet_that_cannot_start_is_a_failed_row(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    """The row names the process that ended, the cause and the logs."""
    monkeypatch.setattr('tempfile.tempdir', str(tmp_path))
    scenarios = tmp_path / 'scenarios'
    scenarios.mkdir()
    (scenarios / 'one.scenario').write_text(GATEWAYS_CANT_START)
    shown = CliRunner().invoke(app, ['prove', '--scenarios', str(scenarios)])
    assert shown.exit_code == 1
    row = shown.stdout.splitlines()[-1]
    assert '| **not as it must be** | not run: ProcessEndedError: ' in row
    # Neither gateway can start; whichever ends first is named.
    first = re.search('(gateway-[01]) ended: code 2, settings: (.+);', row)
    assert first is not None
    assert '$.snapshot_every' in first[2]
    logs = Path(row.partition('; logs: ')[2].rstrip(' |'))
    assert first[2] in (logs / f'{first[1]}.log').read_text()
