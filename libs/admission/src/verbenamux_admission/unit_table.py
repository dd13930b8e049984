"""Who holds which rate units: a fold over the log's shares stream."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import msgspec

TOTAL_UNITS = 1_000_000
NAME_SEPARATOR = '/'


class ShareRecord(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Base of the records on the shares stream."""


class HolderStart(ShareRecord, frozen=True, tag='holder_start'):
    """A holder registers with the witnesses of its lease."""

    holder: str
    witnesses: tuple[str, ...]


class WitnessStart(ShareRecord, frozen=True, tag='witness_start'):
    """A witness begins to promise; its earlier instances are void."""

    witness: str
    instance: str


class ClaimUnits(ShareRecord, frozen=True, tag='claim'):
    """A holder takes all units of workspaces that never had a holder."""

    holder: str
    workspaces: tuple[str, ...]


class GrantUnits(ShareRecord, frozen=True, tag='grant'):
    """A holder transfers units that it has already stopped using."""

    giver: str
    receiver: str
    units_by_workspace: dict[str, int]


class ConsentNote(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The consent of one instance of a witness."""

    witness: str
    instance: str


class ReclaimUnits(ShareRecord, frozen=True, tag='reclaim'):
    """A holder takes over all units of a dead one, with consents."""

    dead: str
    claimant: str
    consents: tuple[ConsentNote, ...]


class BookSnapshot(ShareRecord, frozen=True, tag='snapshot'):
    """The unit table as any reader had folded it through an offset."""

    through_offset: int
    units_by_workspace: dict[str, dict[str, int]]
    witnesses_by_holder: dict[str, tuple[str, ...]]
    instance_by_witness: dict[str, str]


AnyShareRecord: TypeAlias = (
    HolderStart
    | WitnessStart
    | ClaimUnits
    | GrantUnits
    | ReclaimUnits
    | BookSnapshot
)


def encode_share_record(record: ShareRecord) -> bytes:
    """Return a record as JSON bytes."""
    return msgspec.json.encode(record)


@dataclass(slots=True)
class UnitTable:
    """The units of every workspace by holder, as of a log offset.

    Invalid records change nothing, on all readers alike. The
    units of a workspace never sum to more than TOTAL_UNITS.
    """

    through_offset: int = 0
    units_by_workspace: dict[str, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict),
    )
    witnesses_by_holder: dict[str, tuple[str, ...]] = field(
        default_factory=dict,
    )
    instance_by_witness: dict[str, str] = field(default_factory=dict)
    consents_checked: bool = True

    def units(self, workspace: str, holder: str) -> int:
        """Return the units of a workspace that a holder has."""
        return self.units_by_workspace.get(workspace, {}).get(holder, 0)

    def holders(self, workspace: str) -> list[str]:
        """Return the holders of a workspace's units, largest share first."""
        by_holder = self.units_by_workspace.get(workspace, {})
        return sorted(by_holder, key=lambda holder: -by_holder[holder])

    def is_claimed(self, workspace: str) -> bool:
        """Return whether the workspace's units have a holder."""
        return workspace in self.units_by_workspace

    def all_holders(self) -> frozenset[str]:
        """Return all holders of units of any workspace."""
        return frozenset(
            holder
            for by_holder in self.units_by_workspace.values()
            for holder in by_holder
        )

    def fold(self, first_offset: int, bodies: Iterable[bytes]) -> None:
        """Fold a run of records; those folded before are skipped."""
        for offset, body in enumerate(bodies, first_offset):
            if offset < self.through_offset:
                continue
            self._fold_one(body)
            self.through_offset = offset + 1

    def snapshot(self) -> BookSnapshot:
        """Return the table as a record."""
        return BookSnapshot(
            self.through_offset,
            {
                name: dict(by_holder)
                for name, by_holder in self.units_by_workspace.items()
            },
            dict(self.witnesses_by_holder),
            dict(self.instance_by_witness),
        )

    def restore(self, snapshot: BookSnapshot) -> None:
        """Replace the table by a snapshot, if that is newer."""
        if snapshot.through_offset <= self.through_offset:
            return
        self.through_offset = snapshot.through_offset
        self.units_by_workspace = defaultdict(dict)
        for name, by_holder in snapshot.units_by_workspace.items():
            self.units_by_workspace[name] = dict(by_holder)
        self.witnesses_by_holder = dict(snapshot.witnesses_by_holder)
        self.instance_by_witness = dict(snapshot.instance_by_witness)

    def has_majority(self, record: ReclaimUnits) -> bool:
        """Return whether a reclaim has valid consents of a majority."""
        witnesses = self.witnesses_by_holder.get(record.dead, ())
        consenting_witnesses = {
            note.witness
            for note in record.consents
            if note.witness in witnesses
            and self.instance_by_witness.get(note.witness) == note.instance
        }
        return 2 * len(consenting_witnesses) > len(witnesses)

    def _fold_one(self, body: bytes) -> None:
        try:
            record = msgspec.json.decode(body, type=AnyShareRecord)
        except msgspec.MsgspecError:
            return
        HANDLER_BY_RECORD_TYPE[type(record)](self, record)


def _start_holder(table: UnitTable, record: HolderStart) -> None:
    """Add a holder; remove earlier names of its gateway without units."""
    gateway = record.holder.partition(NAME_SEPARATOR)[0]
    holders_with_units = table.all_holders()
    for holder in list(table.witnesses_by_holder):
        is_same_gateway = holder.partition(NAME_SEPARATOR)[0] == gateway
        if is_same_gateway and holder not in holders_with_units:
            del table.witnesses_by_holder[holder]
    table.witnesses_by_holder.setdefault(record.holder, record.witnesses)


def _start_witness(table: UnitTable, record: WitnessStart) -> None:
    table.instance_by_witness[record.witness] = record.instance


def _claim(table: UnitTable, record: ClaimUnits) -> None:
    if record.holder not in table.witnesses_by_holder:
        return
    for workspace in record.workspaces:
        if not table.is_claimed(workspace):
            table.units_by_workspace[workspace] = {record.holder: TOTAL_UNITS}


def _grant(table: UnitTable, record: GrantUnits) -> None:
    if record.receiver not in table.witnesses_by_holder:
        return
    for workspace, units in record.units_by_workspace.items():
        if 0 < units <= table.units(workspace, record.giver):
            _transfer_units(
                table, workspace, record.giver, record.receiver, units
            )


def _reclaim(table: UnitTable, record: ReclaimUnits) -> None:
    if record.claimant not in table.witnesses_by_holder:
        return
    if record.claimant == record.dead:
        return
    if table.consents_checked and not table.has_majority(record):
        return
    for workspace in table.units_by_workspace:
        units = table.units(workspace, record.dead)
        if units:
            _transfer_units(
                table, workspace, record.dead, record.claimant, units
            )
    table.witnesses_by_holder.pop(record.dead, None)


def _skip_snapshot(table: UnitTable, record: BookSnapshot) -> None:
    """Ignore a snapshot: the table already has the records it covers."""


def _transfer_units(
    table: UnitTable,
    workspace: str,
    giver: str,
    receiver: str,
    units: int,
) -> None:
    by_holder = table.units_by_workspace[workspace]
    by_holder[giver] -= units
    if not by_holder[giver]:
        del by_holder[giver]
    by_holder[receiver] = by_holder.get(receiver, 0) + units


HANDLER_BY_RECORD_TYPE: dict[
    type[ShareRecord], Callable[[UnitTable, Any], None]
] = {
    HolderStart: _start_holder,
    WitnessStart: _start_witness,
    ClaimUnits: _claim,
    GrantUnits: _grant,
    ReclaimUnits: _reclaim,
    BookSnapshot: _skip_snapshot,
}
