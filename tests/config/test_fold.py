"""The fold accepts patches by one rule and survives any other record."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from verbenamux_config import entities, operations
from verbenamux_config.access import authenticate, hash_key
from verbenamux_config.fold import (
    RejectReason,
    apply_body,
    apply_record,
    encode_record,
    fold_bodies,
)
from verbenamux_config.state import (
    Configuration,
    SnapshotDecodeError,
    decode_snapshot,
    encode_snapshot,
    newer,
)
from verbenamux_contracts.errors import ErrorCode

WORKSPACE = entities.Workspace('counter', 100, 200)
KEY_HASH = hash_key('secret')


def workspace_patch(base: int, patch_id: str = 'p') -> operations.Patch:
    return operations.Patch(
        patch_id,
        base,
        (operations.PutWorkspace(WORKSPACE),),
    )


def key_patch(base: int) -> operations.Patch:
    key = entities.Key(KEY_HASH, 'counter')
    return operations.Patch('k', base, (operations.GrantKey(key),))


def configuration_with_key() -> Configuration:
    bodies = [encode_record(workspace_patch(0)), encode_record(key_patch(1))]
    return fold_bodies(Configuration(), 0, bodies)


def test_patch_with_current_base_makes_next_version() -> None:
    folded = apply_record(Configuration(), workspace_patch(0)).unwrap()
    assert folded.version == 1
    assert folded.workspaces_by_name == {'counter': WORKSPACE}
    assert folded.digest


@pytest.mark.parametrize(
    ('record', 'reason'),
    [
        (workspace_patch(7), RejectReason.STALE_BASE),
        (key_patch(0), RejectReason.INVALID),
        (
            operations.Patch('s', 0, (), schema=99),
            RejectReason.UNKNOWN_SCHEMA,
        ),
    ],
)
def test_bad_patch_changes_nothing(
    record: operations.Patch,
    reason: RejectReason,
) -> None:
    rejected = apply_record(Configuration(), record).failure()
    assert rejected.reason is reason
    assert rejected.current_version == 0


def test_of_two_concurrent_patches_the_first_on_the_log_wins() -> None:
    first = encode_record(workspace_patch(0, 'first'))
    second = encode_record(workspace_patch(0, 'second'))
    folded = fold_bodies(Configuration(), 0, [first, second])
    assert folded.version == 1
    assert folded.through_offset == 2


def test_already_folded_records_are_skipped() -> None:
    bodies = [encode_record(workspace_patch(0)), encode_record(key_patch(1))]
    once = fold_bodies(Configuration(), 0, bodies)
    assert fold_bodies(once, 0, bodies) == once


def test_withdrawal_applies_at_any_version_and_is_permanent() -> None:
    withdrawal = operations.KeyWithdrawal((KEY_HASH,))
    withdrawn = apply_record(configuration_with_key(), withdrawal).unwrap()
    assert withdrawn.version == configuration_with_key().version
    regranted = apply_record(withdrawn, key_patch(2)).unwrap()
    refused = authenticate(regranted, KEY_HASH).failure()
    assert refused.code is ErrorCode.KEY_WITHDRAWN


def test_snapshot_round_trip_and_merge_keeps_withdrawals() -> None:
    state = configuration_with_key()
    assert decode_snapshot(encode_snapshot(state)) == state
    withdrawal = operations.KeyWithdrawal((KEY_HASH,))
    stale = apply_record(Configuration(), withdrawal).unwrap()
    assert newer(state, stale).withdrawn == {KEY_HASH}
    assert newer(stale, state).version == state.version


@given(st.binary(max_size=200))
def test_fold_survives_any_bytes(body: bytes) -> None:
    outcome = apply_body(Configuration(), body)
    if not is_successful(outcome):
        assert isinstance(outcome.failure().reason, RejectReason)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=10),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(
                    ['op', 'kind', 'patch_id', 'base_version', 'x']
                ),
                inner,
                max_size=4,
            )
        ),
        max_leaves=12,
    )
)
def test_fold_survives_any_json(json_value: object) -> None:
    body = msgspec.json.encode(json_value)
    before = configuration_with_key()
    after = fold_bodies(before, before.through_offset, [body])
    assert after.version in {before.version, before.version + 1}


@given(st.binary(max_size=100))
def test_invalid_snapshot_raises_a_typed_error(encoded: bytes) -> None:
    with pytest.raises(SnapshotDecodeError):
        decode_snapshot(encoded)
