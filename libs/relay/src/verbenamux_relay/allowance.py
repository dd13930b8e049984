"""Rate limits of workspaces, enforced over all gateways.

Load pattern: one workspace sends many times its usual load at every gateway at
once. Each gateway keeps a token bucket per workspace, spends from it, and
subtracts what the others report as spent. What they spend between two notices
is the overshoot. A gateway that receives nothing from another one does not use
that one's equal share of the rate, so two sides of a partition together stay
within one rate.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.report_timing import (
    MIN_USAGE_INTERVAL,
    silence_timeout,
)
from verbenamux_relay.catalog import Workspace

# The use of a workspace may not be known to a gateway that started less than
# this ago.
STARTUP_WINDOW = timedelta(seconds=2)
# For this long after its last notice an unresponsive gateway keeps its share.
SHARE_RESERVATION_TIME = timedelta(seconds=20)

# A workspace with less than this fraction of its burst left is near the limit.
NEAR_LIMIT_FRACTION = 0.5
# All gateways together may spend the rate of this long before they report it.
UNREPORTED_WINDOW = timedelta(milliseconds=150)

# The fraction of the rates that may be used is determined anew this often.
RATE_UPDATE_INTERVAL = timedelta(milliseconds=50)

# Fraction of what a limit's bounds leave that a restarted gateway starts with:
# a window holds two restarts, and what all gateways spend unreported.
RESTART_FRACTION = 0.375

Elapsed = Callable[[], timedelta]


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """How far the use of a workspace may exceed its limit in a window.

    `overage` is a fraction of the limit, `slack` a number of units.
    """

    window: timedelta
    overage: float
    slack: float

    def restart_level(self, workspace: Workspace) -> float:
        """Return the level that a bucket has after a restart.

        The whole burst may have been spent just before, within one window.
        """
        limit = (
            workspace.per_second * self.window.total_seconds() + workspace.burst
        )
        excess = limit * self.overage + self.slack
        return excess * RESTART_FRACTION


@dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace.

    `is_assumed`: the level is a lower bound, since nobody told the real one.
    """

    workspace: Workspace
    level: float
    filled_at: timedelta
    is_assumed: bool


@dataclass(slots=True)
class _Peer:
    last_received_at: timedelta
    spent_by_workspace: Mapping[str, float]
    is_leaving: bool


class Allowance:
    """Token buckets of all workspaces, as seen by one gateway."""

    def __init__(
        self,
        elapsed: Elapsed,
        peer_timeout: Elapsed = lambda: silence_timeout(MIN_USAGE_INTERVAL),
        *,
        is_restart: bool = False,
        bounds: LimitBounds | None = None,
        unheard: Callable[[timedelta], int] = lambda _within: 0,
    ) -> None:
        """Start with full buckets; `elapsed` includes time suspended.

        After a restart they start with a part of what `bounds` leave, since
        earlier processes may just have spent them, or empty where none are
        stated, until an older gateway tells its levels. A peer without a
        notice for longer than `peer_timeout` may be spending without it being
        known, and so may those of which none came since they were listed,
        `unheard` of a time.
        """
        self._elapsed = elapsed
        self._peer_timeout = peer_timeout
        self._is_restart = is_restart
        self._bounds = bounds
        self._unheard = unheard
        self._started_at = elapsed()
        self._usable_fraction = 1.0
        self._fraction_valid_until = elapsed()
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._peers_by_name: dict[str, _Peer] = {}
        self.spent_by_workspace: dict[str, float] = {}
        self._reported_by_workspace: dict[str, float] = {}

    def age(self) -> timedelta:
        """Return how long this gateway has kept the buckets."""
        return self._elapsed() - self._started_at

    def take(self, workspace: Workspace, cost: float) -> timedelta | None:
        """Spend the cost, or return the time until it is covered."""
        if not workspace.per_second:
            return None
        bucket = self._refill(workspace)
        if bucket.level < cost and bucket.level < workspace.burst:
            missing = min(cost, workspace.burst) - bucket.level
            return timedelta(
                seconds=max(missing, 0) / self._rate(workspace),
            )
        bucket.level -= cost
        self._add_spent(workspace.name, cost)
        return None

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Give back the cost of a request that did not run."""
        if not workspace.per_second:
            return
        bucket = self._refill(workspace)
        bucket.level = min(bucket.level + cost, workspace.burst)
        self._add_spent(workspace.name, -cost)

    def mark_reported(self) -> None:
        """Record that all spending was reported to the other gateways."""
        self._reported_by_workspace = dict(self.spent_by_workspace)

    def should_report_now(self) -> bool:
        """Return whether spending should be reported at once.

        That is so if a workspace that is near its limit, or whose use is not
        known yet just after the start, spent more than this gateway's share of
        what may be spent before it is reported.
        """
        return any(
            self._should_report_now(bucket)
            for bucket in self._bucket_by_workspace.values()
        )

    def _should_report_now(self, bucket: _Bucket) -> bool:
        workspace = bucket.workspace
        is_starting = self.age() < STARTUP_WINDOW
        if (
            not is_starting
            and bucket.level > workspace.burst * NEAR_LIMIT_FRACTION
        ):
            return False
        name = workspace.name
        spent = self.spent_by_workspace.get(name, 0)
        unreported = spent - self._reported_by_workspace.get(name, 0)
        allowed_unreported = (
            workspace.per_second * UNREPORTED_WINDOW.total_seconds()
        )
        return unreported > allowed_unreported / (len(self._peers_by_name) + 1)

    def levels(self) -> dict[str, float]:
        """Return the level of each bucket that was used."""
        return {
            name: round(self._refill(bucket.workspace).level)
            for name, bucket in self._bucket_by_workspace.items()
        }

    def handle_notice(
        self,
        sender: str,
        spent_by_workspace: Mapping[str, float],
        level_by_workspace: Mapping[str, float],
        workspaces_by_name: dict[str, Workspace],
        is_leaving: bool = False,
        age: timedelta = timedelta(),
    ) -> None:
        """Subtract what another gateway spent since its last notice.

        `sender` names one instance of a gateway, which has run for `age`: its
        sums start at zero. What it spent before this gateway's start is in the
        sender's levels, however late its first notice comes.
        """
        now = self._elapsed()
        previous = self._peers_by_name.get(sender)
        before = previous.spent_by_workspace if previous else dict[str, float]()
        if previous is None and self.age() < age:
            before = spent_by_workspace
            self._adopt_levels(level_by_workspace, workspaces_by_name)
        self._peers_by_name[sender] = _Peer(
            now,
            spent_by_workspace,
            is_leaving,
        )
        for name, spent in spent_by_workspace.items():
            workspace = workspaces_by_name.get(name)
            newly_spent = spent - before.get(name, 0)
            if newly_spent and workspace is not None and workspace.per_second:
                self._refill(workspace).level -= newly_spent

    def _adopt_levels(
        self,
        level_by_workspace: Mapping[str, float],
        workspaces_by_name: dict[str, Workspace],
    ) -> None:
        for name, level in level_by_workspace.items():
            workspace = workspaces_by_name.get(name)
            if workspace is not None and workspace.per_second:
                bucket = self._refill(workspace)
                if bucket.is_assumed:
                    bucket.level = level - self.spent_by_workspace.get(name, 0)
                    bucket.is_assumed = False
                bucket.level = min(bucket.level, level)

    def unresponsive_peers(self) -> int:
        """Return how many gateways may be spending without reporting."""
        now = self._elapsed()
        peer_timeout = self._peer_timeout()
        return sum(
            peer_timeout < now - peer.last_received_at < SHARE_RESERVATION_TIME
            and not peer.is_leaving
            for peer in self._peers_by_name.values()
        )

    def _rate(self, workspace: Workspace) -> float:
        now = self._elapsed()
        if now >= self._fraction_valid_until:
            self._fraction_valid_until = now + RATE_UPDATE_INTERVAL
            self._usable_fraction = self._find_usable_fraction(now)
        return workspace.per_second * self._usable_fraction

    def _find_usable_fraction(self, now: timedelta) -> float:
        recent = sum(
            now - peer.last_received_at < SHARE_RESERVATION_TIME
            for peer in self._peers_by_name.values()
        )
        unheard = self._unheard(SHARE_RESERVATION_TIME)
        unresponsive = self.unresponsive_peers() + unheard
        return 1 - unresponsive / (recent + unheard + 1)

    def _refill(self, workspace: Workspace) -> _Bucket:
        now = self._elapsed()
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(
                workspace, self._first_level(workspace), now, self._is_restart
            )
            self._bucket_by_workspace[workspace.name] = bucket
        bucket.workspace = workspace
        elapsed_seconds = (now - bucket.filled_at).total_seconds()
        bucket.filled_at = now
        bucket.level = min(
            bucket.level + elapsed_seconds * self._rate(workspace),
            workspace.burst,
        )
        return bucket

    def _first_level(self, workspace: Workspace) -> float:
        """Return the level of a bucket that is used for the first time."""
        if not self._is_restart:
            return workspace.burst
        level = workspace.per_second * self.age().total_seconds()
        if self._bounds is not None:
            level += self._bounds.restart_level(workspace)
        return min(level, workspace.burst)

    def _add_spent(self, workspace: str, cost: float) -> None:
        spent = self.spent_by_workspace.get(workspace, 0)
        self.spent_by_workspace[workspace] = spent + cost
