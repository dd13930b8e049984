"""The operations of a patch, and the records of the log."""

from typing import TypeAlias

import msgspec

from verbenamux_config.entities import (
    Adapter,
    Count,
    Key,
    Model,
    Name,
    PublicRoute,
    Service,
    Sha256Hex,
    Target,
    Workspace,
)

SCHEMA = 1


class Operation(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='op',
):
    """Base of all operations."""


class PutWorkspace(Operation, frozen=True, tag='put_workspace'):
    """Create or replace a workspace."""

    workspace: Workspace


class RemoveWorkspace(Operation, frozen=True, tag='remove_workspace'):
    """Remove a workspace and its keys."""

    name: Name


class GrantKey(Operation, frozen=True, tag='grant_key'):
    """Grant a key access to a workspace."""

    key: Key


class PutModel(Operation, frozen=True, tag='put_model'):
    """Create or replace a model."""

    model: Model


class RemoveModel(Operation, frozen=True, tag='remove_model'):
    """Remove a model that no workspace or adapter names."""

    name: Name


class PutAdapter(Operation, frozen=True, tag='put_adapter'):
    """Create or replace an adapter."""

    adapter: Adapter


class RemoveAdapter(Operation, frozen=True, tag='remove_adapter'):
    """Remove an adapter that no workspace names."""

    name: Name


class PutTarget(Operation, frozen=True, tag='put_target'):
    """Create or replace a target."""

    target: Target


class RemoveTarget(Operation, frozen=True, tag='remove_target'):
    """Remove a target."""

    name: Name


class PutService(Operation, frozen=True, tag='put_service'):
    """Create or replace a plain service."""

    service: Service


class RemoveService(Operation, frozen=True, tag='remove_service'):
    """Remove a plain service that no workspace names."""

    name: Name


class OpenRoute(Operation, frozen=True, tag='open_route'):
    """Make a route of a service public."""

    route: PublicRoute


class CloseRoute(Operation, frozen=True, tag='close_route'):
    """Make a public route require a key again."""

    route: PublicRoute


AnyOperation: TypeAlias = (
    PutWorkspace
    | RemoveWorkspace
    | GrantKey
    | PutModel
    | RemoveModel
    | PutAdapter
    | RemoveAdapter
    | PutTarget
    | RemoveTarget
    | PutService
    | RemoveService
    | OpenRoute
    | CloseRoute
)


class Record(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Base of the records on the configuration stream."""


class Patch(Record, frozen=True, tag='patch'):
    """Operations that apply atomically."""

    patch_id: Name
    base_version: Count
    operations: tuple[AnyOperation, ...]
    schema: int = SCHEMA


class KeyWithdrawal(Record, frozen=True, tag='withdrawal'):
    """A tombstone for keys; it applies whatever the version is."""

    key_hashes: tuple[Sha256Hex, ...]


AnyRecord: TypeAlias = Patch | KeyWithdrawal
