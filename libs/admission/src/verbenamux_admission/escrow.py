"""One gateway's part of every workspace's rate and burst."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_admission.book import WHOLE, BookSnapshot, ShareBook
from verbenamux_admission.lease import HolderLease
from verbenamux_contracts.clock import Clock

LOAN_LIFETIME = timedelta(seconds=2)
LOAN_MARGIN = timedelta(milliseconds=200)
MICRO = 1_000_000
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Limits:
    """A workspace's rate in tokens a second and its burst in tokens."""

    rate: int
    burst: int


@dataclass(slots=True)
class Loan:
    """Tokens lent by a peer, or lent to one, until a moment."""

    micros: int
    until: timedelta
    lender: str = ''


@dataclass(slots=True)
class Surplus:
    """Balance above the cap, left over from units that moved away.

    It drains as fast as the moved units earn at their receiver, so the
    two together never hold more than the units' burst.
    """

    micros: int
    units: int
    since: timedelta


@dataclass(slots=True)
class Bucket:
    """Balance and loans of one workspace, in millionths of a token.

    Tokens lent to peers keep counting against the cap until the loan
    must have been spent or dropped, so that a refill never adds to them.
    """

    units: int = 0
    pending_units: int = 0
    balance: int = 0
    refilled_at: timedelta = timedelta()
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    surplus: list[Surplus] = field(default_factory=list)

    @property
    def usable_units(self) -> int:
        """Units held and not on their way to another holder."""
        return max(0, self.units - self.pending_units)


LimitsOf = Callable[[str], Limits | None]


class Escrow:
    """Spends, lends and borrows tokens of the units this holder has.

    Of its own, nothing is spent or lent without a lease that is still
    valid; loans are good until they run out. All amounts are whole tokens
    at the border.
    """

    def __init__(
        self,
        holder: str,
        clock: Clock,
        limits_of: LimitsOf,
        lease: HolderLease,
    ) -> None:
        """Start with no units."""
        self.holder = holder
        self.book = ShareBook()
        self.lease = lease
        self._clock = clock
        self._limits_of = limits_of
        self._bucket_by_workspace: dict[str, Bucket] = {}

    def fold(self, first_offset: int, bodies: Iterable[bytes]) -> None:
        """Follow the shares stream and adjust every bucket to it."""
        claimed = set(self.book.units_by_workspace)
        self.book.fold(first_offset, bodies)
        self.adjust(claimed)

    def restore(self, snapshot: BookSnapshot) -> None:
        """Start the book from a snapshot; its units begin empty."""
        self.book.restore(snapshot)
        self.adjust(set(self.book.units_by_workspace))

    def rename(self, holder: str, lease: HolderLease) -> None:
        """Go on under a fresh holder name, which holds nothing yet.

        Balances stay only if the old name's lease is still valid: after
        that another holder may have taken the units over.
        """
        keeps = self.lease.is_valid(self._clock.elapsed())
        for workspace, bucket in self._bucket_by_workspace.items():
            self._refill(workspace)
            if keeps:
                self._keep_surplus(workspace, bucket, bucket.usable_units)
            else:
                bucket.balance = 0
                bucket.surplus.clear()
            bucket.units = 0
            bucket.pending_units = 0
        self.holder = holder
        self.lease = lease
        self.adjust(set(self.book.units_by_workspace))

    def adjust(self, claimed_before: set[str]) -> None:
        """Take the book's units; a workspace's first claim starts full."""
        names = set(self.book.units_by_workspace)
        for workspace in names | set(self._bucket_by_workspace):
            bucket = self._refill(workspace)
            held = self.book.units(workspace, self.holder)
            if held == bucket.units:
                continue
            if held < bucket.units:
                gone = bucket.units - held
                bucket.pending_units = max(0, bucket.pending_units - gone)
            bucket.units = held
            if workspace not in claimed_before:
                bucket.balance = self._cap(workspace, bucket)
            self._trim(workspace, bucket)

    def take(self, workspace: str, tokens: int) -> bool:
        """Spend tokens, borrowed ones first; False leaves all as it is."""
        bucket = self._refill(workspace)
        wanted = tokens * MICRO
        if self._at_hand(bucket) < wanted:
            return False
        for loan in bucket.borrowed:
            part = min(loan.micros, wanted)
            loan.micros -= part
            wanted -= part
        bucket.balance -= wanted
        return True

    def missing(self, workspace: str, tokens: int) -> int:
        """Return how many tokens are lacking for a request."""
        bucket = self._refill(workspace)
        lacking = max(0, tokens * MICRO - self._at_hand(bucket))
        return -(-lacking // MICRO)

    def lend(self, workspace: str, tokens: int, at_most: int = 0) -> int:
        """Debit tokens for a peer and return how many it may have."""
        if not self.lease.is_valid(self._clock.elapsed()):
            return 0
        bucket = self._refill(workspace)
        granted = min(max(tokens, at_most), max(0, bucket.balance) // MICRO)
        if granted:
            bucket.balance -= granted * MICRO
            until = self._clock.elapsed() + LOAN_LIFETIME + LOAN_MARGIN
            bucket.lent.append(Loan(granted * MICRO, until))
        return granted

    def borrow(
        self,
        workspace: str,
        tokens: int,
        asked_at: timedelta,
        lender: str,
    ) -> None:
        """Add tokens a peer debited; they run out soon after the ask."""
        until = asked_at + LOAN_LIFETIME
        loan = Loan(tokens * MICRO, until, lender)
        self._bucket(workspace).borrowed.append(loan)

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Give back what a request did not use, or owe what it overran."""
        bucket = self._refill(workspace)
        bucket.balance += (reserved - used) * MICRO
        self._trim(workspace, bucket)

    def part_with(self, workspace: str, units: int) -> int:
        """Stop using units before a grant of them is appended.

        Returns how many units may be granted.
        """
        bucket = self._refill(workspace)
        parted = min(units, bucket.usable_units)
        self._keep_surplus(workspace, bucket, parted)
        bucket.pending_units += parted
        self._trim(workspace, bucket)
        return parted

    def wait_for(self, workspace: str, tokens: int) -> timedelta:
        """Return how long the whole fleet needs to earn what lacks."""
        limits = self._limits_of(workspace)
        if limits is None:
            return timedelta()
        lacking = self.missing(workspace, tokens)
        return timedelta(seconds=lacking / limits.rate)

    def balance(self, workspace: str) -> int:
        """Return whole tokens at hand, without loans."""
        return self._refill(workspace).balance // MICRO

    def _bucket(self, workspace: str) -> Bucket:
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            bucket = Bucket(refilled_at=self._clock.elapsed())
            self._bucket_by_workspace[workspace] = bucket
        return bucket

    def _refill(self, workspace: str) -> Bucket:
        bucket = self._bucket(workspace)
        now = self._clock.elapsed()
        limits = self._limits_of(workspace)
        micros = (now - bucket.refilled_at) // _MICROSECOND
        bucket.refilled_at = now
        bucket.lent = [loan for loan in bucket.lent if loan.until > now]
        bucket.borrowed = [loan for loan in bucket.borrowed if loan.until > now]
        if limits is not None:
            bucket.surplus = [
                each for each in bucket.surplus if self._left(limits, each)
            ]
            earned = limits.rate * bucket.usable_units * micros // WHOLE
            bucket.balance += earned
        self._trim(workspace, bucket)
        return bucket

    def _at_hand(self, bucket: Bucket) -> int:
        """Return micros that may be spent now."""
        borrowed = sum(loan.micros for loan in bucket.borrowed)
        if not self.lease.is_valid(self._clock.elapsed()):
            return borrowed
        return borrowed + bucket.balance

    def _cap(self, workspace: str, bucket: Bucket) -> int:
        limits = self._limits_of(workspace)
        if limits is None:
            return 0
        whole = limits.burst * MICRO * bucket.usable_units // WHOLE
        surplus = sum(self._left(limits, each) for each in bucket.surplus)
        return whole + surplus - sum(loan.micros for loan in bucket.lent)

    def _keep_surplus(
        self,
        workspace: str,
        bucket: Bucket,
        units: int,
    ) -> None:
        limits = self._limits_of(workspace)
        if limits is None or not units:
            return
        micros = limits.burst * MICRO * units // WHOLE
        now = self._clock.elapsed()
        bucket.surplus.append(Surplus(micros, units, now))

    def _left(self, limits: Limits, surplus: Surplus) -> int:
        age = (self._clock.elapsed() - surplus.since) // _MICROSECOND
        drained = -(-limits.rate * surplus.units * age // WHOLE)
        return max(0, surplus.micros - drained)

    def _trim(self, workspace: str, bucket: Bucket) -> None:
        bucket.balance = min(bucket.balance, self._cap(workspace, bucket))
