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

FLEETS_AT_ONCE = 2
FIRST_TOKEN_SECONDS = 1.1
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
    """One case: a load, and the policies that are set side by side.

    `limited` names workspaces that send over their rate on purpose; their
    refusals are not wrongful.
    """

    name: str
    scenario: str
    policies: dict[str, dict[str, Any]]
    seeds: tuple[int, ...]
    limited: tuple[str, ...] = ()


class Figures(msgspec.Struct, frozen=True):
    """What one run measured; times in milliseconds.

    Attainment is the part of calls inside their workspace's rate that
    were whole with their first token within 1.1 s.
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
    """One run to be made."""

    case: Case
    policy: str
    seed: int


def read_cases(path: Path) -> list[Case]:
    """Return the cases in a file."""
    return msgspec.json.decode(path.read_bytes(), type=list[Case])


def run_cases(cases: Iterable[Case], folder: Path) -> Iterator[Figures]:
    """Yield the figures of every run, policies side by side."""
    jobs = [
        Job(case, policy, seed)
        for case in cases
        for seed, policy in itertools.product(case.seeds, case.policies)
    ]
    with ThreadPoolExecutor(FLEETS_AT_ONCE) as pool:
        yield from pool.map(lambda job: run_job(job, folder), jobs)


def run_job(job: Job, folder: Path) -> Figures:
    """Make one run and measure it."""
    scenario = parse_scenarios(job.case.scenario)[0]
    prepare(scenario, job)
    name = f'{job.case.name}-{job.policy}-{job.seed}-'
    verdict = run_scenario(
        scenario,
        Path(tempfile.mkdtemp(prefix=name, dir=folder)),
    )
    if verdict.evidence is None:
        raise NoEvidenceError(job.case.name)
    return measure(job, verdict.evidence)


class NoEvidenceError(Exception):
    """A run that left nothing to measure."""


def prepare(scenario: Scenario, job: Job) -> None:
    """Set the seed and the policy of a run."""
    scenario.fleet_options['seed'] = job.seed
    scenario.fleet_options['relayed'] = 'no'
    scenario.fleet_options['gateway_extra'] = job.case.policies[job.policy]


def measure(job: Job, evidence: Evidence) -> Figures:
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
    every = list(itertools.chain.from_iterable(attained.values()))
    engines = [
        events for events in evidence.events_by_target.values() if events
    ]
    return Figures(
        job.case.name,
        job.policy,
        job.seed,
        _mean(every),
        sum(every) / max(1, len(engines)),
        min(map(_mean, attained.values())),
        _mean(refused),
        _moves(evidence),
        _quantile(first_tokens, 50),
        _quantile(first_tokens, 95),
    )


def table(figures: Iterable[Figures]) -> Iterator[str]:
    """Yield a Markdown table: medians over seeds, with the spread."""
    grouped: defaultdict[tuple[str, str], list[Figures]] = defaultdict(list)
    for each in figures:
        grouped[each.case, each.policy].append(each)
    yield (
        '| case | policy | attainment | worst workspace | wrongful refusals '
        '| attained per accelerator | moves | first token p50 ms | p95 ms |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
    for (case, policy), runs in grouped.items():
        cells = [
            _spread([run.attainment for run in runs], '.3f'),
            _spread([run.worst_workspace for run in runs], '.3f'),
            _spread([run.wrongful_refusals for run in runs], '.3f'),
            _spread([run.per_accelerator for run in runs], '.1f'),
            _spread([float(run.moves) for run in runs], '.0f'),
            _spread([run.first_token_p50 for run in runs], '.0f'),
            _spread([run.first_token_p95 for run in runs], '.0f'),
        ]
        yield f'| {case} | {policy} | {" | ".join(cells)} |'


def _is_attained(invoked: Invocation, completed: Completion | None) -> bool:
    if completed is None or completed.first_token is None:
        return False
    elapsed = completed.first_token - invoked.time
    whole = outcome_of(invoked, completed) == WHOLE
    return whole and elapsed <= FIRST_TOKEN_SECONDS


def _moves(evidence: Evidence) -> int:
    return sum(
        event['event'] in {'load_done', 'unloaded'} and not event['adapter']
        for events in evidence.events_by_target.values()
        for event in events
    )


def _mean(flags: Iterable[bool]) -> float:
    listed = list(flags)
    return sum(listed) / len(listed) if listed else 0


def _quantile(numbers: list[float], percent: int) -> float:
    if len(numbers) < 2:
        return 0
    return statistics.quantiles(numbers, n=100)[percent - 1]


def _spread(numbers: list[float], form: str) -> str:
    middle = statistics.median(numbers)
    low, high = min(numbers), max(numbers)
    return f'{middle:{form}} ({low:{form}} to {high:{form}})'
