"""Running all scenarios, each also without its mechanisms."""

import tempfile
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from verbenamux_harness.language import MutantClause, Scenario, read_scenarios
from verbenamux_harness.runner import Verdict, run_scenario

SHOWN_VIOLATIONS = 3
FLEETS_AT_ONCE = 3
EXPECTATIONS = 'expectations'
TRACEBACK_FILE = 'error.txt'


@dataclass(frozen=True, slots=True)
class ProofRow:
    """One row of the table of proofs."""

    scenario: str
    promises: tuple[str, ...]
    mutant: str
    passed: bool
    told: str


def prove(scenarios: Iterable[Scenario], folder: Path) -> Iterator[ProofRow]:
    """Yield a row for each scenario, and for each of its mutants."""
    jobs = [
        (scenario, mutant)
        for scenario in scenarios
        for mutant in (None, *scenario.mutants)
    ]
    with ThreadPoolExecutor(FLEETS_AT_ONCE) as pool:
        yield from pool.map(
            lambda job: _prove_one(job[0], job[1], folder),
            jobs,
        )


def _prove_one(
    scenario: Scenario,
    mutant: MutantClause | None,
    folder: Path,
) -> ProofRow:
    name = f'{scenario.name}-{mutant.mechanism}' if mutant else scenario.name
    logs = _folder(folder, name)
    try:
        verdict = run_scenario(scenario, logs, mutant)
    except Exception as error:
        # Whatever ended this run, the table goes on to the others.
        (logs / TRACEBACK_FILE).write_text(traceback.format_exc())
        return _row_without_run(scenario, mutant, error, logs)
    if mutant is None:
        return _plain_row(scenario, verdict)
    return _mutant_row(scenario, verdict, mutant.breaks)


def markdown(rows: Iterable[ProofRow]) -> Iterator[str]:
    """Yield the table's lines."""
    yield '| scenario | promises | mechanism off | verdict | seen |'
    yield '| --- | --- | --- | --- | --- |'
    for row in rows:
        verdict = 'as it must be' if row.passed else '**not as it must be**'
        promises = ', '.join(row.promises)
        mutant = row.mutant or '-'
        yield (
            f'| {row.scenario} | {promises} | {mutant} | {verdict} '
            f'| {row.told} |'
        )


def choose(names: Iterable[str], folder: Path) -> list[Scenario]:
    """Return the scenarios of those names, or all when none is named."""
    wanted = set(names)
    return [
        scenario
        for scenario in read_scenarios(folder)
        if not wanted or scenario.name in wanted
    ]


def describe(verdict: Verdict) -> Iterator[str]:
    """Yield what a person needs to know of a run that went wrong."""
    for violation in verdict.violations[:SHOWN_VIOLATIONS]:
        yield f'{violation.promise.value}: {violation.message}'
        yield from violation.lines
    yield from verdict.unmet


def _plain_row(scenario: Scenario, verdict: Verdict) -> ProofRow:
    told = _outcomes(verdict)
    if not verdict.kept:
        told = f'{told}; {_first_failure(verdict)}'
    return ProofRow(
        scenario.name,
        tuple(scenario.promises),
        '',
        verdict.kept,
        told,
    )


def _mutant_row(
    scenario: Scenario,
    verdict: Verdict,
    breaks: str,
) -> ProofRow:
    broke = verdict.broke(breaks)
    if breaks == EXPECTATIONS:
        broke = bool(verdict.unmet)
    told = 'nothing broke' if verdict.kept else _first_failure(verdict)
    return ProofRow(
        scenario.name,
        (breaks,),
        verdict.mutant,
        broke,
        told,
    )


def _row_without_run(
    scenario: Scenario,
    mutant: MutantClause | None,
    error: Exception,
    logs: Path,
) -> ProofRow:
    """Return the row of a run without a verdict: never as it must be."""
    text = ' '.join(str(error).split())
    return ProofRow(
        scenario.name,
        (mutant.breaks,) if mutant else tuple(scenario.promises),
        mutant.mechanism if mutant else '',
        passed=False,
        told=f'not run: {type(error).__name__}: {text}; logs: {logs}',
    )


def _outcomes(verdict: Verdict) -> str:
    counted = verdict.outcomes.most_common()
    return ', '.join(f'{outcome} {count}' for outcome, count in counted)


def _first_failure(verdict: Verdict) -> str:
    failures = [
        f'{violation.promise.value}: {violation.message}'
        for violation in verdict.violations
    ]
    return [*failures, *verdict.unmet][0]


def _folder(parent: Path, name: str) -> Path:
    return Path(tempfile.mkdtemp(prefix=f'{name}-', dir=parent))
