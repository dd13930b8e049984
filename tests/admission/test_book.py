"""The book of shares: what each record may change."""

import pytest

from verbenamux_admission import book as records
from verbenamux_admission.book import WHOLE, ShareBook

START = [
    records.WitnessStart('w', 'i'),
    records.HolderStart('a/1', ('w',)),
    records.HolderStart('b/1', ('w',)),
    records.ClaimUnits('a/1', ('opera',)),
]
CONSENT = (records.ConsentNote('w', 'i'),)


def folded(*more: records.ShareRecord) -> ShareBook:
    book = ShareBook()
    book.fold(0, map(records.encode_share_record, [*START, *more]))
    return book


def test_first_claim_takes_the_whole() -> None:
    book = folded(records.ClaimUnits('b/1', ('opera', 'film')))
    assert book.units('opera', 'a/1') == WHOLE
    assert book.units('film', 'b/1') == WHOLE


@pytest.mark.parametrize(
    'record',
    [
        records.GrantUnits('a/1', 'b/1', {'opera': WHOLE + 1}),
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
def test_record_against_a_rule_changes_nothing(
    record: records.ShareRecord,
) -> None:
    assert folded(record).units_by_workspace == {'opera': {'a/1': WHOLE}}


def test_reclaim_with_a_majority_moves_everything() -> None:
    book = folded(records.ReclaimUnits('a/1', 'b/1', CONSENT))
    assert book.units_by_workspace == {'opera': {'b/1': WHOLE}}


def test_consent_of_an_instance_that_was_followed_by_another_is_void() -> None:
    book = folded(
        records.WitnessStart('w', 'j'),
        records.ReclaimUnits('a/1', 'b/1', CONSENT),
    )
    assert book.units('opera', 'a/1') == WHOLE


def test_names_that_hold_nothing_do_not_pile_up() -> None:
    book = folded(
        *(records.HolderStart(f'b/{number}', ('w',)) for number in range(50)),
        records.HolderStart('a/2', ('w',)),
    )
    assert set(book.witnesses_by_holder) == {'a/1', 'a/2', 'b/49'}


def test_snapshot_is_taken_only_if_newer() -> None:
    book = folded()
    fresh = ShareBook()
    fresh.restore(book.snapshot())
    assert fresh.units('opera', 'a/1') == WHOLE
    book.fold(
        4,
        [
            records.encode_share_record(
                records.GrantUnits('a/1', 'b/1', {'opera': 10}),
            )
        ],
    )
    book.restore(fresh.snapshot())
    assert book.units('opera', 'b/1') == 10


def test_unreadable_records_are_passed_over() -> None:
    book = ShareBook()
    book.fold(0, [b'', b'{"kind":"what"}', b'[]'])
    assert book.through_offset == 3
