"""Failures of commands, and their exit codes."""

import enum
from dataclasses import dataclass

import msgspec
import typer


class CommandError(enum.Enum):
    """The kinds of failure of a command."""

    BAD_FILE = 'bad_file'
    PATCH_CONFLICT = 'patch_conflict'
    PATCH_INVALID = 'patch_invalid'
    LOG_UNAVAILABLE = 'log_unavailable'
    NOT_IN_FORCE = 'not_in_force'
    NOT_CONFIRMED = 'not_confirmed'
    NOT_FOUND = 'not_found'


EXIT_BY_ERROR = {
    CommandError.BAD_FILE: 2,
    CommandError.PATCH_CONFLICT: 3,
    CommandError.PATCH_INVALID: 4,
    CommandError.LOG_UNAVAILABLE: 5,
    CommandError.NOT_IN_FORCE: 6,
    CommandError.NOT_CONFIRMED: 7,
    CommandError.NOT_FOUND: 8,
}


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """Why a command failed."""

    error: CommandError
    message: str
    current_version: int | None = None


def exit_with(failure: CommandFailure) -> typer.Exit:
    """Print a failure as JSON and return the exception to raise."""
    described: dict[str, object] = {
        'type': failure.error.value,
        'message': failure.message,
    }
    if failure.current_version is not None:
        described['current_version'] = failure.current_version
    typer.echo(msgspec.json.encode({'error': described}).decode(), err=True)
    return typer.Exit(EXIT_BY_ERROR[failure.error])
