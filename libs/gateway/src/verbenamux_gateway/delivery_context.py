"""An admitted request, and what all deliveries share."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.ids import RequestId
from verbenamux_gateway.fleet import Fleet
from verbenamux_routing.choose import Chooser
from verbenamux_routing.retry import RetryBudget
from verbenamux_routing.score import RequestNeeds

LogDecision = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Work:
    """An admitted request, ready to be sent to a target.

    The deadline is on this gateway's monotonic clock. An answer that is
    not resumable is buffered here until it is complete.
    """

    request_id: RequestId
    workspace: str
    weight: int
    need: RequestNeeds
    path: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    priority: int
    deadline: timedelta
    resumable: bool = True


@dataclass(frozen=True, slots=True)
class DeliveryContext:
    """The dependencies that all deliveries share."""

    fleet: Fleet
    clock: Clock
    choose: Chooser
    budget: RetryBudget
    log_decision: LogDecision
