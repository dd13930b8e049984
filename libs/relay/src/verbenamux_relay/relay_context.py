"""What relaying a request needs of its process."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_balancing.retry_budget import RetryBudget
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.job import OpenJobs
from verbenamux_relay.loading import Loader
from verbenamux_relay.outcomes import OutcomeContext
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.sending import SendContext
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.target_selection import RoutingState


@dataclass(frozen=True, slots=True)
class RelayContext:
    """The process-wide context for relaying."""

    send_context: SendContext
    outcome_context: OutcomeContext
    routing_state: RoutingState
    loader: Loader
    demand: DemandMeter
    retry_budget_for: Callable[[str], RetryBudget]
    sequence: Iterator[int]
    open_jobs: OpenJobs
    stop: StopPlan
    quarantine: Quarantine

    def now(self) -> timedelta:
        """Return the time since an arbitrary start."""
        return self.send_context.clock.elapsed()
