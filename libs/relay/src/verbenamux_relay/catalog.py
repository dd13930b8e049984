"""A complete version of the configuration, as a relaying gateway uses it."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta


class RouteKind(enum.Enum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Share:
    """A service's share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services for requests of a host and path prefix, and their limits.

    `priority` ranks from 0, the most urgent. `objective` is the target time to
    the answer, or to a stream's first event.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: timedelta
    objective: timedelta
    shares: tuple[Share, ...]
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class ModelTerms:
    """A model's size, and how long its weights take to load.

    `cold_load` is from the weight store, `disk_load` and `warm_load` from
    copies on the target's disk and in its memory.
    """

    name: str
    weights_mb: float
    cold_load: timedelta
    disk_load: timedelta
    warm_load: timedelta


@dataclass(frozen=True, slots=True)
class EngineTerms:
    """Capacities of every engine of a service."""

    slots: int
    memory_tokens: int
    weights_mb: float
    adapter_places: int
    store_loads_per_second: float
    models_by_name: dict[str, ModelTerms]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that answer the same requests.

    A target accepts at most `max_connections`, from all gateways together. For
    `cold_start` after its start it tolerates `cold_per_second` requests a
    second; 0 means any number.
    """

    name: str
    max_connections: int
    engine: EngineTerms | None = None
    cold_start: timedelta = timedelta()
    cold_per_second: float = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A caller, with its keys and its limit of tokens or requests.

    `per_second` of 0 means no limit. `plain_cost` is the cost of a request
    that gives no token counts.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    per_second: float = 0
    burst: float = 0
    counts_tokens: bool = False
    plain_cost: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for callers' requests and idle connections."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class Catalog:
    """All routes, services and workspaces of one version.

    Routes of a host are ordered with the longest prefix first.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace] = field(default_factory=dict)
    has_workspaces: bool = False
    limits: CallerLimits = CallerLimits()

    def route_for(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        bare_host = host.partition(':')[0].lower()
        path = target.partition('?')[0]
        for route in self.routes_by_host.get(bare_host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def engine_of(self, service: str) -> EngineTerms | None:
        """Return the terms of a service's engines; None if it has none."""
        configured = self.services_by_name.get(service)
        return configured.engine if configured else None

    def workspaces(self) -> dict[str, Workspace]:
        """Return the workspaces by name."""
        return {
            workspace.name: workspace
            for workspace in self.workspaces_by_key.values()
        }


def routes_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, with the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def pick_share(shares: tuple[Share, ...], draw: float) -> str:
    """Return a service by weight; `draw` is uniform in [0, 1)."""
    remaining = draw * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
