"""The demo: a small Nakhla fleet, mixed load, an agent killed midway."""

from collections.abc import Iterator
from pathlib import Path

from verbenamux_harness.language import Scenario, parse_scenarios
from verbenamux_harness.proving import describe_failure
from verbenamux_harness.runner import ScenarioResult, run_scenario
from verbenamux_load.summary import summarize, table

DEMO = """
scenario demo
  promise whole-answer, not-run-is-true, at-most-once, rate-and-burst
  fleet nakhla
  load chat 15/s from counter
  load stream 15/s from coaches output_tokens=30
  load booking 8/s from counter
  load chat 2/s from nobody
  load chat 20/s from noisy
  for 10s
  at 4s kill agent-engine-0
  at 6s start agent-engine-0
  expect whole at least 95% of coaches-stream
"""


def demo_scenario() -> Scenario:
    """Return the scenario that the demo runs."""
    return parse_scenarios(DEMO)[0]


def run_demo(folder: Path) -> tuple[ScenarioResult, list[str]]:
    """Run the demo; return its result and the lines to print."""
    result = run_scenario(demo_scenario(), folder)
    return result, list(_report_lines(result))


def _report_lines(result: ScenarioResult) -> Iterator[str]:
    evidence = result.evidence
    if evidence is None:
        return
    lines = [
        line for pair in evidence.calls for line in pair if line is not None
    ]
    yield from table(summarize(lines))
    moves = sum(
        event['event'] in {'load_done', 'unloaded'}
        for events in evidence.events_by_target.values()
        for event in events
    )
    yield f'model moves (loads and unloads): {moves}'
    if result.succeeded:
        yield 'every promise that the demo can see was kept'
    else:
        yield 'BROKEN:'
        yield from describe_failure(result)
