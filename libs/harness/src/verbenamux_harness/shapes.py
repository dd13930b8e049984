"""Small versions of the users' fleets."""

from dataclasses import dataclass, field
from typing import Any

AMPLE_RATE = 100_000


@dataclass(frozen=True, slots=True)
class ModelShape:
    """One model; memory in MB."""

    name: str
    memory_mb: int
    version: str = 'v1'
    copies_least: int = 1


@dataclass(frozen=True, slots=True)
class WorkspaceShape:
    """One workspace; `rate` in tokens per second, `burst` in tokens."""

    name: str
    rate: int
    burst: int
    models: tuple[str, ...]
    services: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetShape:
    """A fleet, small enough for one machine."""

    name: str
    data_centres: tuple[str, ...]
    gateways: int
    engines: int
    engine_memory_mb: int
    models: tuple[ModelShape, ...]
    workspaces: tuple[WorkspaceShape, ...]
    services: dict[str, bool] = field(default_factory=dict)
    adapters: dict[str, str] = field(default_factory=dict)
    public_routes: tuple[tuple[str, str], ...] = ()
    slots: int = 8
    decode_ms: int = 8
    prefill_rate: int = 8000
    store: dict[str, Any] = field(default_factory=dict)
    fencing: bool = True
    settle: str = '300ms'
    report_lag: str = '100ms'
    lease: str = '3s'
    relayed: bool = False
    service_work: str = '5ms'
    gateway_extra: dict[str, Any] = field(default_factory=dict)


def nakhla(copies_least: int = 1, **changes: Any) -> FleetShape:
    """Return a small fleet of Nakhla Sand & Sledge Hire."""
    models = tuple(
        ModelShape(f'desk-{number}', 1000, copies_least=copies_least)
        for number in range(5)
    )
    names = tuple(model.name for model in models)
    shape: dict[str, Any] = {
        'name': 'nakhla',
        'data_centres': ('hut-north', 'hut-lake', 'hut-oasis'),
        'gateways': 2,
        'engines': 3,
        'engine_memory_mb': 4000,
        'models': models,
        'workspaces': (
            WorkspaceShape(
                'counter',
                AMPLE_RATE,
                AMPLE_RATE,
                names,
                ('hire-ledger',),
                ('waiver-fr',),
            ),
            WorkspaceShape(
                'coaches',
                AMPLE_RATE,
                AMPLE_RATE,
                names[:3],
                ('hire-ledger',),
            ),
            WorkspaceShape('noisy', 300, 600, names[:2]),
            WorkspaceShape('steady', 350, 500, names[:2]),
            WorkspaceShape('single', AMPLE_RATE, AMPLE_RATE, names[:1]),
        ),
        'services': {'hire-ledger': False},
        'adapters': {'waiver-fr': 'desk-0'},
        'public_routes': (('hire-ledger', '/opening-hours'),),
        'store': {
            'loads_per_second': 20.0,
            'at_full_speed': 5,
            'load_ms': 150,
            'adapters_at_full_speed': 40,
            'adapter_ms': 7,
        },
    }
    return FleetShape(**(shape | changes))


def addis(copies_least: int = 1, **changes: Any) -> FleetShape:
    """Return a small fleet of the Addis Theatre Wigmakers Authority."""
    models = tuple(
        ModelShape(f'wig-{number}', 800, copies_least=copies_least)
        for number in range(8)
    )
    names = tuple(model.name for model in models)
    shape: dict[str, Any] = {
        'name': 'addis',
        'data_centres': ('addis-a', 'addis-b', 'addis-c'),
        'gateways': 2,
        'engines': 4,
        'engine_memory_mb': 3200,
        'models': models,
        'workspaces': (
            WorkspaceShape('opera', AMPLE_RATE, AMPLE_RATE, names),
            WorkspaceShape('film', AMPLE_RATE, AMPLE_RATE, names[:4]),
            WorkspaceShape('single', AMPLE_RATE, AMPLE_RATE, names[:1]),
            WorkspaceShape('fringe', 400, 800, names[:2], ('wig-desk',)),
        ),
        'services': {'wig-desk': False},
        'store': {
            'loads_per_second': 20.0,
            'at_full_speed': 8,
            'load_ms': 150,
            'adapters_at_full_speed': 64,
            'adapter_ms': 7,
        },
    }
    return FleetShape(**(shape | changes))


SHAPE_BY_NAME = {'nakhla': nakhla, 'addis': addis}
