"""Settings of the agent."""

from verbenamux_config.entities import TargetKind
from verbenamux_runtime.settings import (
    Address,
    Duration,
    Settings,
    Size,
    default_duration,
    default_section,
    default_size,
)


class TargetSettings(Settings, frozen=True):
    """The target beside this agent.

    `settle` is the maximum delay of an order or a report.
    """

    kind: TargetKind
    address: Address
    slots: int
    settle: Duration


class LimitSettings(Settings, frozen=True):
    """Limits of queues and stored answers."""

    queue_requests: int = 512
    adapter_loads: int = 6
    answer_kept: Duration = default_duration('30s')
    answers_size: Size = default_size('16MB')


class AgentSettings(Settings, frozen=True):
    """All settings of an agent.

    It binds `address`; `known_as` is its address in the configuration,
    if that is a different one.
    """

    name: str
    address: Address
    data_centre: str
    target: TargetSettings
    log: Address
    known_as: Address | None = None
    lease: Duration = default_duration('10s')
    heartbeat: Duration = default_duration('200ms')
    report: Duration = default_duration('100ms')
    limits: LimitSettings = default_section(LimitSettings)
