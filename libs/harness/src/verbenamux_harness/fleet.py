"""A whole small fleet as processes on loopback addresses."""

import hashlib
import itertools
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from verbenamux_harness.processes import Process, free_addresses, program
from verbenamux_harness.shapes import FleetShape
from verbenamux_harness.web import Answer, call, wait_until

COMMAND_SECONDS = 60


@dataclass(slots=True)
class Fleet:
    """Processes, addresses and keys of a fleet that was started.

    `mutants` names, by process, a mechanism that is taken away.
    """

    shape: FleetShape
    folder: Path
    mutants: dict[str, str] = field(default_factory=dict)
    process_by_name: dict[str, Process] = field(default_factory=dict)
    address_by_name: dict[str, str] = field(default_factory=dict)
    key_by_workspace: dict[str, str] = field(default_factory=dict)
    version: int = 0

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [f'engine-{number}' for number in range(self.shape.engines)]

    @property
    def services(self) -> list[str]:
        """Names of the plain services' targets."""
        return [f'{name}-0' for name in self.shape.services]

    @property
    def gateways(self) -> list[str]:
        """Names of the gateways."""
        return [f'gateway-{number}' for number in range(self.shape.gateways)]

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f'http://{self.address_by_name[name]}'

    def start(self) -> None:
        """Start everything, apply the configuration, wait until ready."""
        self._assign_addresses()
        self._start_platform()
        for name in [*self.engines, *self.services]:
            self.start_target(name)
            self.start_agent(name)
        for name in self.gateways:
            self.start_gateway(name)
        self.configure()
        self.wait_ready()

    def start_gateway(self, name: str) -> None:
        """Start a gateway, or start it again."""
        settings = gateway_settings(self, name)
        self._launch(name, 'verbenamux-gateway', [], settings)

    def start_agent(self, target: str) -> None:
        """Start the agent of a target, or start it again."""
        settings = agent_settings(self, target)
        self._launch(f'agent-{target}', 'verbenamux-agent', [], settings)

    def start_target(self, name: str) -> None:
        """Start a target's stand-in, or start it again."""
        kind = 'engine' if name in self.engines else 'service'
        settings = target_settings(self, name)
        self._launch(name, 'verbenamux-standin', [kind], settings)

    def configure(self) -> None:
        """Apply the shape's configuration as one patch."""
        for workspace in self.shape.workspaces:
            self.key_by_workspace[workspace.name] = f'vk-{workspace.name}'
        self.patch(operations(self))

    def patch(self, changes: list[dict[str, Any]]) -> None:
        """Apply operations with the command line; the base is the last."""
        path = self.folder / f'patch-{self.version}.json'
        path.write_bytes(msgspec.json.encode(changes))
        self.ctl('patch', '--base', str(self.version), str(path))
        self.version += 1

    def ctl(self, *arguments: str) -> str:
        """Run the operator's command line and return what it prints."""
        return self.try_ctl(*arguments, check=True).stdout.decode()

    def try_ctl(
        self,
        *arguments: str,
        check: bool = False,
    ) -> subprocess.CompletedProcess[bytes]:
        """Run the operator's command line, whatever comes of it."""
        return subprocess.run(
            [program('verbenamuxctl'), *arguments],
            env={'VERBENAMUX_LOG': self.address_by_name['log']},
            capture_output=True,
            check=check,
            timeout=COMMAND_SECONDS,
        )

    def wait_ready(self) -> None:
        """Wait until every model and service can be reached everywhere."""
        for name in self.gateways:
            wait_until(self._is_ready(name), f'{name} to be ready')

    def status(self, gateway: str) -> dict[str, Any]:
        """Return what a gateway says of itself."""
        told: dict[str, Any] = call('GET', f'{self.url(gateway)}/readyz').json()
        return told

    def faults(self, name: str, **switches: Any) -> None:
        """Set a stand-in's fault switches; those not named go off."""
        body = msgspec.json.encode(switches)
        call('PUT', f'{self.url(name)}/faults', body)

    def cut(self, *lines: str, delay_ms: int = 0) -> None:
        """Cut a gateway's line to the log or a target's line to gateways."""
        body = msgspec.json.encode({'lines': lines, 'delay_ms': delay_ms})
        call('PUT', f'{self.url("relay")}/cuts', body)

    def history(self, name: str) -> list[dict[str, Any]]:
        """Return what a target's stand-in wrote."""
        body = call('GET', f'{self.url(name)}/history').body
        return [msgspec.json.decode(line) for line in body.splitlines()]

    def chat(
        self,
        gateway: str,
        workspace: str,
        prompt: str,
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Answer:
        """Send one chat request and return its whole answer."""
        body = {
            'model': self.shape.models[0].name,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': 8,
        }
        sent = {
            'Authorization': f'Bearer {self.key_by_workspace[workspace]}',
            'Content-Type': 'application/json',
        }
        return call(
            'POST',
            f'{self.url(gateway)}/v1/chat/completions',
            msgspec.json.encode(body | fields),
            sent | (headers or {}),
            seconds=COMMAND_SECONDS,
        )

    def stop(self) -> dict[str, int | None]:
        """Stop everything; return the exit codes by name."""
        codes = {}
        order = [*self.gateways, *reversed(list(self.process_by_name))]
        for name in order:
            process = self.process_by_name.pop(name, None)
            if process is not None:
                codes[name] = process.stop()
        return codes

    def _is_ready(self, gateway: str) -> Callable[[], bool]:
        models = {model.name for model in self.shape.models}

        def ready() -> bool:
            status = self.status(gateway)
            held = set()
            for target in status['targets'].values():
                held.update(target['models'])
            alive = all(row['alive'] for row in status['targets'].values())
            peers = len(status['peers']) == self.shape.gateways - 1
            return status['ready'] and alive and peers and models <= held

        return ready

    def _assign_addresses(self) -> None:
        targets = [*self.engines, *self.services]
        names = [
            'relay',
            'log',
            'store',
            'hosts',
            *targets,
            *(f'agent-{target}' for target in targets),
            *self.gateways,
            *(f'peer-{gateway}' for gateway in self.gateways),
            *(f'line-{target}' for target in targets),
            *(f'line-{gateway}' for gateway in self.gateways),
            *(f'line-peer-{gateway}' for gateway in self.gateways),
        ]
        addresses = free_addresses(len(names))
        self.address_by_name.update(zip(names, addresses, strict=True))

    def _start_platform(self) -> None:
        self._launch('log', 'verbenamux-standin', ['log'], log_settings(self))
        if self.shape.relayed:
            self._launch(
                'relay',
                'verbenamux-standin',
                ['relay'],
                relay_settings(self),
            )
        self._launch(
            'store',
            'verbenamux-standin',
            ['store'],
            {
                'address': self.address_by_name['store'],
                'pace': self.shape.store,
            },
        )
        self._launch(
            'hosts',
            'verbenamux-standin',
            ['hosts'],
            hosts_settings(self),
        )
        for name in ('log', 'store', 'hosts'):
            wait_until(self._listens(name), f'{name} to listen')

    def _listens(self, name: str) -> Callable[[], bool]:
        return lambda: call('GET', f'{self.url(name)}/faults').status > 0

    def _launch(
        self,
        name: str,
        console_script: str,
        words: list[str],
        settings: dict[str, Any],
    ) -> None:
        path = self.folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        start = [program(console_script)]
        mutant = self.mutants.get(name)
        if mutant is not None:
            module = 'verbenamux_harness.mutant'
            start = [sys.executable, '-m', module, mutant, console_script]
        command = [*start, *words, '--settings', str(path)]
        process = Process(name, command, self.folder / f'{name}.log')
        self.process_by_name[name] = process
        process.start()


@contextmanager
def running(
    shape: FleetShape,
    folder: Path,
    mutants: dict[str, str] | None = None,
) -> Iterator[Fleet]:
    """Run a fleet for the length of a block, and stop it in any case."""
    fleet = Fleet(shape, folder, mutants or {})
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def log_settings(fleet: Fleet) -> dict[str, Any]:
    """Return the log stand-in's settings."""
    return {'address': fleet.address_by_name['log'], 'retention': '1h'}


def hosts_settings(fleet: Fleet) -> dict[str, Any]:
    """Return the host list stand-in's settings."""
    return {
        'address': fleet.address_by_name['hosts'],
        'lag': '500ms',
        'hosts': host_rows(fleet),
    }


def host_rows(
    fleet: Fleet, leaving: tuple[str, ...] = ()
) -> list[dict[str, str]]:
    """Return the host list, with some hosts marked as leaving."""
    centres = itertools.cycle(fleet.shape.data_centres)
    rows = [
        ('gateway', name, peer_address(fleet, name)) for name in fleet.gateways
    ]
    rows.extend(
        ('agent', name, fleet.address_by_name[f'agent-{name}'])
        for name in [*fleet.engines, *fleet.services]
    )
    return [
        {
            'name': name,
            'role': role,
            'address': address,
            'data_centre': next(centres),
            'state': 'leaving' if name in leaving else 'live',
        }
        for role, name, address in rows
    ]


def log_address(fleet: Fleet, gateway: str) -> str:
    """Return where a gateway finds the log; relays can cut it off."""
    name = f'line-{gateway}' if fleet.shape.relayed else 'log'
    return fleet.address_by_name[name]


def peer_address(fleet: Fleet, gateway: str) -> str:
    """Return where gateways find each other."""
    kind = 'line-peer' if fleet.shape.relayed else 'peer'
    return fleet.address_by_name[f'{kind}-{gateway}']


def agent_address(fleet: Fleet, target: str) -> str:
    """Return where gateways find a target's agent."""
    kind = 'line' if fleet.shape.relayed else 'agent'
    return fleet.address_by_name[f'{kind}-{target}']


def relay_settings(fleet: Fleet) -> dict[str, Any]:
    """Return the relay's settings: a line to each agent and log client."""
    pairs = [
        (f'line-{name}', f'agent-{name}')
        for name in [*fleet.engines, *fleet.services]
    ]
    pairs.extend((f'line-{name}', 'log') for name in fleet.gateways)
    pairs.extend(
        (f'line-peer-{name}', f'peer-{name}') for name in fleet.gateways
    )
    lines = [
        {
            'name': line.removeprefix('line-'),
            'listen': fleet.address_by_name[line],
            'to': fleet.address_by_name[end],
        }
        for line, end in pairs
    ]
    return {'address': fleet.address_by_name['relay'], 'lines': lines}


def gateway_settings(fleet: Fleet, name: str) -> dict[str, Any]:
    """Return a gateway's settings."""
    settings = {
        'name': name,
        'address': fleet.address_by_name[name],
        'peer_address': fleet.address_by_name[f'peer-{name}'],
        'data_centre': _centre(fleet, fleet.gateways.index(name)),
        'platform': {
            'log': log_address(fleet, name),
            'hosts': fleet.address_by_name['hosts'],
        },
        'planning': {
            'loads_per_second': fleet.shape.store['loads_per_second'],
            'interval': '500ms',
        },
        'rates': {'lease': fleet.shape.lease},
        'hello': '500ms',
    }
    return merge(settings, fleet.shape.gateway_extra)


def merge(base: dict[str, Any], extra: dict[str, Any]) -> dict[str, Any]:
    """Return settings with others laid over them, level by level."""
    merged = dict(base)
    for name, setting in extra.items():
        known = merged.get(name)
        if isinstance(known, dict) and isinstance(setting, dict):
            merged[name] = merge(known, setting)
        else:
            merged[name] = setting
    return merged


def agent_settings(fleet: Fleet, target: str) -> dict[str, Any]:
    """Return the settings of a target's agent."""
    kind = 'engine' if target in fleet.engines else 'service'
    names = [*fleet.engines, *fleet.services]
    return {
        'name': target,
        'address': fleet.address_by_name[f'agent-{target}'],
        'data_centre': _centre(fleet, names.index(target)),
        'target': {
            'kind': kind,
            'address': fleet.address_by_name[target],
            'slots': fleet.shape.slots,
            'settle': fleet.shape.settle,
        },
        'log': fleet.address_by_name['log'],
        'known_as': agent_address(fleet, target),
        'lease': fleet.shape.lease,
    }


def target_settings(fleet: Fleet, name: str) -> dict[str, Any]:
    """Return the settings of a target's stand-in."""
    shape = fleet.shape
    address = fleet.address_by_name[name]
    if name in fleet.services:
        return {'address': address, 'name': name, 'work': shape.service_work}
    return {
        'address': address,
        'name': name,
        'memory_mb': shape.engine_memory_mb,
        'pace': {
            'slots': shape.slots,
            'prefill_tokens_per_second': shape.prefill_rate,
            'decode_ms': shape.decode_ms,
            'cache_blocks': 512,
        },
        'fencing': shape.fencing,
        'report_lag': shape.report_lag,
        'store': fleet.address_by_name['store'],
    }


def operations(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the operations that declare a whole shape."""
    return [
        *_model_operations(fleet.shape),
        *_service_operations(fleet.shape),
        *_target_operations(fleet),
        *_workspace_operations(fleet),
    ]


def _model_operations(shape: FleetShape) -> Iterator[dict[str, Any]]:
    for model in shape.models:
        yield put_model(
            model.name,
            model.version,
            model.memory_mb,
            model.copies_least,
        )
    for adapter, model_name in shape.adapters.items():
        yield {
            'op': 'put_adapter',
            'adapter': {
                'name': adapter,
                'model': model_name,
                'memory_mb': 10,
            },
        }


def put_model(
    name: str,
    version: str,
    memory_mb: int,
    copies_least: int = 1,
) -> dict[str, Any]:
    """Return the operation that declares a model."""
    return {
        'op': 'put_model',
        'model': {
            'name': name,
            'version': version,
            'memory_mb': memory_mb,
            'copies_least': copies_least,
        },
    }


def _service_operations(shape: FleetShape) -> Iterator[dict[str, Any]]:
    for name, idempotent in shape.services.items():
        yield {
            'op': 'put_service',
            'service': {'name': name, 'idempotent': idempotent},
        }
    for service, path in shape.public_routes:
        yield {
            'op': 'open_route',
            'route': {'service': service, 'path': path},
        }


def _target_operations(fleet: Fleet) -> Iterator[dict[str, Any]]:
    names = [*fleet.engines, *fleet.services]
    for index, name in enumerate(names):
        engine = name in fleet.engines
        yield {
            'op': 'put_target',
            'target': {
                'name': name,
                'kind': 'engine' if engine else 'service',
                'agent': agent_address(fleet, name),
                'data_centre': _centre(fleet, index),
                'service': '' if engine else name.removesuffix('-0'),
                'memory_mb': fleet.shape.engine_memory_mb if engine else 0,
                'checks_orders': fleet.shape.fencing,
            },
        }


def _workspace_operations(fleet: Fleet) -> Iterator[dict[str, Any]]:
    for workspace in fleet.shape.workspaces:
        yield {
            'op': 'put_workspace',
            'workspace': {
                'name': workspace.name,
                'rate_tokens_per_second': workspace.rate,
                'burst_tokens': workspace.burst,
                'models': workspace.models,
                'adapters': workspace.adapters,
                'services': workspace.services,
            },
        }
        yield grant_key(
            workspace.name,
            fleet.key_by_workspace[workspace.name],
        )


def grant_key(workspace: str, key: str) -> dict[str, Any]:
    """Return the operation that lets a key act for a workspace."""
    return {
        'op': 'grant_key',
        'key': {
            'key_hash': hashlib.sha256(key.encode()).hexdigest(),
            'workspace': workspace,
        },
    }


def _centre(fleet: Fleet, index: int) -> str:
    centres = fleet.shape.data_centres
    return centres[index % len(centres)]
