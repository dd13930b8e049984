"""How long a request waits for a target, and which targets it avoids."""

from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_contracts.errors import ErrorCode, RequestFailure
from verbenamux_routing.score import RequestNeeds

# Documented limit of how long a request without a target waits.
TARGET_WAIT_TIMEOUT = timedelta(seconds=5)
# Capacity is freed by the end of a run or load, slower than a heartbeat.
REFUSAL_BACKOFF = timedelta(milliseconds=500)
# Covers the planner's interval (2 s) and the load of another copy.
CAPACITY_RETRY_AFTER = timedelta(seconds=5)


@dataclass(slots=True)
class TargetBackoff:
    """The targets that refused a request for lack of capacity.

    Such a target has not started the request, so a retry there is safe;
    it is avoided for a while, since capacity does not change at once.
    """

    waiting_since: timedelta | None = None
    retry_at_by_target: dict[str, timedelta] = field(default_factory=dict)

    def record_refusal(self, target: str, now: timedelta) -> None:
        """Record that a target has no capacity for the request."""
        self.start_waiting(now)
        self.retry_at_by_target[target] = now + REFUSAL_BACKOFF

    def start_waiting(self, now: timedelta) -> None:
        """Start the wait unless it has started."""
        if self.waiting_since is None:
            self.waiting_since = now

    def reset(self) -> None:
        """Clear the wait and refusals after a target took the request."""
        self.waiting_since = None
        self.retry_at_by_target.clear()

    def in_backoff(self, now: timedelta) -> frozenset[str]:
        """Return the targets that are not to be tried yet."""
        return frozenset(
            target
            for target, retry_at in self.retry_at_by_target.items()
            if now < retry_at
        )

    def wait_ends_at(self, now: timedelta) -> timedelta:
        """Return when the request stops waiting."""
        started_at = now if self.waiting_since is None else self.waiting_since
        return started_at + TARGET_WAIT_TIMEOUT


def no_target(need: RequestNeeds) -> RequestFailure:
    """Return the failure for a request that found no target."""
    if not need.adapter:
        return RequestFailure(ErrorCode.NO_TARGET, 'no target is ready')
    return RequestFailure(
        ErrorCode.NO_TARGET,
        f'no target is ready with room for adapter {need.adapter}',
        retry_after=CAPACITY_RETRY_AFTER,
    )
