"""Consistency checks across the entities of a configuration."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass

from verbenamux_config.entities import TargetKind
from verbenamux_config.state import Configuration


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """A reference to an entity that is not declared."""

    message: str


def check_references(configuration: Configuration) -> CheckFailure | None:
    """Return the first failure in the configuration, or None."""
    return next(_failures(configuration), None)


def _failures(configuration: Configuration) -> Iterator[CheckFailure]:
    yield from _key_failures(configuration)
    yield from _workspace_failures(configuration)
    yield from _adapter_failures(configuration)
    yield from _target_failures(configuration)
    yield from _route_failures(configuration)


def _key_failures(configuration: Configuration) -> Iterator[CheckFailure]:
    for key in configuration.keys_by_hash.values():
        if key.workspace not in configuration.workspaces_by_name:
            yield CheckFailure(f'key of unknown workspace {key.workspace}')


def _workspace_failures(
    configuration: Configuration,
) -> Iterator[CheckFailure]:
    for workspace in configuration.workspaces_by_name.values():
        for kind, names, declared in (
            ('model', workspace.models, configuration.models_by_name),
            ('adapter', workspace.adapters, configuration.adapters_by_name),
            ('service', workspace.services, configuration.services_by_name),
        ):
            yield from _undeclared(workspace.name, kind, names, declared)


def _adapter_failures(
    configuration: Configuration,
) -> Iterator[CheckFailure]:
    for adapter in configuration.adapters_by_name.values():
        if adapter.model not in configuration.models_by_name:
            yield _unknown_reference(adapter.name, 'model', adapter.model)


def _target_failures(
    configuration: Configuration,
) -> Iterator[CheckFailure]:
    for target in configuration.targets_by_name.values():
        if target.kind is TargetKind.SERVICE:
            yield from _undeclared(
                target.name,
                'service',
                (target.service,),
                configuration.services_by_name,
            )
        yield from _undeclared(
            target.name,
            'model',
            target.models,
            configuration.models_by_name,
        )


def _route_failures(configuration: Configuration) -> Iterator[CheckFailure]:
    for route in configuration.public_routes:
        if route.service not in configuration.services_by_name:
            yield _unknown_reference(route.path, 'service', route.service)


def _undeclared(
    owner: str,
    kind: str,
    names: Iterable[str],
    declared: Container[str],
) -> Iterator[CheckFailure]:
    for name in names:
        if name not in declared:
            yield _unknown_reference(owner, kind, name)


def _unknown_reference(owner: str, kind: str, name: str) -> CheckFailure:
    return CheckFailure(f'{owner} names unknown {kind} {name}')
