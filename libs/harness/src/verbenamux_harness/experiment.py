"""Experiments: cases from a JSON list, run over real processes."""

import itertools
import statistics
import tempfile
from collections import defaultdict
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from verbenamux_harness.language import Scenario, parse_scenarios
from verbenamux_harness.runner import run_scenario
from verbenamux_load.evidence import Evidence
from verbenamux_load.history import Completion, Invocation
from verbenamux_load.summary import outcome_of

MAX_PARALLEL_FLEETS = 2
MAX_FIRST_TOKEN_SECONDS = 1.1
WHOLE = 'whole'
REFUSALS = frozenset(
    (
        'rate_exceeded',
        'no_lease',
        'queue_full',
        'deadline_unreachable',
        'no_target',
        'stale_configuration',
    )
)


class Case(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One case: a load and the policies to compare.

    `limited` names workspaces that exceed their rate on purpose; their
    refusals are not wrongful.
    """

    name: str
    scenario: str
    policies: dict[str, dict[str, Any]]
    seeds: tuple[int, ...]
    limited: tuple[str, ...] = ()


class Figures(msgspec.Struct, frozen=True):
    """The measurements of one run; times in milliseconds.

    Attainment is the fraction of calls within their workspace's rate that
    were answered whole with their first token within 1.1 s.
    """

    case: str
    policy: str
    seed: int
    attainment: float
    per_accelerator: float
    worst_workspace: float
    wrongful_refusals: float
    moves: int
    first_token_p50: float
    first_token_p95: float


@dataclass(frozen=True, slots=True)
class Job:
    """One run to execute."""

    case: Case
    policy: str
    seed: int


def read_cases(path: Path) -> list[Case]:
    """Return the cases in a file."""
    return msgspec.json.decode(path.read_bytes(), type=list[Case])


def run_cases(cases: Iterable[Case], folder: Path) -> Iterator[Figures]:
    """Yield the figures of every run, seed by seed over all policies."""
    jobs = [
        Job(case, policy, seed)
        for case in cases
        for seed, policy in itertools.product(case.seeds, case.policies)
    ]
    with ThreadPoolExecutor(MAX_PARALLEL_FLEETS) as pool:
        yield from pool.map(lambda job: run_job(job, folder), jobs)


def run_job(job: Job, folder: Path) -> Figures:
    """Execute one run and measure it."""
    scenario = parse_scenarios(job.case.scenario)[0]
    apply_job_options(scenario, job)
    name = f'{job.case.name}-{job.policy}-{job.seed}-'
    result = run_scenario(
        scenario,
        Path(tempfile.mkdtemp(prefix=name, dir=folder)),
    )
    if result.evidence is None:
        raise NoEvidenceError(job.case.name)
    return measure_run(job, result.evidence)


class NoEvidenceError(Exception):
    """A run produced no evidence to measure."""


def apply_job_options(scenario: Scenario, job: Job) -> None:
    """Set the seed and the policy of a run."""
    scenario.fleet_options['seed'] = job.seed
    scenario.fleet_options['relayed'] = 'no'
    scenario.fleet_options['gateway_extra'] = job.case.policies[job.policy]


def measure_run(job: Job, evidence: Evidence) -> Figures:
    """Return the figures of one run."""
    attained: defaultdict[str, list[bool]] = defaultdict(list)
    refused: list[bool] = []
    first_tokens: list[float] = []
    for invoked, completed in evidence.calls:
        workspace = evidence.workspace_by_caller[invoked.caller]
        if workspace in job.case.limited:
            continue
        attained[workspace].append(_is_attained(invoked, completed))
        refused.append(outcome_of(invoked, completed) in REFUSALS)
        if completed is not None and completed.first_token is not None:
            elapsed = completed.first_token - invoked.time
            first_tokens.append(elapsed * 1000)
    all_attained = list(itertools.chain.from_iterable(attained.values()))
    engines = [
        events for events in evidence.events_by_target.values() if events
    ]
    return Figures(
        job.case.name,
        job.policy,
        job.seed,
        _mean(all_attained),
        sum(all_attained) / max(1, len(engines)),
        min(map(_mean, attained.values())),
        _mean(refused),
        _moves(evidence),
        _quantile(first_tokens, 50),
        _quantile(first_tokens, 95),
    )


def table(figures: Iterable[Figures]) -> Iterator[str]:
    """Yield a Markdown table: medians over seeds, with the range."""
    grouped: defaultdict[tuple[str, str], list[Figures]] = defaultdict(list)
    for run_figures in figures:
        grouped[run_figures.case, run_figures.policy].append(run_figures)
    yield (
        '| case | policy | attainment | worst workspace | wrongful refusals '
        '| attained per accelerator | moves | first token p50 ms | p95 ms |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
    for (case, policy), runs in grouped.items():
        cells = [
            _median_and_range([run.attainment for run in runs], '.3f'),
            _median_and_range([run.worst_workspace for run in runs], '.3f'),
            _median_and_range([run.wrongful_refusals for run in runs], '.3f'),
            _median_and_range([run.per_accelerator for run in runs], '.1f'),
            _median_and_range([float(run.moves) for run in runs], '.0f'),
            _median_and_range([run.first_token_p50 for run in runs], '.0f'),
            _median_and_range([run.first_token_p95 for run in runs], '.0f'),
        ]
        yield f'| {case} | {policy} | {" | ".join(cells)} |'


def _is_attained(invoked: Invocation, completed: Completion | None) -> bool:
    if completed is None or completed.first_token is None:
        return False
    elapsed = completed.first_token - invoked.time
    whole = outcome_of(invoked, completed) == WHOLE
    return whole and elapsed <= MAX_FIRST_TOKEN_SECONDS


def _moves(evidence: Evidence) -> int:
    return sum(
        event['event'] in {'load_done', 'unloaded'} and not event['adapter']
        for events in evidence.events_by_target.values()
        for event in events
    )


def _mean(flags: Iterable[bool]) -> float:
    flag_list = list(flags)
    return sum(flag_list) / len(flag_list) if flag_list else 0


def _quantile(numbers: list[float], percent: int) -> float:
    if len(numbers) < 2:
        return 0
    return statistics.quantiles(numbers, n=100)[percent - 1]


def _median_and_range(numbers: list[float], format_spec: str) -> str:
    median = statistics.median(numbers)
    low, high = min(numbers), max(numbers)
    return (
        f'{median:{format_spec}} ({low:{format_spec}} to {high:{format_spec}})'
    )
