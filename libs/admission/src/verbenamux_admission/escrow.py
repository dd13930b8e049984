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
    """Tokens left over from units that moved away, until they drain.

    They drain as fast as the moved units earn at their receiver, so the
    two together never hold more than before. `own` says that the units
    move to a fresh name of this same holder.
    """

    micros: int
    units: int
    own: bool = False


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

    def take_back(self) -> None:
        """Put what was kept for a fresh name into the balance again."""
        self.balance += sum(each.micros for each in self.surplus if each.own)
        self.surplus = [each for each in self.surplus if not each.own]


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
            if keeps and bucket.balance > 0:
                left = Surplus(bucket.balance, bucket.usable_units, own=True)
                bucket.surplus.append(left)
            if not keeps:
                bucket.surplus.clear()
            bucket.balance = 0
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
            if held > bucket.units:
                bucket.take_back()
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
        parts: list[Loan | Surplus] = list(bucket.borrowed)
        if self.lease.is_valid(self._clock.elapsed()):
            parts.extend(bucket.surplus)
        for part in parts:
            spent = min(part.micros, wanted)
            part.micros -= spent
            wanted -= spent
        bucket.balance -= wanted
        return True

    def missing(self, workspace: str, tokens: int) -> int:
        """Return how many tokens are lacking for a request."""
        bucket = self._refill(workspace)
        lacking = max(0, tokens * MICRO - self._at_hand(bucket))
        return -(-lacking // MICRO)

    def lend(self, workspace: str, tokens: int, at_most: int = 0) -> int:
        """Debit tokens for a peer and return how many it may have.

        The lease must outlast the loan: whoever reclaims the units later
        may then begin without it.
        """
        if not self.lease.is_valid(self._clock.elapsed() + LOAN_LIFETIME):
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

        Returns how many units may be granted. Those that outstanding loans
        count against stay.
        """
        bucket = self._refill(workspace)
        parted = max(0, min(units, self._free_units(workspace, bucket)))
        bucket.pending_units += parted
        over = bucket.balance - max(0, self._cap(workspace, bucket))
        if parted and over > 0:
            bucket.surplus.append(Surplus(over, parted))
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
            _drain(bucket, limits, micros)
            earned = limits.rate * bucket.usable_units * micros // WHOLE
            bucket.balance += earned
        self._trim(workspace, bucket)
        return bucket

    def _at_hand(self, bucket: Bucket) -> int:
        """Return micros that may be spent now."""
        borrowed = sum(loan.micros for loan in bucket.borrowed)
        if not self.lease.is_valid(self._clock.elapsed()):
            return borrowed
        surplus = sum(each.micros for each in bucket.surplus)
        return borrowed + surplus + bucket.balance

    def _cap(self, workspace: str, bucket: Bucket) -> int:
        limits = self._limits_of(workspace)
        if limits is None:
            return 0
        whole = limits.burst * MICRO * bucket.usable_units // WHOLE
        return whole - sum(loan.micros for loan in bucket.lent)

    def _free_units(self, workspace: str, bucket: Bucket) -> int:
        """Return units that no outstanding loan counts against."""
        limits = self._limits_of(workspace)
        if limits is None:
            return bucket.usable_units
        lent = sum(loan.micros for loan in bucket.lent)
        bound = -(-lent * WHOLE // (limits.burst * MICRO))
        return bucket.usable_units - bound

    def _trim(self, workspace: str, bucket: Bucket) -> None:
        bucket.balance = min(bucket.balance, self._cap(workspace, bucket))


def _drain(bucket: Bucket, limits: Limits, micros: int) -> None:
    """Let surplus run out over a time in microseconds."""
    for each in bucket.surplus:
        drained = -(-limits.rate * each.units * micros // WHOLE)
        each.micros -= drained
    bucket.surplus = [each for each in bucket.surplus if each.micros > 0]
