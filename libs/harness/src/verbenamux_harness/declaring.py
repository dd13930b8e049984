"""Settings and configuration patches of a fleet."""

import hashlib
import itertools
from collections.abc import Iterator
from typing import Any

from verbenamux_harness.layout import Layout
from verbenamux_harness.shapes import FleetShape


def log_settings(fleet: Layout) -> dict[str, Any]:
    """Return the log stand-in's settings."""
    return {'address': fleet.address_by_name['log'], 'retention': '1h'}


def hosts_settings(fleet: Layout) -> dict[str, Any]:
    """Return the host list stand-in's settings."""
    return {
        'address': fleet.address_by_name['hosts'],
        'lag': '500ms',
        'hosts': host_rows(fleet),
    }


def host_rows(
    fleet: Layout, leaving: tuple[str, ...] = ()
) -> list[dict[str, str]]:
    """Return the host list, with some hosts marked as leaving."""
    data_centres = itertools.cycle(fleet.shape.data_centres)
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
            'data_centre': next(data_centres),
            'state': 'leaving' if name in leaving else 'live',
        }
        for role, name, address in rows
    ]


def log_address(fleet: Layout, gateway: str) -> str:
    """Return a gateway's address of the log; a relayed one can be cut."""
    name = f'line-{gateway}' if fleet.shape.relayed else 'log'
    return fleet.address_by_name[name]


def peer_address(fleet: Layout, gateway: str) -> str:
    """Return the address at which other gateways reach a gateway."""
    kind = 'line-peer' if fleet.shape.relayed else 'peer'
    return fleet.address_by_name[f'{kind}-{gateway}']


def agent_address(fleet: Layout, target: str) -> str:
    """Return the address at which gateways reach a target's agent."""
    kind = 'line' if fleet.shape.relayed else 'agent'
    return fleet.address_by_name[f'{kind}-{target}']


def relay_settings(fleet: Layout) -> dict[str, Any]:
    """Return the relay's settings: lines to agents, the log and peers."""
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
            'name': line_name.removeprefix('line-'),
            'listen': fleet.address_by_name[line_name],
            'to': fleet.address_by_name[destination],
        }
        for line_name, destination in pairs
    ]
    return {'address': fleet.address_by_name['relay'], 'lines': lines}


def gateway_settings(fleet: Layout, name: str) -> dict[str, Any]:
    """Return a gateway's settings."""
    settings = {
        'name': name,
        'address': fleet.address_by_name[name],
        'peer_address': fleet.address_by_name[f'peer-{name}'],
        'data_centre': _data_centre_of(fleet, fleet.gateways.index(name)),
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


def merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return settings merged recursively with overrides."""
    merged = dict(base)
    for name, setting in overrides.items():
        current = merged.get(name)
        if isinstance(current, dict) and isinstance(setting, dict):
            merged[name] = merge(current, setting)
        else:
            merged[name] = setting
    return merged


def agent_settings(fleet: Layout, target: str) -> dict[str, Any]:
    """Return the settings of a target's agent."""
    kind = 'engine' if target in fleet.engines else 'service'
    names = [*fleet.engines, *fleet.services]
    return {
        'name': target,
        'address': fleet.address_by_name[f'agent-{target}'],
        'data_centre': _data_centre_of(fleet, names.index(target)),
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


def target_settings(fleet: Layout, name: str) -> dict[str, Any]:
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


def operations(fleet: Layout) -> list[dict[str, Any]]:
    """Return the operations that declare all of a fleet shape."""
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


def _target_operations(fleet: Layout) -> Iterator[dict[str, Any]]:
    names = [*fleet.engines, *fleet.services]
    for index, name in enumerate(names):
        is_engine = name in fleet.engines
        yield {
            'op': 'put_target',
            'target': {
                'name': name,
                'kind': 'engine' if is_engine else 'service',
                'agent': agent_address(fleet, name),
                'data_centre': _data_centre_of(fleet, index),
                'service': '' if is_engine else name.removesuffix('-0'),
                'memory_mb': fleet.shape.engine_memory_mb if is_engine else 0,
                'checks_orders': fleet.shape.fencing,
            },
        }


def _workspace_operations(fleet: Layout) -> Iterator[dict[str, Any]]:
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
    """Return the operation that grants a key to a workspace."""
    return {
        'op': 'grant_key',
        'key': {
            'key_hash': hashlib.sha256(key.encode()).hexdigest(),
            'workspace': workspace,
        },
    }


def _data_centre_of(fleet: Layout, index: int) -> str:
    data_centres = fleet.shape.data_centres
    return data_centres[index % len(data_centres)]
