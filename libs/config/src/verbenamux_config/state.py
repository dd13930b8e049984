"""The configuration at one version, with its snapshot codec."""

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

SNAPSHOT_SCHEMA = 1
AGENT_TABLES = (
    'models_by_name',
    'adapters_by_name',
    'targets_by_name',
    'services_by_name',
)


@dataclass(frozen=True, slots=True)
class Configuration:
    """What is in force at one version.

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
    """A configuration as it travels and rests."""

    schema: int
    configuration: Configuration


class SnapshotDecodeError(Exception):
    """Bytes that are no snapshot of a schema known here."""


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the configuration as JSON bytes, keys in a fixed order."""
    return msgspec.json.encode(
        Snapshot(SNAPSHOT_SCHEMA, configuration),
        order='deterministic',
    )


def decode_snapshot(encoded: bytes) -> Configuration:
    """Return the configuration in the bytes.

    Raises SnapshotDecodeError for broken bytes and unknown schemas.
    """
    try:
        snapshot = msgspec.json.decode(encoded, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotDecodeError(str(error)) from error
    if snapshot.schema != SNAPSHOT_SCHEMA:
        raise SnapshotDecodeError(f'unknown schema {snapshot.schema}')
    return snapshot.configuration


def newer(left: Configuration, right: Configuration) -> Configuration:
    """Return whichever has folded more of the log; ties keep the left.

    Withdrawn keys of both are kept, so a merge never revives a key.
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
    """Return what the agent of one target needs, and nothing else.

    Keys, workspaces and other targets stay out, so that an agent's memory
    does not grow with the fleet.
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


def concerns_agents(before: Configuration, after: Configuration) -> bool:
    """Tell whether a change touches anything that agents are sent.

    Tables that a patch leaves alone stay the same objects, so nothing is
    compared in depth.
    """
    return any(
        getattr(before, table) is not getattr(after, table)
        for table in AGENT_TABLES
    )
