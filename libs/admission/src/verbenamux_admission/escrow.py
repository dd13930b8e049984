"""One gateway's share of every workspace's rate and burst."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_admission.lease import HolderLease
from verbenamux_admission.unit_table import TOTAL_UNITS, BookSnapshot, UnitTable
from verbenamux_contracts.clock import Clock

LOAN_LIFETIME = timedelta(seconds=2)
LOAN_MARGIN = timedelta(milliseconds=200)
MICROS_PER_TOKEN = 1_000_000
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class Limits:
    """A workspace's rate in tokens a second and its burst in tokens."""

    rate: int
    burst: int


@dataclass(slots=True)
class Loan:
    """Tokens lent by a peer or to a peer, with their expiry time."""

    micros: int
    expires_at: timedelta
    lender: str = ''


@dataclass(slots=True)
class Surplus:
    """Tokens left over from transferred units, until they drain.

    They drain as fast as the transferred units earn at their receiver, so
    both together never hold more than before. `is_own` means that the units
    go to a new name of this same holder.
    """

    micros: int
    units: int
    is_own: bool = False


@dataclass(slots=True)
class Bucket:
    """Balance and loans of one workspace, in millionths of a token.

    Tokens lent to peers keep counting against the cap until the loan
    must have been spent or has expired, so that a refill never adds to them.
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
        """Units held and not being transferred to another holder."""
        return max(0, self.units - self.pending_units)

    def restore_own_surplus(self) -> None:
        """Move the surplus kept for a new holder name back to the balance."""
        self.balance += sum(
            surplus.micros for surplus in self.surplus if surplus.is_own
        )
        self.surplus = [
            surplus for surplus in self.surplus if not surplus.is_own
        ]


LimitsOf = Callable[[str], Limits | None]


class Escrow:
    """Spends, lends and borrows tokens of the units this holder has.

    Its own tokens are spent or lent only under a valid lease; borrowed ones
    can be spent until the loan expires. Public methods use whole tokens.
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
        self.unit_table = UnitTable()
        self.lease = lease
        self._clock = clock
        self._limits_of = limits_of
        self._bucket_by_workspace: dict[str, Bucket] = {}

    def fold(self, first_offset: int, bodies: Iterable[bytes]) -> None:
        """Fold records of the shares stream and update every bucket."""
        claimed = set(self.unit_table.units_by_workspace)
        self.unit_table.fold(first_offset, bodies)
        self.apply_units(claimed)

    def restore(self, snapshot: BookSnapshot) -> None:
        """Restore the unit table from a snapshot; its buckets start empty."""
        self.unit_table.restore(snapshot)
        self.apply_units(set(self.unit_table.units_by_workspace))

    def rename(self, holder: str, lease: HolderLease) -> None:
        """Continue under a new holder name, which has no units yet.

        Balances are kept only while the old name's lease is valid: after
        that another holder may have reclaimed the units.
        """
        keeps_balances = self.lease.is_valid(self._clock.elapsed())
        for workspace, bucket in self._bucket_by_workspace.items():
            self._refill(workspace)
            if keeps_balances and bucket.balance > 0:
                leftover = Surplus(
                    bucket.balance, bucket.usable_units, is_own=True
                )
                bucket.surplus.append(leftover)
            if not keeps_balances:
                bucket.surplus.clear()
            bucket.balance = 0
            bucket.units = 0
            bucket.pending_units = 0
        self.holder = holder
        self.lease = lease
        self.apply_units(set(self.unit_table.units_by_workspace))

    def apply_units(self, claimed_before: set[str]) -> None:
        """Apply the unit table's units; a first claim starts full."""
        names = set(self.unit_table.units_by_workspace)
        for workspace in names | set(self._bucket_by_workspace):
            bucket = self._refill(workspace)
            held = self.unit_table.units(workspace, self.holder)
            if held == bucket.units:
                continue
            if held < bucket.units:
                lost_units = bucket.units - held
                bucket.pending_units = max(0, bucket.pending_units - lost_units)
            if held > bucket.units:
                bucket.restore_own_surplus()
            bucket.units = held
            if workspace not in claimed_before:
                bucket.balance = self._max_balance_micros(workspace, bucket)
            self._trim(workspace, bucket)

    def spend(self, workspace: str, tokens: int) -> bool:
        """Spend tokens, borrowed ones first; return False if too few."""
        bucket = self._refill(workspace)
        remaining = tokens * MICROS_PER_TOKEN
        if self._spendable_micros(bucket) < remaining:
            return False
        sources: list[Loan | Surplus] = list(bucket.borrowed)
        if self.lease.is_valid(self._clock.elapsed()):
            sources.extend(bucket.surplus)
        for source in sources:
            spent = min(source.micros, remaining)
            source.micros -= spent
            remaining -= spent
        bucket.balance -= remaining
        return True

    def missing_tokens(self, workspace: str, tokens: int) -> int:
        """Return how many tokens are missing for a request."""
        bucket = self._refill(workspace)
        missing_micros = max(
            0, tokens * MICROS_PER_TOKEN - self._spendable_micros(bucket)
        )
        return -(-missing_micros // MICROS_PER_TOKEN)

    def lend(self, workspace: str, tokens: int, at_most: int = 0) -> int:
        """Debit tokens for a peer and return how many it may have.

        The lease must outlast the loan: whoever reclaims the units later
        then need not account for it.
        """
        if not self.lease.is_valid(self._clock.elapsed() + LOAN_LIFETIME):
            return 0
        bucket = self._refill(workspace)
        granted = min(
            max(tokens, at_most), max(0, bucket.balance) // MICROS_PER_TOKEN
        )
        if granted:
            bucket.balance -= granted * MICROS_PER_TOKEN
            expires_at = self._clock.elapsed() + LOAN_LIFETIME + LOAN_MARGIN
            bucket.lent.append(Loan(granted * MICROS_PER_TOKEN, expires_at))
        return granted

    def borrow(
        self,
        workspace: str,
        tokens: int,
        asked_at: timedelta,
        lender: str,
    ) -> None:
        """Add tokens a peer debited; they expire soon after the request."""
        expires_at = asked_at + LOAN_LIFETIME
        loan = Loan(tokens * MICROS_PER_TOKEN, expires_at, lender)
        self._bucket(workspace).borrowed.append(loan)

    def record_usage(self, workspace: str, reserved: int, used: int) -> None:
        """Credit tokens a request did not use, or debit what it overran."""
        bucket = self._refill(workspace)
        bucket.balance += (reserved - used) * MICROS_PER_TOKEN
        self._trim(workspace, bucket)

    def release_units(self, workspace: str, units: int) -> int:
        """Stop using units before a grant of them is appended.

        Returns how many units may be granted; units that back outstanding
        loans stay.
        """
        bucket = self._refill(workspace)
        released = max(
            0, min(units, self._transferable_units(workspace, bucket))
        )
        bucket.pending_units += released
        excess = bucket.balance - max(
            0, self._max_balance_micros(workspace, bucket)
        )
        if released and excess > 0:
            bucket.surplus.append(Surplus(excess, released))
        self._trim(workspace, bucket)
        return released

    def refill_time(self, workspace: str, tokens: int) -> timedelta:
        """Return how long the whole fleet needs to earn missing tokens."""
        limits = self._limits_of(workspace)
        if limits is None:
            return timedelta()
        missing_tokens = self.missing_tokens(workspace, tokens)
        return timedelta(seconds=missing_tokens / limits.rate)

    def balance(self, workspace: str) -> int:
        """Return the balance in whole tokens, without loans."""
        return self._refill(workspace).balance // MICROS_PER_TOKEN

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
        bucket.lent = [loan for loan in bucket.lent if loan.expires_at > now]
        bucket.borrowed = [
            loan for loan in bucket.borrowed if loan.expires_at > now
        ]
        if limits is not None:
            _drain_surplus(bucket, limits, micros)
            earned = limits.rate * bucket.usable_units * micros // TOTAL_UNITS
            bucket.balance += earned
        self._trim(workspace, bucket)
        return bucket

    def _spendable_micros(self, bucket: Bucket) -> int:
        """Return micros that may be spent now."""
        borrowed = sum(loan.micros for loan in bucket.borrowed)
        if not self.lease.is_valid(self._clock.elapsed()):
            return borrowed
        surplus_micros = sum(surplus.micros for surplus in bucket.surplus)
        return borrowed + surplus_micros + bucket.balance

    def _max_balance_micros(self, workspace: str, bucket: Bucket) -> int:
        limits = self._limits_of(workspace)
        if limits is None:
            return 0
        burst_micros = (
            limits.burst * MICROS_PER_TOKEN * bucket.usable_units // TOTAL_UNITS
        )
        return burst_micros - sum(loan.micros for loan in bucket.lent)

    def _transferable_units(self, workspace: str, bucket: Bucket) -> int:
        """Return units that do not back an outstanding loan."""
        limits = self._limits_of(workspace)
        if limits is None:
            return bucket.usable_units
        lent_micros = sum(loan.micros for loan in bucket.lent)
        reserved_units = -(
            -lent_micros * TOTAL_UNITS // (limits.burst * MICROS_PER_TOKEN)
        )
        return bucket.usable_units - reserved_units

    def _trim(self, workspace: str, bucket: Bucket) -> None:
        bucket.balance = min(
            bucket.balance, self._max_balance_micros(workspace, bucket)
        )


def _drain_surplus(bucket: Bucket, limits: Limits, micros: int) -> None:
    """Drain the surplus for a duration in microseconds."""
    for surplus in bucket.surplus:
        drained = -(-limits.rate * surplus.units * micros // TOTAL_UNITS)
        surplus.micros -= drained
    bucket.surplus = [
        surplus for surplus in bucket.surplus if surplus.micros > 0
    ]
