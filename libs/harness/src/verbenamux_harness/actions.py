"""The actions that scenario steps perform on a fleet."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from verbenamux_harness.declaring import host_rows, put_model
from verbenamux_harness.fleet import Fleet
from verbenamux_harness.language import Step
from verbenamux_harness.web import call, wait_until
from verbenamux_standin.log import READ_HEADER, RECORD_LENGTH, split_records

READY_TIMEOUT_SECONDS = 10

Action = Callable[['ScenarioRun', Step], None]


class UnknownActionError(Exception):
    """A step names an unknown action."""


@dataclass(slots=True)
class ScenarioRun:
    """A running scenario: its fleet and the effects of the steps so far."""

    fleet: Fleet
    now: Callable[[], float]
    killed_processes: set[str] = field(default_factory=set)
    terminated_processes: set[str] = field(default_factory=set)
    leaving_targets: set[str] = field(default_factory=set)
    left_at: dict[str, float] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    patched_at: dict[int, float] = field(default_factory=dict)

    def execute(self, step: Step) -> None:
        """Execute one step."""
        action = ACTION_BY_NAME.get(step.action)
        if action is None:
            raise UnknownActionError(step.action)
        action(self, step)


def _kill(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        run.killed_processes.add(name)
        run.fleet.process_by_name[name].kill()


def _start(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        if name in run.fleet.gateways:
            run.fleet.start_gateway(name)
        elif name.startswith('agent-'):
            run.fleet.start_agent(name.removeprefix('agent-'))
        else:
            run.fleet.start_target(name)


def _freeze(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        run.fleet.process_by_name[name].suspend()


def _thaw(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        run.fleet.process_by_name[name].resume()


def _terminate(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        run.terminated_processes.add(name)
        run.fleet.process_by_name[name].terminate()


def _fault(run: ScenarioRun, step: Step) -> None:
    switches = {
        name: setting == 'true' if setting in {'true', 'false'} else setting
        for name, setting in step.options.items()
    }
    for name in step.arguments:
        run.fleet.set_faults(name, **switches)


def _cut(run: ScenarioRun, step: Step) -> None:
    run.fleet.cut_lines(
        *step.arguments, delay_ms=int(step.options.get('delay', 0))
    )


def _leave(run: ScenarioRun, step: Step) -> None:
    """Mark targets as leaving on the platform's host list."""
    for name in step.arguments:
        run.leaving_targets.add(name)
        run.left_at.setdefault(name, run.now())
    rows = host_rows(run.fleet, tuple(run.leaving_targets))
    call('PUT', f'{run.fleet.url("hosts")}/hosts', msgspec.json.encode(rows))


def _drain(run: ScenarioRun, step: Step) -> None:
    for name in step.arguments:
        address = run.fleet.address_by_name[f'agent-{name}']
        run.fleet.ctl('drain', name, address)
        run.left_at.setdefault(name, run.now())


def _withdraw(run: ScenarioRun, step: Step) -> None:
    for workspace in step.arguments:
        key = run.fleet.key_by_workspace[workspace]
        digest = hashlib.sha256(key.encode()).hexdigest()
        peers = [
            f'--peer={run.fleet.address_by_name[f"peer-{gateway}"]}'
            for gateway in run.fleet.gateways
        ]
        peer_options = peers if step.options.get('directly') == 'yes' else []
        run.fleet.run_ctl('keys', 'withdraw', digest, *peer_options)
        run.withdrawn_at[workspace] = run.now()


def _upgrade(run: ScenarioRun, step: Step) -> None:
    """Declare a new version of a model."""
    name, version = step.arguments
    memory_mb = next(
        model.memory_mb
        for model in run.fleet.shape.models
        if model.name == name
    )
    _patch(run, [put_model(name, version, memory_mb)])


def _race(run: ScenarioRun, step: Step) -> None:
    """Apply several patches with the same base, like racing operators."""
    model = run.fleet.shape.models[-1]
    outcomes = []
    for number in range(int(step.arguments[0])):
        path = run.fleet.folder / f'race-{run.fleet.version}-{number}.json'
        operation = put_model(model.name, f'r{number}', model.memory_mb)
        path.write_bytes(msgspec.json.encode([operation]))
        base = str(run.fleet.version)
        outcomes.append(
            run.fleet.run_ctl('patch', '--base', base, str(path)),
        )
    if any(outcome.returncode == 0 for outcome in outcomes):
        _record_patch(run)


def _patch(run: ScenarioRun, changes: list[dict[str, Any]]) -> None:
    run.fleet.patch(changes)
    run.patched_at[run.fleet.version] = run.now()


def _record_patch(run: ScenarioRun) -> None:
    run.fleet.version += 1
    run.patched_at[run.fleet.version] = run.now()


def _expire(run: ScenarioRun, step: Step) -> None:
    """Trim all records of a stream from the log."""
    for stream in step.arguments:
        url = f'{run.fleet.url("log")}/api/log-trim'
        call('POST', f'{url}?topic={stream}&part=0&before=1000000')


def _await_ready(run: ScenarioRun, step: Step) -> None:
    """Wait until gateways report that they are ready."""
    for name in step.arguments:
        wait_until(
            partial(_is_ready, run, name),
            f'{name} to be ready',
            READY_TIMEOUT_SECONDS,
        )


def _is_ready(run: ScenarioRun, gateway: str) -> bool:
    return bool(run.fleet.status(gateway)['ready'])


def _replay(run: ScenarioRun, step: Step) -> None:
    """Append a stream's first record a second time, like a delayed writer."""
    for stream in step.arguments:
        url = f'{run.fleet.url("log")}/api/log'
        response = call('GET', f'{url}-read?topic={stream}&part=0&from=0')
        first = next(split_records(response.body[READ_HEADER.size :]))
        framed_record = RECORD_LENGTH.pack(len(first)) + first
        call('POST', f'{url}-append?topic={stream}&part=0', framed_record)


ACTION_BY_NAME: dict[str, Action] = {
    'kill': _kill,
    'start': _start,
    'freeze': _freeze,
    'thaw': _thaw,
    'terminate': _terminate,
    'fault': _fault,
    'cut': _cut,
    'leave': _leave,
    'drain': _drain,
    'withdraw': _withdraw,
    'upgrade': _upgrade,
    'race': _race,
    'expire': _expire,
    'replay': _replay,
    'await': _await_ready,
}
