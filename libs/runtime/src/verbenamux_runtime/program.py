"""The command line of a daemon: settings, version, exit codes."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer
from returns.pipeline import is_successful

from verbenamux_runtime.settings import (
    EXIT_BAD_SETTINGS,
    Settings,
    read_settings,
    report_settings,
    settings_schema,
)

VERSION = '0.1.0'

SettingsType = TypeVar('SettingsType', bound=Settings)


def load_or_exit(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Return valid settings, or print the error and exit with 2."""
    checked = read_settings(path, settings_type)
    if not is_successful(checked):
        report_settings(checked.failure())
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return checked.unwrap()


def print_version(requested: bool) -> None:
    """Print the version and exit, if requested."""
    if requested:
        typer.echo(VERSION)
        raise typer.Exit


def schema_printer(
    settings_type: type[Settings],
) -> Callable[[bool], None]:
    """Return an option callback that prints the settings' JSON schema."""

    def print_schema(requested: bool) -> None:
        if requested:
            typer.echo(settings_schema(settings_type).decode())
            raise typer.Exit

    return print_schema


def daemon_app(
    name: str,
    help_text: str,
    settings_type: type[SettingsType],
    serve: Callable[[SettingsType], None],
) -> typer.Typer:
    """Return the command line that all daemons share.

    It checks the settings file, and serves unless only a check, the schema
    or the version was requested.
    """
    app = typer.Typer()
    schema_option = typer.Option(
        '--schema',
        callback=schema_printer(settings_type),
        is_eager=True,
        help='Print the JSON schema of the settings and exit',
    )

    @app.command(
        help=f'{help_text}\n\nExample: {name} --settings settings.json',
    )
    def run(
        settings: Annotated[Path, typer.Option(help='JSON settings file')],
        check_settings: Annotated[
            bool,
            typer.Option('--check-settings', help='Check the file and exit'),
        ] = False,
        schema: Annotated[bool, schema_option] = False,
        version: Annotated[
            bool,
            typer.Option('--version', callback=print_version, is_eager=True),
        ] = False,
    ) -> None:
        """Check the settings and run until SIGTERM."""
        checked = load_or_exit(settings, settings_type)
        if check_settings:
            typer.echo('settings are valid')
            return
        serve(checked)

    return app
