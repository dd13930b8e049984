"""The entities that an operator declares, validated by msgspec."""

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r'^[A-Za-z0-9][\w.:-]{0,127}$')]
Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'),
]
RoutePath = Annotated[str, msgspec.Meta(pattern=r'^/[\w./-]*$')]


class Entity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all declared entities; unknown fields are errors."""


class TargetKind(enum.Enum):
    """The kind of server that an agent manages."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Workspace(Entity, frozen=True):
    """One customer's workspace.

    The rate is in tokens per second and the burst in tokens, both across
    the fleet. Only the named models, adapters and services are accessible.
    """

    name: Name
    rate_tokens_per_second: Positive
    burst_tokens: Positive
    models: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()


class Key(Entity, frozen=True):
    """A caller's key, stored only as its SHA-256."""

    key_hash: Sha256Hex
    workspace: Name
    label: str = ''


class Model(Entity, frozen=True):
    """A model, its current version and its memory per copy in MB."""

    name: Name
    version: Name
    memory_mb: Positive
    copies_least: Positive = 1


class Adapter(Entity, frozen=True):
    """An adapter of one model and its memory in MB."""

    name: Name
    model: Name
    memory_mb: Count = 0


class Target(Entity, frozen=True):
    """A target, its agent and its capabilities.

    If `models` is not empty, the target holds only those models.
    """

    name: Name
    kind: TargetKind
    agent: Address
    data_centre: Name
    service: str = ''
    memory_mb: Count = 0
    models: tuple[Name, ...] = ()
    checks_orders: bool = False
    hands_over: bool = False


class Service(Entity, frozen=True):
    """A plain service; `idempotent` states whether calls may be retried."""

    name: Name
    tokens_per_call: Positive = 1
    idempotent: bool = True


class PublicRoute(Entity, frozen=True):
    """A path of a service that needs no key."""

    service: Name
    path: RoutePath
