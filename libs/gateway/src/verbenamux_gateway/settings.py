"""Settings of the gateway."""

import enum

from verbenamux_placement.planner import PlacementPolicy
from verbenamux_routing.breaker import BreakerPolicy
from verbenamux_routing.choose import RoutingPolicy
from verbenamux_runtime.settings import (
    Address,
    Duration,
    Settings,
    Size,
    default_duration,
    default_section,
    default_size,
)


class RatePolicy(enum.Enum):
    """How a workspace's rate is shared; fixed shares are a baseline."""

    ESCROW = 'escrow'
    FIXED = 'fixed'


class PeerSettings(Settings, frozen=True):
    """Another gateway that is known from the start."""

    name: str
    address: Address


class PlatformSettings(Settings, frozen=True):
    """The addresses of the platform's services."""

    log: Address
    hosts: Address | None = None


class LimitSettings(Settings, frozen=True):
    """Limits of request size, time, output and connections."""

    body: Size = default_size('4MB')
    body_time: Duration = default_duration('10s')
    deadline: Duration = default_duration('60s')
    output_tokens: int = 1024
    connections: int = 8192
    drain_linger: Duration = default_duration('1s')


class PlanningSettings(Settings, frozen=True):
    """The planner's data centres and rate; loads per second, fleet-wide."""

    data_centres: tuple[str, ...] = ()
    loads_per_second: float = 1.0
    interval: Duration = default_duration('2s')
    policy: PlacementPolicy = PlacementPolicy.DEMAND


class RateSettings(Settings, frozen=True):
    """How rates are shared; `gateways` applies to fixed shares only."""

    policy: RatePolicy = RatePolicy.ESCROW
    lease: Duration = default_duration('10s')
    gateways: int = 1


class GatewaySettings(Settings, frozen=True):
    """All settings of a gateway.

    It routes to targets in the data centres of `follow`, or to all if
    `follow` is empty.
    """

    name: str
    address: Address
    peer_address: Address
    data_centre: str
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    follow: tuple[str, ...] = ()
    limits: LimitSettings = default_section(LimitSettings)
    planning: PlanningSettings = default_section(PlanningSettings)
    rates: RateSettings = default_section(RateSettings)
    routing: RoutingPolicy = RoutingPolicy.PREDICTED
    breaker: BreakerPolicy = BreakerPolicy.PLAIN
    hello: Duration = default_duration('1s')
    stale_after: Duration = default_duration('4s')
    snapshot_every: Duration = default_duration('5min')
    seed: int = 0
