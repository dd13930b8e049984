"""How long one request waits for a target, and which it leaves alone."""

from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_contracts.errors import ErrorCode, RequestFailure
from verbenamux_routing.score import Need

# As docs/OPERATIONS.md promises: a request without a target waits so long.
TARGET_WAIT = timedelta(seconds=5)
# Room comes with the end of a run or a load, both slower than a heartbeat.
ROOM_AGAIN = timedelta(milliseconds=500)
# The planner's interval (2 s) and the load of another copy.
ROOM_RETRY_AFTER = timedelta(seconds=5)


@dataclass(slots=True)
class Patience:
    """What a request was told by targets that could not take it.

    Such a target has begun nothing, so that the request may go there again;
    it is left alone for a while, since nothing changes at once.
    """

    turned_away_at: timedelta | None = None
    again_at_by_target: dict[str, timedelta] = field(default_factory=dict)

    def turn_away(self, target: str, now: timedelta) -> None:
        """Note that a target has no room for the request."""
        self.wait(now)
        self.again_at_by_target[target] = now + ROOM_AGAIN

    def wait(self, now: timedelta) -> None:
        """Begin to wait, unless that has begun."""
        if self.turned_away_at is None:
            self.turned_away_at = now

    def reset(self) -> None:
        """Begin anew after a target has taken the request."""
        self.turned_away_at = None
        self.again_at_by_target.clear()

    def left_alone(self, now: timedelta) -> frozenset[str]:
        """Return the targets that are not to be asked yet."""
        return frozenset(
            target
            for target, again_at in self.again_at_by_target.items()
            if now < again_at
        )

    def waits_until(self, now: timedelta) -> timedelta:
        """Return when the request has waited long enough."""
        began = now if self.turned_away_at is None else self.turned_away_at
        return began + TARGET_WAIT


def no_target(need: Need) -> RequestFailure:
    """Return what the caller is told when no target came."""
    if not need.adapter:
        return RequestFailure(ErrorCode.NO_TARGET, 'no target is ready')
    return RequestFailure(
        ErrorCode.NO_TARGET,
        f'no target is ready with room for adapter {need.adapter}',
        retry_after=ROOM_RETRY_AFTER,
    )
