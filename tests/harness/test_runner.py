"""A scenario's steps and its load share one time base."""

from pathlib import Path

import pytest

from verbenamux_harness import runner
from verbenamux_harness.language import parse_scenarios
from verbenamux_harness.processes import ProcessEndedError, program

pytestmark = pytest.mark.processes

# Half of the load is sent before the key is withdrawn.
WITHDRAWN_HALFWAY = """
scenario withdrawn-halfway
  promise withdrawn-key-stops
  fleet nakhla
  load chat 10/s from coaches
  for 6s
  at 3s withdraw coaches
  expect whole at least 25% of coaches-chat
  expect key_withdrawn at least 5% of coaches-chat
"""


def use_load_tool(monkeypatch: pytest.MonkeyPatch, path: Path, text: str):
    path.write_text(f'#!/bin/sh\n{text}\n')
    path.chmod(0o755)
    monkeypatch.setattr(runner, 'program', lambda _: str(path))


def test_steps_wait_for_a_load_that_starts_slowly(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    """On a busy host the key was once withdrawn before the first request."""
    slow = f'sleep 5; exec {program("verbenamux-load")} "$@"'
    use_load_tool(monkeypatch, tmp_path / 'load', slow)
    (scenario,) = parse_scenarios(WITHDRAWN_HALFWAY)
    result = runner.run_scenario(scenario, tmp_path / 'run')
    assert result.succeeded, result.unmet_expectations


def test_a_load_that_ends_before_it_begins_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    use_load_tool(monkeypatch, tmp_path / 'load', 'exit 3')
    (scenario,) = parse_scenarios(WITHDRAWN_HALFWAY)
    with pytest.raises(ProcessEndedError, match='load ended: code 3'):
        runner.run_scenario(scenario, tmp_path / 'run')
