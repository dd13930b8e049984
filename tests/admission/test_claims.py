"""The first claim in the log owns a key until its owner releases it."""

import msgspec

from verbenamux_admission.claims import Claim, ClaimBatch, ClaimTable


def batch(**fields: tuple[Claim, ...]) -> bytes:
    return msgspec.json.encode(ClaimBatch(**fields))


def test_first_claim_wins() -> None:
    table = ClaimTable()
    table.fold(
        0,
        [
            batch(claims=(Claim('key', 'first'),)),
            batch(claims=(Claim('key', 'second'),)),
        ],
    )
    assert table.owner('key') == 'first'


def test_only_the_owner_releases() -> None:
    table = ClaimTable()
    table.fold(
        0,
        [
            batch(claims=(Claim('key', 'first'),)),
            batch(releases=(Claim('key', 'second'),)),
        ],
    )
    assert table.owner('key') == 'first'
    table.fold(2, [batch(releases=(Claim('key', 'first'),))])
    assert table.owner('key') is None


def test_unreadable_batch_claims_nothing() -> None:
    table = ClaimTable()
    table.fold(0, [b'{"claims": 3}', b'\xff'])
    assert table.through_offset == 2
    assert not table.owner_by_digest
