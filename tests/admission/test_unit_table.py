"""The unit table: what each record may change."""

import pytest

from verbenamux_admission import unit_table as records
from verbenamux_admission.unit_table import TOTAL_UNITS, UnitTable

START = [
    records.WitnessStart('w', 'i'),
    records.HolderStart('a/1', ('w',)),
    records.HolderStart('b/1', ('w',)),
    records.ClaimUnits('a/1', ('opera',)),
]
CONSENT = (records.ConsentNote('w', 'i'),)


def folded(*records_after_start: records.ShareRecord) -> UnitTable:
    table = UnitTable()
    table.fold(
        0, map(records.encode_share_record, [*START, *records_after_start])
    )
    return table


def test_first_claim_takes_the_whole() -> None:
    table = folded(records.ClaimUnits('b/1', ('opera', 'film')))
    assert table.units('opera', 'a/1') == TOTAL_UNITS
    assert table.units('film', 'b/1') == TOTAL_UNITS


@pytest.mark.parametrize(
    'record',
    [
        records.GrantUnits('a/1', 'b/1', {'opera': TOTAL_UNITS + 1}),
        records.GrantUnits('a/1', 'b/1', {'opera': -5}),
        records.GrantUnits('b/1', 'a/1', {'opera': 5}),
        records.GrantUnits('a/1', 'nobody', {'opera': 5}),
        records.ReclaimUnits('a/1', 'b/1', ()),
        records.ReclaimUnits('a/1', 'a/1', CONSENT),
        records.ReclaimUnits('a/1', 'nobody', CONSENT),
        records.ReclaimUnits('a/1', 'b/1', (records.ConsentNote('x', 'i'),)),
        records.ReclaimUnits('a/1', 'b/1', (records.ConsentNote('w', 'j'),)),
    ],
)
def test_invalid_record_changes_nothing(
    record: records.ShareRecord,
) -> None:
    assert folded(record).units_by_workspace == {'opera': {'a/1': TOTAL_UNITS}}


def test_reclaim_with_a_majority_moves_everything() -> None:
    table = folded(records.ReclaimUnits('a/1', 'b/1', CONSENT))
    assert table.units_by_workspace == {'opera': {'b/1': TOTAL_UNITS}}


def test_consent_of_a_replaced_instance_is_void() -> None:
    table = folded(
        records.WitnessStart('w', 'j'),
        records.ReclaimUnits('a/1', 'b/1', CONSENT),
    )
    assert table.units('opera', 'a/1') == TOTAL_UNITS


def test_holder_names_without_units_are_removed() -> None:
    table = folded(
        *(records.HolderStart(f'b/{number}', ('w',)) for number in range(50)),
        records.HolderStart('a/2', ('w',)),
    )
    assert set(table.witnesses_by_holder) == {'a/1', 'a/2', 'b/49'}


def test_snapshot_is_taken_only_if_newer() -> None:
    table = folded()
    restored = UnitTable()
    restored.restore(table.snapshot())
    assert restored.units('opera', 'a/1') == TOTAL_UNITS
    table.fold(
        4,
        [
            records.encode_share_record(
                records.GrantUnits('a/1', 'b/1', {'opera': 10}),
            )
        ],
    )
    table.restore(restored.snapshot())
    assert table.units('opera', 'b/1') == 10


def test_unreadable_records_are_skipped() -> None:
    table = UnitTable()
    table.fold(0, [b'', b'{"kind":"what"}', b'[]'])
    assert table.through_offset == 3
