"""The lease on this gateway's rate units, their claims and transfers."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
import msgspec
from returns.pipeline import is_successful

from verbenamux_admission import unit_table as records
from verbenamux_admission.escrow import Escrow
from verbenamux_admission.lease import HolderLease
from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.ids import InstanceId, new_attempt_id
from verbenamux_contracts.log import Log, LogFault
from verbenamux_contracts.messages import (
    Consent,
    ConsentAsk,
    LeaseAsk,
    LeasePromise,
    Message,
)
from verbenamux_contracts.rendezvous import pick
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.peering import PeerTable
from verbenamux_gateway.rates import EscrowGate

SHARES_STREAM = 'shares'
WITNESSES_PER_HOLDER = 5
RENEWALS_PER_LEASE = 4
WITNESS_TIMEOUT = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=500)
HOLDERS_PER_WORKSPACE = 4

LogDecision = Callable[..., None]


@dataclass(slots=True)
class ShareManager:
    """Follows the shares stream and keeps a lease on the units held.

    It takes a new holder name whenever its lease was lost or a witness
    has left the configuration; a record moves the units of the old name
    to the new one, and the log orders that record against a reclaim.
    """

    name: str
    instance: InstanceId
    clock: Clock
    log: Log
    fleet: Fleet
    peers: PeerTable
    gate: EscrowGate
    lease_time: timedelta
    log_decision: LogDecision
    generation: 'itertools.count[int]' = field(default_factory=itertools.count)
    is_caught_up: bool = False
    is_log_up: bool = False
    is_grant_unconfirmed: bool = False
    renewed_at: timedelta | None = None
    last_seen_at_by_holder: dict[str, timedelta] = field(default_factory=dict)

    @property
    def escrow(self) -> Escrow:
        """The escrow that spends the units held."""
        return self.gate.escrow

    def follow(self) -> None:
        """Follow the shares stream in an endless loop."""
        self._restore()
        while True:
            batch = self.log.read(
                SHARES_STREAM,
                self.escrow.unit_table.through_offset,
                wait=READ_TIMEOUT if self.is_caught_up else timedelta(),
            )
            if not is_successful(batch):
                if batch.failure().fault is LogFault.EXPIRED:
                    self._restore()
                self.is_log_up = False
                self.clock.sleep(RETRY_DELAY)
                continue
            self.is_log_up = True
            read = batch.unwrap()
            self.escrow.fold(read.first_offset, read.bodies)
            if not read.bodies:
                self.is_caught_up = True

    def renew(self, addresses: list[str]) -> None:
        """Renew the lease, or take a new holder name if that fails."""
        lease = self.escrow.lease
        if self._is_renewed():
            return
        requested_at = self.clock.elapsed()
        self._request_promises(self.escrow.holder, lease)
        if lease.is_valid(self.clock.elapsed()):
            self.renewed_at = requested_at
        removed = set(lease.witnesses) - set(addresses)
        is_lost = not lease.is_valid(self.clock.elapsed())
        if removed or is_lost or self.is_grant_unconfirmed:
            self._register(addresses)

    def claim(self, workspaces: list[str]) -> None:
        """Claim workspaces without a holder, once the stream is read."""
        if not self.is_caught_up or not self._is_registered():
            return
        names = self._alive_names()
        unclaimed = [
            workspace
            for workspace in workspaces
            if not self.escrow.unit_table.is_claimed(workspace)
            and pick(workspace, names, 1) == [self.name]
        ]
        if unclaimed:
            self._append(
                records.ClaimUnits(self.escrow.holder, tuple(unclaimed)),
            )

    def move_units(self) -> None:
        """Grant units to the peers that borrow most, in few records."""
        for peer_name, units in self.gate.units_to_move().items():
            peer = self.peers.by_name.get(peer_name)
            if peer is None or peer.hello is None or not peer.hello.holder:
                continue
            self._grant(peer.hello.holder, units)

    def spread_units(self) -> None:
        """Grant units to the other gateways that should hold a workspace.

        With a few holders for each workspace, the loss of one costs a part
        of the rate, not all of it, until its units are reclaimed.
        """
        names = self._alive_names()
        granted: dict[str, dict[str, int]] = {}
        for workspace, units in self._held_units().items():
            shares = self._shares_of_new_holders(workspace, units, names)
            for holder, share in shares.items():
                granted.setdefault(holder, {})[workspace] = share
        for receiver, units_by_workspace in granted.items():
            self._grant(receiver, units_by_workspace)

    def grant_all_units(self) -> None:
        """Grant all units to an alive peer before shutdown."""
        receivers = [
            peer.hello.holder
            for peer in self.peers.alive()
            if peer.hello is not None and peer.hello.holder
        ]
        held = self._held_units()
        if receivers and held:
            self._grant(receivers[0], held)

    def reclaim_abandoned(self) -> None:
        """Reclaim the units of holders that no alive gateway uses."""
        now = self.clock.elapsed()
        alive_holders = {self.escrow.holder}
        alive_holders.update(
            peer.hello.holder
            for peer in self.peers.alive()
            if peer.hello is not None
        )
        for holder in self.escrow.unit_table.all_holders():
            if holder in alive_holders:
                self.last_seen_at_by_holder[holder] = now
                continue
            last_seen_at = self.last_seen_at_by_holder.setdefault(holder, now)
            if now - last_seen_at > self.lease_time:
                self._reclaim(holder)

    def write_snapshot(self) -> None:
        """Append a snapshot even if unchanged, since records expire."""
        if self.is_caught_up and self.is_log_up:
            self._append(self.escrow.unit_table.snapshot())

    def _shares_of_new_holders(
        self,
        workspace: str,
        units: int,
        names: list[str],
    ) -> dict[str, int]:
        """Return the units of a workspace to grant to each new holder."""
        chosen = pick(workspace, names, HOLDERS_PER_WORKSPACE)
        share = records.TOTAL_UNITS // len(chosen)
        without_units = [
            holder
            for holder in self._holders_of(chosen)
            if not self.escrow.unit_table.units(workspace, holder)
        ]
        affordable = max(0, units - share) // share
        return dict.fromkeys(without_units[:affordable], share)

    def _holders_of(self, names: list[str]) -> list[str]:
        hellos = [
            peer.hello
            for peer in self.peers.alive()
            if peer.name in names and peer.hello is not None
        ]
        registered = self.escrow.unit_table.witnesses_by_holder
        return [hello.holder for hello in hellos if hello.holder in registered]

    def _is_registered(self) -> bool:
        return self.escrow.holder in self.escrow.unit_table.witnesses_by_holder

    def _register(self, addresses: list[str]) -> None:
        """Take a new holder name with its own witnesses.

        The old name is given up only once the new one has a lease.
        """
        if not addresses or not self.is_caught_up:
            return
        holder = f'{self.name}/{self.instance}/{next(self.generation)}'
        witnesses = tuple(pick(holder, addresses, WITNESSES_PER_HOLDER))
        if not self._append(records.HolderStart(holder, witnesses)):
            return
        lease = self._new_lease(witnesses)
        self._request_promises(holder, lease)
        if not lease.is_valid(self.clock.elapsed()):
            return
        self.is_grant_unconfirmed = False
        old, held = self.escrow.holder, self._held_units()
        self.escrow.rename(holder, lease)
        if held:
            self._append(records.GrantUnits(old, holder, held))
        self.log_decision('holder', holder=holder, witnesses=witnesses)

    def _new_lease(self, witnesses: tuple[str, ...]) -> HolderLease:
        return HolderLease(
            witnesses,
            current_instance=self.escrow.unit_table.instance_by_witness.get,
        )

    def _held_units(self) -> dict[str, int]:
        held = {
            workspace: self.escrow.unit_table.units(
                workspace, self.escrow.holder
            )
            for workspace in self.escrow.unit_table.units_by_workspace
        }
        return {workspace: units for workspace, units in held.items() if units}

    def _grant(self, receiver: str, wanted: dict[str, int]) -> None:
        if not self.is_log_up:
            return
        taken = {
            workspace: self.escrow.release_units(workspace, units)
            for workspace, units in wanted.items()
        }
        granted = {name: units for name, units in taken.items() if units}
        if not granted:
            return
        record = records.GrantUnits(self.escrow.holder, receiver, granted)
        if not self._append(record):
            self.is_grant_unconfirmed = True

    def _is_renewed(self) -> bool:
        """Return whether the lease needs no renewal yet."""
        renewed_at = self.renewed_at
        if renewed_at is None or self.is_grant_unconfirmed:
            return False
        age = self.clock.elapsed() - renewed_at
        return age < self.lease_time / RENEWALS_PER_LEASE

    def _request_promises(self, holder: str, lease: HolderLease) -> None:
        """Request promises; wait for a majority, at most WITNESS_TIMEOUT.

        A later promise still counts: after a pause of this process or of
        the witnesses all promises are late.
        """
        requests = [
            gevent.spawn(self._request_promise, witness, holder, lease)
            for witness in lease.witnesses
        ]
        promised = 0
        seconds = WITNESS_TIMEOUT.total_seconds()
        for answered in gevent.iwait(requests, timeout=seconds):
            promised += bool(answered.value)
            if 2 * promised > len(requests):
                return

    def _request_promise(
        self,
        witness: str,
        holder: str,
        lease: HolderLease,
    ) -> bool:
        """Request a promise, up to a lease time; return whether it counts."""
        requested_at = self.clock.elapsed()
        ask_id = new_attempt_id()
        query = LeaseAsk(
            ask_id,
            InstanceId(holder),
            to_milliseconds(self.lease_time),
        )
        link = self.fleet.link_to(witness)
        promise = link.ask(ask_id, query, self.lease_time)
        if not isinstance(promise, LeasePromise) or not promise.granted:
            return False
        return lease.renew(
            witness,
            promise.instance,
            requested_at,
            self.lease_time,
        )

    def _reclaim(self, dead: str) -> None:
        if pick(dead, self._alive_names(), 1) != [self.name]:
            return
        witnesses = self.escrow.unit_table.witnesses_by_holder.get(dead, ())
        consents = []
        for witness in witnesses:
            ask_id = new_attempt_id()
            query = ConsentAsk(ask_id, InstanceId(dead))
            consent = self._query(witness, ask_id, query)
            if isinstance(consent, Consent) and consent.granted:
                consents.append(
                    records.ConsentNote(witness, consent.instance),
                )
        record = records.ReclaimUnits(
            dead,
            self.escrow.holder,
            tuple(consents),
        )
        if self.escrow.unit_table.has_majority(record):
            appended = self._append(record)
            self.log_decision('reclaim', dead=dead, appended=appended)

    def _query(
        self, witness: str, ask_id: str, query: Message
    ) -> Message | None:
        return self.fleet.link_to(witness).ask(ask_id, query, WITNESS_TIMEOUT)

    def _alive_names(self) -> list[str]:
        return [*(peer.name for peer in self.peers.alive()), self.name]

    def _append(self, record: records.ShareRecord) -> bool:
        """Append a record and wait until it has been folded.

        False if the log returned no offset: the record may still be in
        the log, so the units it would give away stay unused.
        """
        offset = self.log.append(
            SHARES_STREAM,
            records.encode_share_record(record),
        )
        if not is_successful(offset):
            return False
        while self.escrow.unit_table.through_offset <= offset.unwrap():
            self.clock.sleep(timedelta(milliseconds=10))
        return True

    def _restore(self) -> None:
        """Restore the newest usable snapshot of the stream, if any."""
        batch = self.log.read(SHARES_STREAM, 0)
        first = 0
        if not is_successful(batch):
            first = batch.failure().first_offset
        if first <= self.escrow.unit_table.through_offset:
            return
        offset = first
        while True:
            page = self.log.read(SHARES_STREAM, offset)
            if not is_successful(page) or not page.unwrap().bodies:
                return
            self._restore_from(page.unwrap().bodies, first)
            offset = page.unwrap().next_offset

    def _restore_from(self, bodies: tuple[bytes, ...], first: int) -> None:
        for body in bodies:
            try:
                record = msgspec.json.decode(body, type=records.AnyShareRecord)
            except msgspec.MsgspecError:
                continue
            if not isinstance(record, records.BookSnapshot):
                continue
            if record.through_offset >= first:
                self.escrow.restore(record)
