"""The fold: the rule by which all readers of the log accept patches."""

import enum
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from verbenamux_config import operations as ops
from verbenamux_config.references import check_references
from verbenamux_config.state import Configuration
from verbenamux_contracts.decoding import DECODE_ERRORS


class RejectReason(enum.Enum):
    """Why a record was rejected."""

    STALE_BASE = 'stale_base'
    UNKNOWN_SCHEMA = 'unknown_schema'
    INVALID = 'invalid'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class PatchRejected:
    """A record that all readers alike reject, without any change."""

    reason: RejectReason
    message: str
    current_version: int


FoldResult: TypeAlias = Result[Configuration, PatchRejected]
Applier: TypeAlias = Callable[[Configuration, Any], Configuration]


def decode_record(body: bytes) -> ops.AnyRecord:
    """Decode a record from JSON bytes; raises msgspec's errors."""
    return msgspec.json.decode(body, type=ops.AnyRecord)


def encode_record(record: ops.Record) -> bytes:
    """Return a record as JSON bytes."""
    return msgspec.json.encode(record)


def apply_body(
    configuration: Configuration,
    body: bytes,
) -> FoldResult:
    """Fold one record's bytes into the configuration.

    A body that cannot be decoded is rejected like any invalid patch.
    """
    try:
        record = decode_record(body)
    except DECODE_ERRORS as error:
        return _reject(configuration, RejectReason.UNREADABLE, str(error))
    return apply_record(configuration, record)


def apply_record(
    configuration: Configuration,
    record: ops.AnyRecord,
) -> FoldResult:
    """Fold one record into the configuration.

    A withdrawal always applies and does not change the version. A patch
    applies if its base is the current version and the result is valid.
    """
    if isinstance(record, ops.KeyWithdrawal):
        return Success(withdraw(configuration, record.key_hashes))
    if record.schema != ops.SCHEMA:
        return _reject(
            configuration,
            RejectReason.UNKNOWN_SCHEMA,
            f'schema {record.schema}, expected {ops.SCHEMA}',
        )
    if record.base_version != configuration.version:
        return _reject(
            configuration,
            RejectReason.STALE_BASE,
            f'base {record.base_version}, current {configuration.version}',
        )
    return _apply_patch(configuration, record)


def fold_bodies(
    configuration: Configuration,
    first_offset: int,
    bodies: Iterable[bytes],
) -> Configuration:
    """Fold consecutive records that start at an offset.

    Records before `through_offset` were folded already and are skipped.
    """
    for offset, body in enumerate(bodies, first_offset):
        if offset < configuration.through_offset:
            continue
        outcome = apply_body(configuration, body)
        configuration = replace(
            outcome.value_or(configuration),
            through_offset=offset + 1,
        )
    return configuration


def withdraw(
    configuration: Configuration,
    key_hashes: Iterable[str],
) -> Configuration:
    """Return the configuration with these keys withdrawn permanently."""
    withdrawn = configuration.withdrawn | frozenset(key_hashes)
    if withdrawn == configuration.withdrawn:
        return configuration
    return replace(configuration, withdrawn=withdrawn)


def _apply_patch(
    configuration: Configuration,
    patch: ops.Patch,
) -> FoldResult:
    changed = configuration
    for operation in patch.operations:
        changed = APPLIER_BY_OPERATION[type(operation)](changed, operation)
    failure = check_references(changed)
    if failure is not None:
        return _reject(configuration, RejectReason.INVALID, failure.message)
    return Success(
        replace(
            changed,
            version=configuration.version + 1,
            digest=_chained_digest(configuration.digest, patch),
        ),
    )


def _chained_digest(digest: str, patch: ops.Patch) -> str:
    hashed = digest.encode() + encode_record(patch)
    return hashlib.sha256(hashed).hexdigest()


def _reject(
    configuration: Configuration,
    reason: RejectReason,
    message: str,
) -> FoldResult:
    return Failure(PatchRejected(reason, message, configuration.version))


def _put(table: str, entity: str, key: str) -> Applier:
    def apply(configuration: Configuration, operation: Any) -> Configuration:
        put = getattr(operation, entity)
        rows: Any = getattr(configuration, table) | {getattr(put, key): put}
        return replace(configuration, **{table: rows})

    return apply


def _remove(table: str) -> Applier:
    def apply(configuration: Configuration, operation: Any) -> Configuration:
        rows: Any = dict(getattr(configuration, table))
        rows.pop(operation.name, None)
        return replace(configuration, **{table: rows})

    return apply


def _remove_workspace(
    configuration: Configuration,
    operation: ops.RemoveWorkspace,
) -> Configuration:
    kept = {
        key_hash: key
        for key_hash, key in configuration.keys_by_hash.items()
        if key.workspace != operation.name
    }
    removed = _remove('workspaces_by_name')(configuration, operation)
    return replace(removed, keys_by_hash=kept)


def _open_route(
    configuration: Configuration,
    operation: ops.OpenRoute,
) -> Configuration:
    routes = configuration.public_routes | {operation.route}
    return replace(configuration, public_routes=routes)


def _close_route(
    configuration: Configuration,
    operation: ops.CloseRoute,
) -> Configuration:
    routes = configuration.public_routes - {operation.route}
    return replace(configuration, public_routes=routes)


APPLIER_BY_OPERATION: dict[type[ops.Operation], Applier] = {
    ops.PutWorkspace: _put('workspaces_by_name', 'workspace', 'name'),
    ops.RemoveWorkspace: _remove_workspace,
    ops.GrantKey: _put('keys_by_hash', 'key', 'key_hash'),
    ops.PutModel: _put('models_by_name', 'model', 'name'),
    ops.RemoveModel: _remove('models_by_name'),
    ops.PutAdapter: _put('adapters_by_name', 'adapter', 'name'),
    ops.RemoveAdapter: _remove('adapters_by_name'),
    ops.PutTarget: _put('targets_by_name', 'target', 'name'),
    ops.RemoveTarget: _remove('targets_by_name'),
    ops.PutService: _put('services_by_name', 'service', 'name'),
    ops.RemoveService: _remove('services_by_name'),
    ops.OpenRoute: _open_route,
    ops.CloseRoute: _close_route,
}
