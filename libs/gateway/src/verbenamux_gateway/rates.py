"""Rate limiting: spends own tokens first, then tokens of peers."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_admission.unit_table import TOTAL_UNITS
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.errors import ErrorCode, RequestFailure
from verbenamux_contracts.ids import new_attempt_id
from verbenamux_contracts.messages import TokensAsk, TokensGrant
from verbenamux_gateway.peering import PeerTable

LOAN_TIMEOUT = timedelta(milliseconds=300)
LOAN_BURST_DIVISOR = 8
LEASE_WAIT_TIMEOUT = timedelta(seconds=1)
LEASE_CHECK_INTERVAL = timedelta(milliseconds=20)
METER_WINDOW = timedelta(seconds=1)
MAX_LENDERS = 8
MIN_UNITS_MOVED = TOTAL_UNITS // 100

LimitsOf = Callable[[str], Limits | None]


class RateGate(Protocol):
    """The interface of a rate policy; tokens are whole numbers."""

    @property
    def ready(self) -> bool:
        """Whether tokens can be spent here now."""

    def admit(self, workspace: str, tokens: int) -> RequestFailure | None:
        """Spend tokens, or return the failure with its retry time."""

    def record_usage(self, workspace: str, reserved: int, used: int) -> None:
        """Return the tokens that were reserved and not used."""


@dataclass(slots=True)
class SpendMeter:
    """Tokens that each workspace spent here in the last two windows."""

    clock: Clock
    window_started_at: timedelta = timedelta()
    last_window: Counter[str] = field(default_factory=Counter)
    current_window: Counter[str] = field(default_factory=Counter)

    def add(self, workspace: str, tokens: int) -> None:
        """Count tokens."""
        self._advance_window()
        self.current_window[workspace] += tokens

    def tokens_per_window(self, workspace: str) -> int:
        """Return the larger count of the last and the current window."""
        self._advance_window()
        return max(self.last_window[workspace], self.current_window[workspace])

    def _advance_window(self) -> None:
        now = self.clock.elapsed()
        if now - self.window_started_at < METER_WINDOW:
            return
        is_adjacent = now - self.window_started_at < 2 * METER_WINDOW
        self.last_window = self.current_window if is_adjacent else Counter()
        self.current_window = Counter()
        self.window_started_at = now


@dataclass(slots=True)
class EscrowGate:
    """Spends from the escrow and borrows from other holders of units."""

    escrow: Escrow
    peers: PeerTable
    clock: Clock
    limits_of: LimitsOf
    meter: SpendMeter
    spent: Counter[str] = field(default_factory=Counter)
    lent: defaultdict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )

    @property
    def ready(self) -> bool:
        """Whether the lease on this gateway's units is valid."""
        return self.escrow.lease.is_valid(self.clock.elapsed())

    def admit(self, workspace: str, tokens: int) -> RequestFailure | None:
        """Spend tokens, borrowing what is missing."""
        limits = self.limits_of(workspace)
        if limits is None or tokens > limits.burst:
            return _over_burst(tokens, limits)
        if self._spend(workspace, tokens):
            return None
        if self._spend_with_loans(workspace, tokens, limits):
            return None
        usable = self._wait_until_usable(workspace)
        if usable and self._spend_with_loans(workspace, tokens, limits):
            return None
        return self._refusal(workspace, tokens)

    def record_usage(self, workspace: str, reserved: int, used: int) -> None:
        """Return the tokens that a request did not use."""
        self.escrow.record_usage(workspace, reserved, used)
        self.spent[workspace] += used - reserved

    def grant_loan(self, query: TokensAsk) -> TokensGrant:
        """Lend a peer the tokens it requests, as far as available."""
        granted = self.escrow.lend(query.workspace, query.tokens, query.at_most)
        self.lent[query.workspace][query.sender] += granted
        return TokensGrant(query.ask_id, query.workspace, granted)

    def units_to_move(self) -> dict[str, dict[str, int]]:
        """Return units by receiver and workspace to move towards use.

        A peer that borrowed a fraction of all tokens spent from here gets
        half that fraction of the units; then the counts are cleared.
        """
        moves: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for workspace, by_peer in self.lent.items():
            total = max(0, self.spent[workspace]) + by_peer.total()
            held = self.escrow.unit_table.units(workspace, self.escrow.holder)
            for peer_name, lent in by_peer.items():
                units = held * lent // (2 * max(1, total))
                if units >= MIN_UNITS_MOVED:
                    moves[peer_name][workspace] = units
        self.lent.clear()
        self.spent.clear()
        return dict(moves)

    def _spend_with_loans(
        self,
        workspace: str,
        tokens: int,
        limits: Limits,
    ) -> bool:
        """Borrow from one holder after another until the tokens suffice."""
        for peer_name in self._lenders(workspace):
            self._borrow(peer_name, workspace, tokens, limits)
            if self._spend(workspace, tokens):
                return True
        return self._spend(workspace, tokens)

    def _wait_until_usable(self, workspace: str) -> bool:
        """Wait a short time for a lease or claim that is in progress.

        After a pause of the process the lease has expired, and a newly
        declared workspace is unclaimed. False if there is nothing to wait for.
        """
        if self._is_usable(workspace):
            return False
        until = self.clock.elapsed() + LEASE_WAIT_TIMEOUT
        while self.clock.elapsed() < until:
            if self._is_usable(workspace):
                return True
            self.clock.sleep(LEASE_CHECK_INTERVAL)
        return False

    def _is_usable(self, workspace: str) -> bool:
        return self.ready and self.escrow.unit_table.is_claimed(workspace)

    def _spend(self, workspace: str, tokens: int) -> bool:
        is_spent = self.escrow.spend(workspace, tokens)
        if is_spent:
            self.spent[workspace] += tokens
            self.meter.add(workspace, tokens)
        return is_spent

    def _lenders(self, workspace: str) -> list[str]:
        names = [
            holder.partition('/')[0]
            for holder in self.escrow.unit_table.holders(workspace)
            if holder != self.escrow.holder
        ]
        alive = [name for name in names if self.peers.is_alive(name)]
        return alive[:MAX_LENDERS]

    def _borrow(
        self,
        peer_name: str,
        workspace: str,
        tokens: int,
        limits: Limits,
    ) -> None:
        peer = self.peers.by_name.get(peer_name)
        if peer is None:
            return
        extra = min(
            self.meter.tokens_per_window(workspace),
            limits.burst // LOAN_BURST_DIVISOR,
        )
        missing = self.escrow.missing_tokens(workspace, tokens)
        ask_id = new_attempt_id()
        query = TokensAsk(
            ask_id,
            self.peers.own_name,
            workspace,
            missing,
            missing + extra,
        )
        requested_at = self.clock.elapsed()
        grant = peer.link.ask(ask_id, query, LOAN_TIMEOUT)
        if isinstance(grant, TokensGrant) and grant.tokens:
            self.escrow.borrow(workspace, grant.tokens, requested_at, peer_name)

    def _refusal(self, workspace: str, tokens: int) -> RequestFailure:
        if not self.ready:
            return RequestFailure(
                ErrorCode.NO_LEASE,
                'this gateway holds no lease on the rate',
            )
        return RequestFailure(
            ErrorCode.RATE_EXCEEDED,
            'the rate of the workspace is used up',
            retry_after=self.escrow.refill_time(workspace, tokens),
        )


@dataclass(slots=True)
class _FixedBucket:
    balance: float
    refilled_at: timedelta


@dataclass(slots=True)
class FixedGate:
    """A baseline: every gateway has 1/n of each rate and burst."""

    gateways: int
    clock: Clock
    limits_of: LimitsOf
    bucket_by_workspace: dict[str, _FixedBucket] = field(default_factory=dict)

    @property
    def ready(self) -> bool:
        """Always true: a fixed share needs no lease."""
        return True

    def admit(self, workspace: str, tokens: int) -> RequestFailure | None:
        """Spend tokens of this gateway's fixed share."""
        limits = self.limits_of(workspace)
        if limits is None or tokens > limits.burst:
            return _over_burst(tokens, limits)
        bucket = self._refill(workspace, limits)
        if bucket.balance < tokens:
            missing_tokens = (tokens - bucket.balance) * self.gateways
            return RequestFailure(
                ErrorCode.RATE_EXCEEDED,
                'the rate of the workspace is used up here',
                retry_after=timedelta(seconds=missing_tokens / limits.rate),
            )
        bucket.balance -= tokens
        return None

    def record_usage(self, workspace: str, reserved: int, used: int) -> None:
        """Return the tokens that a request did not use."""
        limits = self.limits_of(workspace)
        if limits is not None:
            self._refill(workspace, limits).balance += reserved - used

    def _refill(self, workspace: str, limits: Limits) -> _FixedBucket:
        now = self.clock.elapsed()
        burst = limits.burst / self.gateways
        bucket = self.bucket_by_workspace.setdefault(
            workspace,
            _FixedBucket(burst, now),
        )
        seconds = (now - bucket.refilled_at).total_seconds()
        earned = seconds * limits.rate / self.gateways
        bucket.balance = min(burst, bucket.balance + earned)
        bucket.refilled_at = now
        return bucket


def _over_burst(tokens: int, limits: Limits | None) -> RequestFailure:
    burst = 0 if limits is None else limits.burst
    return RequestFailure(
        ErrorCode.REQUEST_OVER_BURST,
        f'the request needs {tokens} tokens, the burst is {burst}',
    )
