"""Access control: keys, workspaces and public routes."""

import hashlib

from returns.result import Failure, Result, Success

from verbenamux_config.entities import PublicRoute, Workspace
from verbenamux_config.state import Configuration
from verbenamux_contracts.errors import ErrorCode, RequestFailure


def hash_key(key: str) -> str:
    """Return the SHA-256 of a caller's key in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    configuration: Configuration,
    key_hash: str,
) -> Result[Workspace, RequestFailure]:
    """Return the workspace of a key.

    A withdrawn key is refused even if a later patch grants it again.
    """
    if key_hash in configuration.withdrawn:
        return Failure(
            RequestFailure(ErrorCode.KEY_WITHDRAWN, 'this key was withdrawn'),
        )
    key = configuration.keys_by_hash.get(key_hash)
    if key is None:
        return Failure(
            RequestFailure(ErrorCode.UNKNOWN_KEY, 'this key is not known'),
        )
    return Success(configuration.workspaces_by_name[key.workspace])


def may_reach_model(
    configuration: Configuration,
    workspace: Workspace,
    name: str,
) -> bool:
    """Return whether a workspace may use the named model or adapter."""
    adapter = configuration.adapters_by_name.get(name)
    if adapter is None:
        return name in workspace.models
    return name in workspace.adapters


def is_public(configuration: Configuration, service: str, path: str) -> bool:
    """Return whether this exact path of a service needs no key."""
    if not path.startswith('/'):
        return False
    route = PublicRoute(service=service, path=path)
    return route in configuration.public_routes
