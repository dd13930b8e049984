"""Settings of the gateway."""

import enum

from verbenamux_placement.planner import PlacementPolicy
from verbenamux_routing.breaker import BreakerPolicy
from verbenamux_routing.choose import RoutingPolicy
from verbenamux_runtime.settings import Address, Duration, Settings, Size


class RatePolicy(enum.Enum):
    """How a workspace's rate is shared; fixed shares are a baseline."""

    ESCROW = 'escrow'
    FIXED = 'fixed'


class PeerSettings(Settings, frozen=True):
    """Another gateway that may be asked from the start."""

    name: str
    address: Address


class PlatformSettings(Settings, frozen=True):
    """Where the platform's services listen."""

    log: Address
    hosts: Address | None = None


class LimitSettings(Settings, frozen=True):
    """Bounds on what callers may send and how long things may take."""

    body: Size = Size(4_000_000)
    body_time: Duration = Duration(seconds=10)
    deadline: Duration = Duration(seconds=60)
    output_tokens: int = 1024
    connections: int = 8192
    drain_linger: Duration = Duration(seconds=1)


class PlanningSettings(Settings, frozen=True):
    """The planner's reach and pace; loads are a second, fleet-wide."""

    data_centres: tuple[str, ...] = ()
    loads_per_second: float = 1.0
    interval: Duration = Duration(seconds=2)
    policy: PlacementPolicy = PlacementPolicy.DEMAND


class RateSettings(Settings, frozen=True):
    """How rates are shared; `gateways` matters to fixed shares only."""

    policy: RatePolicy = RatePolicy.ESCROW
    lease: Duration = Duration(seconds=10)
    gateways: int = 1


class GatewaySettings(Settings, frozen=True):
    """Everything a gateway is told at its start.

    It routes to targets in the data centres of `follow`, or to all when
    none is named.
    """

    name: str
    address: Address
    peer_address: Address
    data_centre: str
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    follow: tuple[str, ...] = ()
    limits: LimitSettings = LimitSettings()
    planning: PlanningSettings = PlanningSettings()
    rates: RateSettings = RateSettings()
    routing: RoutingPolicy = RoutingPolicy.PREDICTED
    breaker: BreakerPolicy = BreakerPolicy.PLAIN
    hello: Duration = Duration(seconds=1)
    stale_after: Duration = Duration(seconds=4)
    snapshot_every: Duration = Duration(minutes=5)
    seed: int = 0
