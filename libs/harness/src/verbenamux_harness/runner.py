"""Runs one scenario: fleet, load, steps, evidence and result."""

import fnmatch
import subprocess
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from verbenamux_harness.actions import ScenarioRun
from verbenamux_harness.fleet import Fleet, running
from verbenamux_harness.language import (
    Expectation,
    LoadClause,
    MutantClause,
    Scenario,
)
from verbenamux_harness.processes import ProcessEndedError, program, spawn
from verbenamux_harness.shapes import SHAPE_BY_NAME, FleetShape
from verbenamux_harness.web import wait_until
from verbenamux_load.checker import Violation, find_violations
from verbenamux_load.evidence import (
    Evidence,
    RateLimit,
    VersionEvent,
    collect_calls,
)
from verbenamux_load.history import read_history
from verbenamux_load.summary import outcome_of

TargetEvents = tuple[str, list[dict[str, Any]]]

LOAD_TIMEOUT_SECONDS = 120
FINISH_DELAY_SECONDS = 0.5


@dataclass(slots=True)
class ScenarioResult:
    """The result of one run of a scenario."""

    scenario: str
    mutant: str = ''
    violations: list[Violation] = field(default_factory=list)
    unmet_expectations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    evidence: Evidence | None = None

    @property
    def succeeded(self) -> bool:
        """Whether every promise and expectation held."""
        return not self.violations and not self.unmet_expectations

    def has_broken(self, promise: str) -> bool:
        """Return whether a promise was broken."""
        return any(
            violation.promise.value == promise for violation in self.violations
        )


def run_scenario(
    scenario: Scenario,
    folder: Path,
    mutant: MutantClause | None = None,
) -> ScenarioResult:
    """Run a scenario once, optionally with a mechanism disabled."""
    folder.mkdir(parents=True, exist_ok=True)
    shape = shape_of(scenario)
    mutants = mutants_by_process(shape, folder, mutant)
    with running(shape, folder, mutants) as fleet:
        run, lines = _run_load_and_steps(scenario, fleet)
        evidence = _collect_evidence(scenario, run, lines)
    result = ScenarioResult(scenario.name, mutant.mechanism if mutant else '')
    result.evidence = evidence
    result.violations = find_violations(evidence)
    result.outcomes.update(
        outcome_of(invoked, completed) for invoked, completed in evidence.calls
    )
    result.unmet_expectations = list(
        _find_unmet_expectations(scenario, evidence)
    )
    return result


def shape_of(scenario: Scenario) -> FleetShape:
    """Return the fleet shape that a scenario declares."""
    options: dict[str, Any] = {'relayed': True}
    for name, setting in scenario.fleet_options.items():
        options |= _shape_option(name, setting)
    return SHAPE_BY_NAME[scenario.fleet](**options)


def _shape_option(name: str, setting: Any) -> dict[str, Any]:
    match name:
        case 'seed':
            return {}
        case 'snapshots':
            return {'gateway_extra': {'snapshot_every': setting}}
        case 'copies':
            return {'copies_least': setting}
    if setting in ('yes', 'no'):
        return {name: setting == 'yes'}
    return {name: setting}


def mutants_by_process(
    shape: FleetShape,
    folder: Path,
    mutant: MutantClause | None,
) -> dict[str, str]:
    """Return the mechanism to disable in each process, by process name."""
    if mutant is None:
        return {}
    fleet = Fleet(shape, folder)
    names = [
        *fleet.gateways,
        *(f'agent-{name}' for name in [*fleet.engines, *fleet.services]),
    ]
    return dict.fromkeys(
        fnmatch.filter(names, mutant.process_pattern), mutant.mechanism
    )


def _run_load_and_steps(
    scenario: Scenario,
    fleet: Fleet,
) -> tuple[ScenarioRun, list[Any]]:
    plan = fleet.folder / 'load.json'
    history = fleet.folder / 'history.jsonl'
    plan.write_bytes(msgspec.json.encode(load_plan(scenario, fleet)))
    start_file = fleet.folder / 'load.began'
    command = [
        program('verbenamux-load'),
        'run',
        str(plan),
        '--history',
        str(history),
        '--began',
        str(start_file),
    ]
    with (fleet.folder / 'load.log').open('ab') as log_file:
        load = spawn(command, log_file)
    started = _wait_for_load_start(load, start_file)
    run = ScenarioRun(fleet, lambda: time.monotonic() - started)
    for step in sorted(scenario.steps, key=lambda step: step.at):
        time.sleep(max(0, step.at - run.now()))
        run.execute(step)
    load.wait(LOAD_TIMEOUT_SECONDS)
    time.sleep(FINISH_DELAY_SECONDS)
    return run, list(read_history(history))


def _wait_for_load_start(
    load: subprocess.Popen[bytes], start_file: Path
) -> float:
    """Wait for the load to begin; return its start on the monotonic clock.

    Steps and the load's history then share one time base, however long the
    load tool takes to start.

    Errors:
        ConditionTimeoutError: the load did not begin in time.
        ProcessEndedError: the load tool ended before it began.

    """

    def has_begun() -> bool:
        if not start_file.exists() and load.poll() is not None:
            raise ProcessEndedError(f'load ended: code {load.returncode}')
        return start_file.exists()

    wait_until(has_begun, 'load to begin')
    return float(start_file.read_text())


def load_plan(scenario: Scenario, fleet: Fleet) -> dict[str, Any]:
    """Return the load of a scenario as the load tool reads it."""
    return {
        'gateways': [fleet.address_by_name[name] for name in fleet.gateways],
        'duration': f'{scenario.seconds}s',
        'callers': [
            _caller(index, clause, fleet)
            for index, clause in enumerate(scenario.loads)
        ],
        'seed': int(scenario.fleet_options.get('seed', 1)),
        'timeout': '70s',
        'weights': _weights(scenario, fleet),
    }


def _weights(scenario: Scenario, fleet: Fleet) -> list[int]:
    """Return the balancer weight of each gateway."""
    weight = scenario.first_gateway_weight
    return [weight, *(1 for _ in fleet.gateways[1:])]


def _caller(index: int, clause: LoadClause, fleet: Fleet) -> dict[str, Any]:
    caller: dict[str, Any] = {
        'name': f'{clause.workspace}-{clause.kind}-{index}',
        'key': fleet.key_by_workspace.get(clause.workspace, ''),
        'kind': 'service' if clause.kind == 'booking' else clause.kind,
        'rate': clause.rate,
        'models': _models_of(clause.workspace, fleet),
    }
    if clause.kind == 'booking':
        service = next(iter(fleet.shape.services))
        caller['path'] = f'/services/{service}/bookings'
        caller['idempotent'] = False
    if clause.options.get('foreign') == 'yes':
        caller['models'] = [model.name for model in fleet.shape.models]
    return caller | _caller_settings(clause)


def _caller_settings(clause: LoadClause) -> dict[str, Any]:
    translated: dict[str, Any] = {}
    for name, setting in clause.options.items():
        if name == 'keys':
            translated['idempotency_keys'] = True
        elif name == 'once':
            translated['idempotent'] = False
        elif name != 'foreign':
            translated[name] = setting
    return translated


def _models_of(workspace: str, fleet: Fleet) -> tuple[str, ...]:
    for shape in fleet.shape.workspaces:
        if shape.name == workspace:
            return shape.models
    return ()


def _collect_evidence(
    scenario: Scenario,
    run: ScenarioRun,
    lines: list[Any],
) -> Evidence:
    fleet = run.fleet
    started_at = datetime.now(UTC).timestamp() - run.now()
    loads = enumerate(scenario.loads)
    evidence = Evidence(collect_calls(lines))
    evidence.started_at = datetime.fromtimestamp(started_at, UTC)
    evidence.events_by_target = dict(_target_events(fleet))
    evidence.keys = tuple(fleet.key_by_workspace.values())
    evidence.workspace_by_caller = {
        f'{clause.workspace}-{clause.kind}-{index}': clause.workspace
        for index, clause in loads
    }
    for shape in fleet.shape.workspaces:
        evidence.models_by_workspace[shape.name] = frozenset(
            (*shape.models, *shape.adapters),
        )
        evidence.limit_by_workspace[shape.name] = RateLimit(
            shape.rate,
            shape.burst,
        )
    _add_step_effects(evidence, run)
    _add_log_lines(evidence, run)
    return evidence


def _add_step_effects(evidence: Evidence, run: ScenarioRun) -> None:
    fleet = run.fleet
    evidence.withdrawn_at = run.withdrawn_at
    evidence.left_at = run.left_at
    evidence.patched_at = run.patched_at
    evidence.last_version = fleet.version
    evidence.killed_targets = frozenset(run.killed_processes)
    killed = run.killed_processes & set(fleet.gateways)
    evidence.killed_gateways = frozenset(
        fleet.address_by_name[name] for name in killed
    )
    stopped = run.terminated_processes & set(fleet.gateways)
    evidence.terminated_gateways = frozenset(
        fleet.address_by_name[name] for name in stopped
    )
    evidence.watched_gateways = frozenset(
        name for name in fleet.gateways if name not in killed | stopped
    )


def _add_log_lines(evidence: Evidence, run: ScenarioRun) -> None:
    started_at = evidence.started_at or datetime.now(UTC)
    for name, process in run.fleet.process_by_name.items():
        for line in process.log_path.read_bytes().splitlines():
            evidence.log_lines.append(line)
            if b'"event":"configuration"' not in line:
                continue
            entry = msgspec.json.decode(line)
            event_time = datetime.fromisoformat(entry['time'])
            evidence.versions.append(
                VersionEvent(
                    name,
                    entry['instance'],
                    (event_time - started_at).total_seconds(),
                    entry['version'],
                    entry['digest'],
                ),
            )


def _target_events(fleet: Fleet) -> Iterator[TargetEvents]:
    for name in [*fleet.engines, *fleet.services]:
        process = fleet.process_by_name[name]
        if process.suspended:
            process.resume()
        if process.running:
            fleet.set_faults(name)
            yield name, fleet.history(name)


def _find_unmet_expectations(
    scenario: Scenario, evidence: Evidence
) -> Iterator[str]:
    for expectation in scenario.expectations:
        outcomes = [
            outcome_of(invoked, completed)
            for invoked, completed in evidence.calls
            if expectation.kind in {'all', _workspace_and_kind(invoked.caller)}
        ]
        if not outcomes:
            yield f'no call of {expectation.kind} was made'
            continue
        share = _fraction_of(outcomes, expectation.outcome)
        if not _is_met(expectation, share):
            bound = 'at least' if expectation.at_least else 'at most'
            yield (
                f'{expectation.outcome} was {share:.1%} of '
                f'{expectation.kind}, expected {bound} '
                f'{expectation.share:.1%}'
            )


def _workspace_and_kind(caller: str) -> str:
    """Return `workspace-kind` of a caller's name."""
    return caller.rpartition('-')[0]


def _fraction_of(outcomes: list[str], outcome: str) -> float:
    return outcomes.count(outcome) / len(outcomes)


def _is_met(expectation: Expectation, share: float) -> bool:
    if expectation.at_least:
        return share >= expectation.share
    return share <= expectation.share
