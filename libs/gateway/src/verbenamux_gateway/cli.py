"""The command line of the gateway."""

from pathlib import Path
from typing import Annotated

import typer
from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.ids import new_instance_id
from verbenamux_runtime.logs import DecisionLog, configure_logs
from verbenamux_runtime.program import (
    load_or_exit,
    print_version,
    schema_printer,
)

from verbenamux_gateway.build import build_gateway
from verbenamux_gateway.running import run_gateway
from verbenamux_gateway.settings import GatewaySettings

app = typer.Typer(help='The entry point: answers callers over HTTP.')


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help='JSON settings file')],
    check_settings: Annotated[
        bool,
        typer.Option('--check-settings', help='Check the file and exit'),
    ] = False,
    schema: Annotated[
        bool,
        typer.Option(
            '--schema',
            callback=schema_printer(GatewaySettings),
            is_eager=True,
            help='Print the JSON schema of the settings and exit',
        ),
    ] = False,
    version: Annotated[
        bool,
        typer.Option('--version', callback=print_version, is_eager=True),
    ] = False,
) -> None:
    """Run the gateway until SIGTERM.

    Example: verbenamux-gateway --settings gateway.json
    """
    checked = load_or_exit(settings, GatewaySettings)
    if check_settings:
        typer.echo('settings are valid')
        return
    configure_logs()
    clock = SystemClock()
    instance = new_instance_id(checked.name)
    log = DecisionLog('gateway', instance, clock)
    run_gateway(build_gateway(checked, instance, clock, log))


def main() -> None:
    """Run the console script."""
    app()
