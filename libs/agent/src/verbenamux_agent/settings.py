"""Settings of the agent."""

from verbenamux_config.entities import TargetKind
from verbenamux_runtime.settings import Address, Duration, Settings, Size


class TargetSettings(Settings, frozen=True):
    """The target beside this agent.

    `settle` is the longest an order or a report may be late.
    """

    kind: TargetKind
    address: Address
    slots: int
    settle: Duration


class LimitSettings(Settings, frozen=True):
    """Bounds on what the agent keeps."""

    queue_requests: int = 512
    adapter_loads: int = 6
    answer_kept: Duration = Duration(seconds=30)
    answers_size: Size = Size(16_000_000)


class AgentSettings(Settings, frozen=True):
    """Everything an agent is told at its start.

    It binds `address`; `known_as` is its address in the configuration,
    where that is another one.
    """

    name: str
    address: Address
    data_centre: str
    target: TargetSettings
    log: Address
    known_as: Address | None = None
    lease: Duration = Duration(seconds=10)
    heartbeat: Duration = Duration(milliseconds=200)
    report: Duration = Duration(milliseconds=100)
    limits: LimitSettings = LimitSettings()
