"""What a scenario's steps do to a fleet."""

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

AWAIT_SECONDS = 10

Action = Callable[['Stage', Step], None]


class UnknownActionError(Exception):
    """A step whose action the harness does not know."""


@dataclass(slots=True)
class Stage:
    """A fleet under a scenario, and what the steps did to it."""

    fleet: Fleet
    now: Callable[[], float]
    killed: set[str] = field(default_factory=set)
    terminated: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    left_at: dict[str, float] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    patched_at: dict[int, float] = field(default_factory=dict)

    def act(self, step: Step) -> None:
        """Carry out one step."""
        action = ACTION_BY_NAME.get(step.action)
        if action is None:
            raise UnknownActionError(step.action)
        action(self, step)


def _kill(stage: Stage, step: Step) -> None:
    for name in step.words:
        stage.killed.add(name)
        stage.fleet.process_by_name[name].kill()


def _start(stage: Stage, step: Step) -> None:
    for name in step.words:
        if name in stage.fleet.gateways:
            stage.fleet.start_gateway(name)
        elif name.startswith('agent-'):
            stage.fleet.start_agent(name.removeprefix('agent-'))
        else:
            stage.fleet.start_target(name)


def _freeze(stage: Stage, step: Step) -> None:
    for name in step.words:
        stage.fleet.process_by_name[name].freeze()


def _thaw(stage: Stage, step: Step) -> None:
    for name in step.words:
        stage.fleet.process_by_name[name].thaw()


def _terminate(stage: Stage, step: Step) -> None:
    for name in step.words:
        stage.terminated.add(name)
        stage.fleet.process_by_name[name].terminate()


def _fault(stage: Stage, step: Step) -> None:
    switches = {
        name: setting == 'true' if setting in {'true', 'false'} else setting
        for name, setting in step.options.items()
    }
    for name in step.words:
        stage.fleet.faults(name, **switches)


def _cut(stage: Stage, step: Step) -> None:
    stage.fleet.cut(*step.words, delay_ms=int(step.options.get('delay', 0)))


def _leave(stage: Stage, step: Step) -> None:
    """Mark targets as leaving on the platform's host list."""
    for name in step.words:
        stage.leaving.add(name)
        stage.left_at.setdefault(name, stage.now())
    rows = host_rows(stage.fleet, tuple(stage.leaving))
    call('PUT', f'{stage.fleet.url("hosts")}/hosts', msgspec.json.encode(rows))


def _drain(stage: Stage, step: Step) -> None:
    for name in step.words:
        address = stage.fleet.address_by_name[f'agent-{name}']
        stage.fleet.ctl('drain', name, address)
        stage.left_at.setdefault(name, stage.now())


def _withdraw(stage: Stage, step: Step) -> None:
    for workspace in step.words:
        key = stage.fleet.key_by_workspace[workspace]
        digest = hashlib.sha256(key.encode()).hexdigest()
        peers = [
            f'--peer={stage.fleet.address_by_name[f"peer-{gateway}"]}'
            for gateway in stage.fleet.gateways
        ]
        direct = peers if step.options.get('directly') == 'yes' else []
        stage.fleet.try_ctl('keys', 'withdraw', digest, *direct)
        stage.withdrawn_at[workspace] = stage.now()


def _upgrade(stage: Stage, step: Step) -> None:
    """Declare a new version of a model."""
    name, version = step.words
    memory_mb = next(
        model.memory_mb
        for model in stage.fleet.shape.models
        if model.name == name
    )
    _patch(stage, [put_model(name, version, memory_mb)])


def _race(stage: Stage, step: Step) -> None:
    """Let operators race with patches for one and the same base."""
    model = stage.fleet.shape.models[-1]
    outcomes = []
    for number in range(int(step.words[0])):
        path = stage.fleet.folder / f'race-{stage.fleet.version}-{number}.json'
        changed = put_model(model.name, f'r{number}', model.memory_mb)
        path.write_bytes(msgspec.json.encode([changed]))
        base = str(stage.fleet.version)
        outcomes.append(
            stage.fleet.try_ctl('patch', '--base', base, str(path)),
        )
    if any(outcome.returncode == 0 for outcome in outcomes):
        _note_patch(stage)


def _patch(stage: Stage, changes: list[dict[str, Any]]) -> None:
    stage.fleet.patch(changes)
    stage.patched_at[stage.fleet.version] = stage.now()


def _note_patch(stage: Stage) -> None:
    stage.fleet.version += 1
    stage.patched_at[stage.fleet.version] = stage.now()


def _expire(stage: Stage, step: Step) -> None:
    """Let the log forget all records of a stream."""
    for stream in step.words:
        url = f'{stage.fleet.url("log")}/api/log-trim'
        call('POST', f'{url}?topic={stream}&part=0&before=1000000')


def _await(stage: Stage, step: Step) -> None:
    """Wait until gateways take callers again."""
    for name in step.words:
        wait_until(
            partial(_is_ready, stage, name),
            f'{name} to be ready',
            AWAIT_SECONDS,
        )


def _is_ready(stage: Stage, gateway: str) -> bool:
    return bool(stage.fleet.status(gateway)['ready'])


def _replay(stage: Stage, step: Step) -> None:
    """Append a stream's first record again, as a paused writer would."""
    for stream in step.words:
        url = f'{stage.fleet.url("log")}/api/log'
        read = call('GET', f'{url}-read?topic={stream}&part=0&from=0')
        first = next(split_records(read.body[READ_HEADER.size :]))
        framed = RECORD_LENGTH.pack(len(first)) + first
        call('POST', f'{url}-append?topic={stream}&part=0', framed)


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
    'await': _await,
}
