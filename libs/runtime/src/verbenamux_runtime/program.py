"""Starting and stopping a daemon: settings, signals, exit codes."""

import signal
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import gevent
import typer
from gevent.event import Event
from returns.pipeline import is_successful

from verbenamux_runtime.logs import write_error
from verbenamux_runtime.settings import (
    Settings,
    SettingsFailure,
    read_settings,
    settings_schema,
)

EXIT_BAD_SETTINGS = 2
VERSION = '0.1.0'
TASK_PAUSE_SECONDS = 0.5

SettingsType = TypeVar('SettingsType', bound=Settings)


def load_or_exit(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Return checked settings, or print what is wrong and exit with 2."""
    checked = read_settings(path, settings_type)
    if not is_successful(checked):
        report_settings(checked.failure())
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return checked.unwrap()


def report_settings(failure: SettingsFailure) -> None:
    """Print the field's path and what was expected there."""
    typer.echo(f'settings: {failure.path}: {failure.message}', err=True)


def print_version(asked: bool) -> None:
    """Print the version and exit, when asked to."""
    if asked:
        typer.echo(VERSION)
        raise typer.Exit


def schema_printer(
    settings_type: type[Settings],
) -> Callable[[bool], None]:
    """Return an option callback that prints the settings' JSON schema."""

    def print_schema(asked: bool) -> None:
        if asked:
            typer.echo(settings_schema(settings_type).decode())
            raise typer.Exit

    return print_schema


def daemon_app(
    name: str,
    help_text: str,
    settings_type: type[SettingsType],
    serve: Callable[[SettingsType], None],
) -> typer.Typer:
    """Return the command line that every daemon has.

    It checks the settings file, and serves unless only a check, the schema
    or the version was asked for.
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


def stop_on_signal() -> Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    return stop


def every(
    interval: timedelta,
    step: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> gevent.Greenlet:
    """Run a step for ever with pauses; an error in one is reported."""
    return gevent.spawn(_repeat, interval, step, on_error)


def keep_running(task: Callable[[], object]) -> gevent.Greenlet:
    """Run a task that never ends, and start it again if an error ends it."""
    return gevent.spawn(_keep_running, task)


def _keep_running(task: Callable[[], object]) -> None:
    while True:
        try:
            task()
        except Exception as error:
            write_error(repr(task), error)
        gevent.sleep(TASK_PAUSE_SECONDS)


def _repeat(
    interval: timedelta,
    step: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> None:
    while True:
        try:
            step()
        except Exception as error:
            on_error(error)
        gevent.sleep(interval.total_seconds())
