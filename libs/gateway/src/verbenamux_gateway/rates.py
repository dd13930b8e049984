"""Spending a workspace's rate: own tokens first, then peers' tokens."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from verbenamux_admission.book import WHOLE
from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.errors import ErrorCode, RequestFailure
from verbenamux_contracts.ids import new_attempt_id
from verbenamux_contracts.messages import TokensAsk, TokensGrant
from verbenamux_gateway.peering import PeerTable

ASK_TIMEOUT = timedelta(milliseconds=300)
ASK_PARTS = 8
LEASE_WAIT = timedelta(seconds=1)
LEASE_CHECK = timedelta(milliseconds=20)
METER_WINDOW = timedelta(seconds=1)
HOLDERS_ASKED_MOST = 8
FEWEST_UNITS_MOVED = WHOLE // 100

LimitsOf = Callable[[str], Limits | None]


class RateGate(Protocol):
    """What the server needs of a rate policy; tokens are whole."""

    @property
    def ready(self) -> bool:
        """Whether tokens can be spent here now."""

    def admit(self, workspace: str, tokens: int) -> RequestFailure | None:
        """Spend tokens, or say why not and when to come back."""

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Give back what was reserved and not used."""


@dataclass(slots=True)
class SpendMeter:
    """Tokens that each workspace spent here in the last full window."""

    clock: Clock
    since: timedelta = timedelta()
    last: Counter[str] = field(default_factory=Counter)
    present: Counter[str] = field(default_factory=Counter)

    def add(self, workspace: str, tokens: int) -> None:
        """Count tokens."""
        self._roll()
        self.present[workspace] += tokens

    def recent(self, workspace: str) -> int:
        """Return the tokens of a window, the fuller of the last two."""
        self._roll()
        return max(self.last[workspace], self.present[workspace])

    def _roll(self) -> None:
        now = self.clock.elapsed()
        if now - self.since < METER_WINDOW:
            return
        fresh = now - self.since < 2 * METER_WINDOW
        self.last = self.present if fresh else Counter()
        self.present = Counter()
        self.since = now


@dataclass(slots=True)
class EscrowGate:
    """Spends from the escrow, and asks the holders of units for more."""

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
        if self._take(workspace, tokens):
            return None
        if self._take_with_loans(workspace, tokens, limits):
            return None
        usable = self._wait_until_usable(workspace)
        if usable and self._take_with_loans(workspace, tokens, limits):
            return None
        return self._refusal(workspace, tokens)

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Put back what a request did not use."""
        self.escrow.settle(workspace, reserved, used)
        self.spent[workspace] += used - reserved

    def answer(self, ask: TokensAsk) -> TokensGrant:
        """Lend a peer what it asks for, as far as there is any."""
        granted = self.escrow.lend(ask.workspace, ask.tokens, ask.at_most)
        self.lent[ask.workspace][ask.sender] += granted
        return TokensGrant(ask.ask_id, ask.workspace, granted)

    def units_to_move(self) -> dict[str, dict[str, int]]:
        """Return units by receiver and workspace that follow use.

        Half of what a peer borrowed, as a part of all that was spent from
        here, moves to that peer; then counting starts anew.
        """
        moves: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for workspace, by_peer in self.lent.items():
            total = max(0, self.spent[workspace]) + by_peer.total()
            held = self.escrow.book.units(workspace, self.escrow.holder)
            for peer_name, lent in by_peer.items():
                units = held * lent // (2 * max(1, total))
                if units >= FEWEST_UNITS_MOVED:
                    moves[peer_name][workspace] = units
        self.lent.clear()
        self.spent.clear()
        return dict(moves)

    def _take_with_loans(
        self,
        workspace: str,
        tokens: int,
        limits: Limits,
    ) -> bool:
        """Borrow from one holder after the other until it is enough."""
        for peer_name in self._lenders(workspace):
            self._borrow(peer_name, workspace, tokens, limits)
            if self._take(workspace, tokens):
                return True
        return self._take(workspace, tokens)

    def _wait_until_usable(self, workspace: str) -> bool:
        """Wait a little for a lease or a claim that is on its way.

        After a pause the lease has run out, and a workspace that was just
        declared is not claimed yet. False when there is nothing to wait for.
        """
        if self._is_usable(workspace):
            return False
        until = self.clock.elapsed() + LEASE_WAIT
        while self.clock.elapsed() < until:
            if self._is_usable(workspace):
                return True
            self.clock.sleep(LEASE_CHECK)
        return False

    def _is_usable(self, workspace: str) -> bool:
        return self.ready and self.escrow.book.is_claimed(workspace)

    def _take(self, workspace: str, tokens: int) -> bool:
        taken = self.escrow.take(workspace, tokens)
        if taken:
            self.spent[workspace] += tokens
            self.meter.add(workspace, tokens)
        return taken

    def _lenders(self, workspace: str) -> list[str]:
        names = [
            holder.partition('/')[0]
            for holder in self.escrow.book.holders(workspace)
            if holder != self.escrow.holder
        ]
        alive = [name for name in names if self.peers.is_alive(name)]
        return alive[:HOLDERS_ASKED_MOST]

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
        ahead = min(self.meter.recent(workspace), limits.burst // ASK_PARTS)
        missing = self.escrow.missing(workspace, tokens)
        ask_id = new_attempt_id()
        ask = TokensAsk(
            ask_id,
            self.peers.own_name,
            workspace,
            missing,
            missing + ahead,
        )
        asked_at = self.clock.elapsed()
        grant = peer.link.ask(ask_id, ask, ASK_TIMEOUT)
        if isinstance(grant, TokensGrant) and grant.tokens:
            self.escrow.borrow(workspace, grant.tokens, asked_at, peer_name)

    def _refusal(self, workspace: str, tokens: int) -> RequestFailure:
        if not self.ready:
            return RequestFailure(
                ErrorCode.NO_LEASE,
                'this gateway holds no lease on the rate',
            )
        return RequestFailure(
            ErrorCode.RATE_EXCEEDED,
            'the rate of the workspace is used up',
            retry_after=self.escrow.wait_for(workspace, tokens),
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
    by_workspace: dict[str, _FixedBucket] = field(default_factory=dict)

    @property
    def ready(self) -> bool:
        """A fixed part is always there."""
        return True

    def admit(self, workspace: str, tokens: int) -> RequestFailure | None:
        """Spend tokens of this gateway's fixed part."""
        limits = self.limits_of(workspace)
        if limits is None or tokens > limits.burst:
            return _over_burst(tokens, limits)
        bucket = self._refill(workspace, limits)
        if bucket.balance < tokens:
            lacking = (tokens - bucket.balance) * self.gateways
            return RequestFailure(
                ErrorCode.RATE_EXCEEDED,
                'the rate of the workspace is used up here',
                retry_after=timedelta(seconds=lacking / limits.rate),
            )
        bucket.balance -= tokens
        return None

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Put back what a request did not use."""
        limits = self.limits_of(workspace)
        if limits is not None:
            self._refill(workspace, limits).balance += reserved - used

    def _refill(self, workspace: str, limits: Limits) -> _FixedBucket:
        now = self.clock.elapsed()
        burst = limits.burst / self.gateways
        bucket = self.by_workspace.setdefault(
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
