"""A state machine of gateways, witnesses and a log for escrow tests.

A hypothesis state machine drives the escrow of three gateways, three
witnesses and a log. Every rule that keeps the total in bounds is also disabled
once: then a fixed run of the machine exceeds the bound.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from verbenamux_admission import unit_table as records
from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_admission.lease import HolderLease, WitnessPromises
from verbenamux_contracts.clock import ManualClock

WORKSPACE = 'opera'
LIMITS = Limits(rate=10, burst=100)
LEASE = timedelta(seconds=10)
GATEWAYS = ('a', 'b', 'c')
WITNESSES = ('w0', 'w1', 'w2')
# The longest step is 1 s: spendings within a step count as simultaneous.
STEPS = st.sampled_from([timedelta(milliseconds=ms) for ms in (1, 300, 1000)])
LONG_STEPS = st.sampled_from(
    [timedelta(seconds=seconds) for seconds in (3, 6, 11)]
)
ROUNDING_TOKENS = 1

gateways = st.sampled_from(GATEWAYS)
witnesses = st.sampled_from(WITNESSES)


@dataclass
class Member:
    """A simulated gateway."""

    name: str
    escrow: Escrow
    offset: int = 0
    generation: int = 0
    paused: bool = False
    is_cut_off: bool = False


@dataclass
class SimulatedWitness:
    """A simulated witness; `started` is whether its start is in the log."""

    name: str
    promises: WitnessPromises
    instance: str
    started: bool = True


@dataclass
class Spending:
    """One spending; `at` is the true time."""

    at: timedelta
    tokens: int


@dataclass
class Mechanisms:
    """Mechanisms that a test may disable."""

    lease_needed: bool = True
    debit_first: bool = True
    loans_expire: bool = True
    lent_tokens_count: bool = True
    witness_waits: bool = True
    consents_checked: bool = True
    reclaimed_starts_empty: bool = True
    release_before_grant: bool = True
    refused_after_consent: bool = True


@dataclass
class Network:
    """Messages in transit: loans sent and not yet received."""

    loans: list[tuple[str, int, timedelta, str]] = field(default_factory=list)


class AlwaysLeased(HolderLease):
    """A lease that never ends."""

    def is_valid(self, now: timedelta) -> bool:
        return True


class EscrowMachine(RuleBasedStateMachine):
    """Interleavings of the actions of gateways, witnesses and the log."""

    mechanisms = Mechanisms()

    @initialize()
    def begin(self) -> None:
        self.clock = ManualClock()
        self.log: list[bytes] = []
        self.log_down = False
        self.network = Network()
        self.spendings: list[Spending] = []
        self.witness_by_name = {
            name: SimulatedWitness(name, self._new_promises(), f'{name}-0')
            for name in WITNESSES
        }
        for simulated in self.witness_by_name.values():
            self._append(
                records.WitnessStart(simulated.name, simulated.instance)
            )
        self.members = {name: self._new_member(name) for name in GATEWAYS}
        for member in self.members.values():
            self._register(member)
        first = self.members['a']
        self._append(records.ClaimUnits(first.escrow.holder, (WORKSPACE,)))
        for member in self.members.values():
            self._catch_up(member)
            for witness in WITNESSES:
                self._renew(member, witness)

    @rule(step=STEPS)
    def pass_time(self, step: timedelta) -> None:
        self.clock.advance(step)

    @rule(step=LONG_STEPS)
    def pass_long_time(self, step: timedelta) -> None:
        self.clock.advance(step)

    @rule(name=gateways, tokens=st.integers(1, 100))
    def spend(self, name: str, tokens: int) -> None:
        member = self.members[name]
        if member.paused:
            return
        if member.escrow.spend(WORKSPACE, tokens):
            self.spendings.append(Spending(self.clock.elapsed(), tokens))

    @rule(name=gateways)
    def spend_all(self, name: str) -> None:
        member = self.members[name]
        if not member.paused:
            tokens = member.escrow.balance(WORKSPACE)
            if tokens > 0 and member.escrow.spend(WORKSPACE, tokens):
                self.spendings.append(Spending(self.clock.elapsed(), tokens))

    @rule(lender=gateways, borrower=gateways, tokens=st.integers(1, 100))
    def ask_for_loan(self, lender: str, borrower: str, tokens: int) -> None:
        lending_member, borrowing_member = (
            self.members[lender],
            self.members[borrower],
        )
        if (
            lender == borrower
            or lending_member.paused
            or borrowing_member.paused
        ):
            return
        asked_at = self.clock.elapsed()
        if self.mechanisms.debit_first:
            granted = lending_member.escrow.lend(WORKSPACE, tokens)
        else:
            granted = min(
                tokens, max(0, lending_member.escrow.balance(WORKSPACE))
            )
        if not self.mechanisms.lent_tokens_count:
            lending_member.escrow._bucket(WORKSPACE).lent.clear()
        if granted:
            self.network.loans.append((borrower, granted, asked_at, lender))

    @precondition(lambda self: self.network.loans)
    @rule(data=st.data())
    def deliver_loan(self, data: Any) -> None:
        if not self.network.loans:
            return
        index = data.draw(st.integers(0, len(self.network.loans) - 1))
        name, tokens, asked_at, lender = self.network.loans.pop(index)
        member = self.members[name]
        if member.paused:
            return
        if not self.mechanisms.loans_expire:
            asked_at = timedelta(days=1)
        member.escrow.borrow(WORKSPACE, tokens, asked_at, lender)

    @precondition(lambda self: self.network.loans)
    @rule()
    def lose_loan(self) -> None:
        self.network.loans.pop()

    @rule(giver=gateways, receiver=gateways, units=st.integers(1, 1_000_000))
    def grant_units(self, giver: str, receiver: str, units: int) -> None:
        member, other = self.members[giver], self.members[receiver]
        if (
            giver == receiver
            or member.paused
            or member.is_cut_off
            or self.log_down
        ):
            return
        if self.mechanisms.release_before_grant:
            units = member.escrow.release_units(WORKSPACE, units)
        else:
            held = member.escrow.unit_table.units(
                WORKSPACE, member.escrow.holder
            )
            units = min(units, held)
        if units:
            self._append(
                records.GrantUnits(
                    member.escrow.holder,
                    other.escrow.holder,
                    {WORKSPACE: units},
                ),
            )

    @rule(name=gateways)
    def follow(self, name: str) -> None:
        member = self.members[name]
        if not member.paused and not member.is_cut_off and not self.log_down:
            self._catch_up(member)

    @rule(name=gateways)
    def renew_with_all(self, name: str) -> None:
        member = self.members[name]
        if not member.paused:
            for witness in WITNESSES:
                self._renew(member, witness)

    @rule(name=gateways, witness=witnesses)
    def renew_with_one(self, name: str, witness: str) -> None:
        member = self.members[name]
        if not member.paused:
            self._renew(member, witness)

    @rule(name=gateways, dead=gateways)
    def reclaim(self, name: str, dead: str) -> None:
        member = self.members[name]
        if name == dead or member.paused or member.is_cut_off or self.log_down:
            return
        holder = self.members[dead].escrow.holder
        now = self.clock.elapsed()
        consents = tuple(
            records.ConsentNote(simulated.name, simulated.instance)
            for simulated in self.witness_by_name.values()
            if simulated.started and simulated.promises.consent(holder, now)
        )
        if not self.mechanisms.refused_after_consent:
            for simulated in self.witness_by_name.values():
                simulated.promises.reclaimed.clear()
        self._append(
            records.ReclaimUnits(holder, member.escrow.holder, consents),
        )
        self._catch_up(member)
        if not self.mechanisms.reclaimed_starts_empty:
            member.escrow._bucket(WORKSPACE).balance = LIMITS.burst * 10**6

    @rule(witness=witnesses)
    def restart_witness(self, witness: str) -> None:
        simulated = self.witness_by_name[witness]
        number = int(simulated.instance.rpartition('-')[2]) + 1
        self.witness_by_name[witness] = SimulatedWitness(
            witness,
            self._new_promises(),
            f'{witness}-{number}',
            started=False,
        )

    @rule(witness=witnesses)
    def announce_witness(self, witness: str) -> None:
        simulated = self.witness_by_name[witness]
        if not simulated.started and not self.log_down:
            self._append(records.WitnessStart(witness, simulated.instance))
            simulated.started = True

    @rule(name=gateways)
    def pause(self, name: str) -> None:
        self.members[name].paused = True

    @rule(name=gateways)
    def resume(self, name: str) -> None:
        self.members[name].paused = False

    @rule(name=gateways)
    def cut_from_log(self, name: str) -> None:
        member = self.members[name]
        member.is_cut_off = not member.is_cut_off

    @rule()
    def toggle_log(self) -> None:
        self.log_down = not self.log_down

    @rule(name=gateways)
    def register_new_holder(self, name: str) -> None:
        member = self.members[name]
        if member.paused or member.is_cut_off or self.log_down:
            return
        self._catch_up(member)
        old = member.escrow.holder
        held = member.escrow.unit_table.units(WORKSPACE, old)
        self._register(member)
        if held:
            self._append(
                records.GrantUnits(
                    old,
                    member.escrow.holder,
                    {WORKSPACE: held},
                ),
            )
        self._catch_up(member)

    @rule(name=gateways)
    def kill_and_restart(self, name: str) -> None:
        if self.log_down:
            return
        generation = self.members[name].generation
        self.members[name] = self._new_member(name, generation)
        self._register(self.members[name])
        self._catch_up(self.members[name])

    @invariant()
    def units_never_exceed_the_whole(self) -> None:
        for member in self.members.values():
            by_holder = member.escrow.unit_table.units_by_workspace[WORKSPACE]
            assert sum(by_holder.values()) <= records.TOTAL_UNITS

    @invariant()
    def no_window_exceeds_rate_and_burst(self) -> None:
        if not self.spendings:
            return
        end = self.spendings[-1].at
        total = 0
        for spending in reversed(self.spendings):
            total += spending.tokens
            seconds = (end - spending.at).total_seconds()
            allowed = LIMITS.rate * seconds + LIMITS.burst
            assert total <= allowed + ROUNDING_TOKENS

    def _new_promises(self) -> WitnessPromises:
        return WitnessPromises(
            LEASE,
            self.clock.elapsed(),
            waits_after_start=self.mechanisms.witness_waits,
        )

    def _new_member(self, name: str, generation: int = 0) -> Member:
        escrow = Escrow('', self.clock, lambda _: LIMITS, HolderLease())
        escrow.unit_table.consents_checked = self.mechanisms.consents_checked
        return Member(name, escrow, generation=generation)

    def _register(self, member: Member) -> None:
        member.generation += 1
        holder = f'{member.name}/{member.generation}'
        self._append(records.HolderStart(holder, WITNESSES))
        self._catch_up(member)
        lease_type = (
            HolderLease if self.mechanisms.lease_needed else AlwaysLeased
        )
        lease = lease_type(
            WITNESSES,
            current_instance=member.escrow.unit_table.instance_by_witness.get,
        )
        member.escrow.rename(holder, lease)

    def _renew(self, member: Member, witness: str) -> None:
        simulated = self.witness_by_name[witness]
        now = self.clock.elapsed()
        if not simulated.started:
            return
        if simulated.promises.promise(member.escrow.holder, LEASE, now):
            member.escrow.lease.renew(witness, simulated.instance, now, LEASE)

    def _append(self, record: records.ShareRecord) -> None:
        self.log.append(records.encode_share_record(record))

    def _catch_up(self, member: Member) -> None:
        member.escrow.fold(member.offset, self.log[member.offset :])
        member.offset = len(self.log)
