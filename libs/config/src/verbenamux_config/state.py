"""The configuration at one version and its snapshot encoding."""

from dataclasses import dataclass, field, replace

import msgspec

from verbenamux_config.entities import (
    Adapter,
    Key,
    Model,
    PublicRoute,
    Service,
    Target,
    Workspace,
)
from verbenamux_contracts.decoding import DECODE_ERRORS

SNAPSHOT_SCHEMA = 1
AGENT_TABLES = (
    'models_by_name',
    'adapters_by_name',
    'targets_by_name',
    'services_by_name',
)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force at one version.

    `through_offset` is the log offset after the last record folded in.
    The digest chains all accepted patches, so equal digests mean equal
    histories. Withdrawn key hashes only ever grow.
    """

    version: int = 0
    through_offset: int = 0
    digest: str = ''
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    keys_by_hash: dict[str, Key] = field(default_factory=dict)
    models_by_name: dict[str, Model] = field(default_factory=dict)
    adapters_by_name: dict[str, Adapter] = field(default_factory=dict)
    targets_by_name: dict[str, Target] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    public_routes: frozenset[PublicRoute] = frozenset()
    withdrawn: frozenset[str] = frozenset()


class Snapshot(msgspec.Struct, frozen=True):
    """A configuration as it is sent and stored."""

    schema: int
    configuration: Configuration


class SnapshotDecodeError(Exception):
    """The bytes are not a snapshot of a supported schema."""


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the configuration as JSON bytes, keys in a fixed order."""
    return msgspec.json.encode(
        Snapshot(SNAPSHOT_SCHEMA, configuration),
        order='deterministic',
    )


def decode_snapshot(encoded: bytes) -> Configuration:
    """Return the configuration in the bytes.

    Raises SnapshotDecodeError for invalid bytes and unknown schemas.
    """
    try:
        snapshot = msgspec.json.decode(encoded, type=Snapshot)
    except DECODE_ERRORS as error:
        raise SnapshotDecodeError(str(error)) from error
    if snapshot.schema != SNAPSHOT_SCHEMA:
        raise SnapshotDecodeError(f'unknown schema {snapshot.schema}')
    return snapshot.configuration


def newer(left: Configuration, right: Configuration) -> Configuration:
    """Return whichever has folded more of the log, on a tie the left.

    It keeps the withdrawn keys of both, so a merge never restores a key.
    """
    chosen = right if right.through_offset > left.through_offset else left
    withdrawn = left.withdrawn | right.withdrawn
    if withdrawn == chosen.withdrawn:
        return chosen
    return replace(chosen, withdrawn=withdrawn)


def view_for_target(
    configuration: Configuration,
    name: str,
) -> Configuration:
    """Return the part of the configuration that one target's agent needs.

    Keys, workspaces and other targets are left out, so that an agent's
    memory does not grow with the fleet.
    """
    targets = {
        target.name: target
        for target in (configuration.targets_by_name.get(name),)
        if target is not None
    }
    return replace(
        configuration,
        targets_by_name=targets,
        workspaces_by_name={},
        keys_by_hash={},
        public_routes=frozenset(),
        withdrawn=frozenset(),
    )


def affects_agents(before: Configuration, after: Configuration) -> bool:
    """Return whether a change affects the tables that agents receive.

    Tables that a patch does not change stay the same objects, so they are
    compared by identity.
    """
    return any(
        getattr(before, table) is not getattr(after, table)
        for table in AGENT_TABLES
    )
