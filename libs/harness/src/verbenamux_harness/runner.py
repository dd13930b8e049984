"""Running one scenario: fleet, load, steps, evidence, verdict."""

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

from verbenamux_harness.actions import Stage
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

LOAD_PATIENCE_SECONDS = 120
SETTLE_SECONDS = 0.5


@dataclass(slots=True)
class Verdict:
    """What became of one run of a scenario."""

    scenario: str
    mutant: str = ''
    violations: list[Violation] = field(default_factory=list)
    unmet: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    evidence: Evidence | None = None

    @property
    def kept(self) -> bool:
        """Whether every promise and expectation held."""
        return not self.violations and not self.unmet

    def broke(self, promise: str) -> bool:
        """Tell whether a promise was broken."""
        return any(
            violation.promise.value == promise for violation in self.violations
        )


def run_scenario(
    scenario: Scenario,
    folder: Path,
    mutant: MutantClause | None = None,
) -> Verdict:
    """Run a scenario once, with or without one of its mechanisms."""
    folder.mkdir(parents=True, exist_ok=True)
    shape = shape_of(scenario)
    mutants = mutants_of(shape, folder, mutant)
    with running(shape, folder, mutants) as fleet:
        stage, lines = _play(scenario, fleet)
        evidence = _gather(scenario, stage, lines)
    verdict = Verdict(scenario.name, mutant.mechanism if mutant else '')
    verdict.evidence = evidence
    verdict.violations = find_violations(evidence)
    verdict.outcomes.update(
        outcome_of(invoked, completed) for invoked, completed in evidence.calls
    )
    verdict.unmet = list(_unmet(scenario, evidence))
    return verdict


def shape_of(scenario: Scenario) -> FleetShape:
    """Return the fleet that a scenario asks for."""
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


def mutants_of(
    shape: FleetShape,
    folder: Path,
    mutant: MutantClause | None,
) -> dict[str, str]:
    """Return the mechanism to take away at each process."""
    if mutant is None:
        return {}
    fleet = Fleet(shape, folder)
    names = [
        *fleet.gateways,
        *(f'agent-{name}' for name in [*fleet.engines, *fleet.services]),
    ]
    return dict.fromkeys(fnmatch.filter(names, mutant.where), mutant.mechanism)


def _play(
    scenario: Scenario,
    fleet: Fleet,
) -> tuple[Stage, list[Any]]:
    plan = fleet.folder / 'load.json'
    history = fleet.folder / 'history.jsonl'
    plan.write_bytes(msgspec.json.encode(load_plan(scenario, fleet)))
    began = fleet.folder / 'load.began'
    command = [
        program('verbenamux-load'),
        'run',
        str(plan),
        '--history',
        str(history),
        '--began',
        str(began),
    ]
    with (fleet.folder / 'load.log').open('ab') as log_file:
        load = spawn(command, log_file)
    started = _sending_since(load, began)
    stage = Stage(fleet, lambda: time.monotonic() - started)
    for step in sorted(scenario.steps, key=lambda step: step.at):
        time.sleep(max(0, step.at - stage.now()))
        stage.act(step)
    load.wait(LOAD_PATIENCE_SECONDS)
    time.sleep(SETTLE_SECONDS)
    return stage, list(read_history(history))


def _sending_since(load: subprocess.Popen[bytes], began: Path) -> float:
    """Return when the load began, by the clock of this host's processes.

    Steps and the load's history then have one clock, however long the load
    tool takes to start.

    Errors:
        ConditionTimeoutError: it did not begin in time.
        ProcessEndedError: it ended before.

    """

    def has_begun() -> bool:
        if not began.exists() and load.poll() is not None:
            raise ProcessEndedError(f'load ended: code {load.returncode}')
        return began.exists()

    wait_until(has_begun, 'load to begin')
    return float(began.read_text())


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
    """Return how a balancer favours gateways; the first may be favoured."""
    favour = scenario.balancer
    return [favour, *(1 for _ in fleet.gateways[1:])]


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
    return caller | _options(clause)


def _options(clause: LoadClause) -> dict[str, Any]:
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


def _gather(
    scenario: Scenario,
    stage: Stage,
    lines: list[Any],
) -> Evidence:
    fleet = stage.fleet
    started_at = datetime.now(UTC).timestamp() - stage.now()
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
    _add_steps(evidence, stage)
    _add_logs(evidence, stage)
    return evidence


def _add_steps(evidence: Evidence, stage: Stage) -> None:
    fleet = stage.fleet
    evidence.withdrawn_at = stage.withdrawn_at
    evidence.left_at = stage.left_at
    evidence.patched_at = stage.patched_at
    evidence.last_version = fleet.version
    evidence.killed_targets = frozenset(stage.killed)
    killed = stage.killed & set(fleet.gateways)
    evidence.killed_gateways = frozenset(
        fleet.address_by_name[name] for name in killed
    )
    ended = stage.terminated & set(fleet.gateways)
    evidence.terminated_gateways = frozenset(
        fleet.address_by_name[name] for name in ended
    )
    evidence.watched_gateways = frozenset(
        name for name in fleet.gateways if name not in killed | ended
    )


def _add_logs(evidence: Evidence, stage: Stage) -> None:
    started_at = evidence.started_at or datetime.now(UTC)
    for name, process in stage.fleet.process_by_name.items():
        for line in process.log_path.read_bytes().splitlines():
            evidence.log_lines.append(line)
            if b'"event":"configuration"' not in line:
                continue
            told = msgspec.json.decode(line)
            when = datetime.fromisoformat(told['time'])
            evidence.versions.append(
                VersionEvent(
                    name,
                    told['instance'],
                    (when - started_at).total_seconds(),
                    told['version'],
                    told['digest'],
                ),
            )


def _target_events(fleet: Fleet) -> Iterator[TargetEvents]:
    for name in [*fleet.engines, *fleet.services]:
        process = fleet.process_by_name[name]
        if process.frozen:
            process.thaw()
        if process.running:
            fleet.faults(name)
            yield name, fleet.history(name)


def _unmet(scenario: Scenario, evidence: Evidence) -> Iterator[str]:
    for expectation in scenario.expectations:
        outcomes = [
            outcome_of(invoked, completed)
            for invoked, completed in evidence.calls
            if expectation.kind in {'all', _kind_of(invoked.caller)}
        ]
        if not outcomes:
            yield f'no call of {expectation.kind} was made'
            continue
        share = _share(outcomes, expectation.outcome)
        if not _is_met(expectation, share):
            bound = 'at least' if expectation.at_least else 'at most'
            yield (
                f'{expectation.outcome} was {share:.1%} of '
                f'{expectation.kind}, expected {bound} '
                f'{expectation.share:.1%}'
            )


def _kind_of(caller: str) -> str:
    """Return `workspace-kind` of a caller's name."""
    return caller.rpartition('-')[0]


def _share(outcomes: list[str], outcome: str) -> float:
    return outcomes.count(outcome) / len(outcomes)


def _is_met(expectation: Expectation, share: float) -> bool:
    if expectation.at_least:
        return share >= expectation.share
    return share <= expectation.share
