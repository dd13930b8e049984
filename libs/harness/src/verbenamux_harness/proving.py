"""Runs all scenarios, and each again without its mechanisms."""

import tempfile
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from verbenamux_harness.language import MutantClause, Scenario, read_scenarios
from verbenamux_harness.runner import ScenarioResult, run_scenario

MAX_SHOWN_VIOLATIONS = 3
MAX_PARALLEL_FLEETS = 3
EXPECTATIONS = 'expectations'
TRACEBACK_FILE = 'error.txt'


@dataclass(frozen=True, slots=True)
class ResultRow:
    """One row of the results table."""

    scenario: str
    promises: tuple[str, ...]
    mutant: str
    passed: bool
    summary: str


def prove(scenarios: Iterable[Scenario], folder: Path) -> Iterator[ResultRow]:
    """Yield a row for each scenario, and for each of its mutants."""
    jobs = [
        (scenario, mutant)
        for scenario in scenarios
        for mutant in (None, *scenario.mutants)
    ]
    with ThreadPoolExecutor(MAX_PARALLEL_FLEETS) as pool:
        yield from pool.map(
            lambda job: _run_one(job[0], job[1], folder),
            jobs,
        )


def _run_one(
    scenario: Scenario,
    mutant: MutantClause | None,
    folder: Path,
) -> ResultRow:
    name = f'{scenario.name}-{mutant.mechanism}' if mutant else scenario.name
    logs = _make_folder(folder, name)
    try:
        result = run_scenario(scenario, logs, mutant)
    except Exception as error:
        # Any failure of this run must not end the other rows.
        (logs / TRACEBACK_FILE).write_text(traceback.format_exc())
        return _failed_run_row(scenario, mutant, error, logs)
    if mutant is None:
        return _scenario_row(scenario, result)
    return _mutant_row(scenario, result, mutant.breaks)


def results_table(rows: Iterable[ResultRow]) -> Iterator[str]:
    """Yield the table's lines."""
    yield '| scenario | promises | mechanism off | verdict | seen |'
    yield '| --- | --- | --- | --- | --- |'
    for row in rows:
        result = 'as it must be' if row.passed else '**not as it must be**'
        promises = ', '.join(row.promises)
        mutant = row.mutant or '-'
        yield (
            f'| {row.scenario} | {promises} | {mutant} | {result} '
            f'| {row.summary} |'
        )


def select_scenarios(names: Iterable[str], folder: Path) -> list[Scenario]:
    """Return the scenarios with the given names, or all without names."""
    selected = set(names)
    return [
        scenario
        for scenario in read_scenarios(folder)
        if not selected or scenario.name in selected
    ]


def describe_failure(result: ScenarioResult) -> Iterator[str]:
    """Yield the lines that explain a failed run."""
    for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
        yield f'{violation.promise.value}: {violation.message}'
        yield from violation.lines
    yield from result.unmet_expectations


def _scenario_row(scenario: Scenario, result: ScenarioResult) -> ResultRow:
    summary = _outcome_counts(result)
    if not result.succeeded:
        summary = f'{summary}; {_first_failure(result)}'
    return ResultRow(
        scenario.name,
        tuple(scenario.promises),
        '',
        result.succeeded,
        summary,
    )


def _mutant_row(
    scenario: Scenario,
    result: ScenarioResult,
    breaks: str,
) -> ResultRow:
    has_broken = result.has_broken(breaks)
    if breaks == EXPECTATIONS:
        has_broken = bool(result.unmet_expectations)
    summary = 'nothing broke' if result.succeeded else _first_failure(result)
    return ResultRow(
        scenario.name,
        (breaks,),
        result.mutant,
        has_broken,
        summary,
    )


def _failed_run_row(
    scenario: Scenario,
    mutant: MutantClause | None,
    error: Exception,
    logs: Path,
) -> ResultRow:
    """Return the row of a run without a result; it never passes."""
    text = ' '.join(str(error).split())
    return ResultRow(
        scenario.name,
        (mutant.breaks,) if mutant else tuple(scenario.promises),
        mutant.mechanism if mutant else '',
        passed=False,
        summary=f'not run: {type(error).__name__}: {text}; logs: {logs}',
    )


def _outcome_counts(result: ScenarioResult) -> str:
    counts = result.outcomes.most_common()
    return ', '.join(f'{outcome} {count}' for outcome, count in counts)


def _first_failure(result: ScenarioResult) -> str:
    failures = [
        f'{violation.promise.value}: {violation.message}'
        for violation in result.violations
    ]
    return [*failures, *result.unmet_expectations][0]


def _make_folder(parent: Path, name: str) -> Path:
    return Path(tempfile.mkdtemp(prefix=f'{name}-', dir=parent))
