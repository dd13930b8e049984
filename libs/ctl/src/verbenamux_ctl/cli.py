"""The operator's command line."""

import secrets
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.pipeline import is_successful

from verbenamux_config.access import hash_key
from verbenamux_config.configuration_log import (
    CONFIGURATION_STREAM,
    read_configuration,
)
from verbenamux_config.entities import Key
from verbenamux_config.fold import encode_record
from verbenamux_config.operations import (
    AnyOperation,
    GrantKey,
    KeyWithdrawal,
)
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.log import Log
from verbenamux_ctl import explaining, gateways, patching, verdicts
from verbenamux_ctl.failures import CommandError, CommandFailure, exit_with
from verbenamux_platform.store import open_store
from verbenamux_runtime.program import print_version

KEY_BYTES = 24
IN_FORCE_TIMEOUT_SECONDS = 10.0

app = typer.Typer(
    help='Operate verbenamux: patches, keys, drains and explanations.',
    no_args_is_help=True,
)
keys = typer.Typer(help='Grant and withdraw keys.', no_args_is_help=True)
app.add_typer(keys, name='keys')
quarantine = typer.Typer(
    help='Prompt parts that crash targets.', no_args_is_help=True
)
app.add_typer(quarantine, name='quarantine')

LogAddress = Annotated[
    str,
    typer.Option('--log', envvar='VERBENAMUX_LOG', help='ip:port of the log'),
]
Gateways = Annotated[
    list[str] | None,
    typer.Option('--gateway', help='ip:port of a gateway; may be repeated'),
]


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option('--version', callback=print_version, is_eager=True),
    ] = False,
) -> None:
    """Operate verbenamux: patches, keys, drains and explanations."""


@app.command()
def validate(file: Path) -> None:
    """Check a patch file without sending it.

    Example: verbenamuxctl validate patch.json
    """
    _read_operations(file)
    typer.echo('the patch is well formed')


@app.command()
def patch(
    file: Path,
    base: Annotated[int, typer.Option(help='version the patch is made for')],
    log: LogAddress,
) -> None:
    """Apply a patch to the configuration with that version.

    Example: verbenamuxctl patch --log 10.0.0.5:7000 --base 12 patch.json
    """
    _submit(log, base, _read_operations(file))


@app.command()
def show(log: LogAddress) -> None:
    """Print the configuration in force, as JSON."""
    typer.echo(
        msgspec.json.format(
            msgspec.json.encode(
                _read_configuration(log), order='deterministic'
            ),
        ).decode(),
    )


@app.command()
def schema() -> None:
    """Print the JSON schema of a patch file."""
    described = msgspec.json.schema(tuple[AnyOperation, ...])
    typer.echo(msgspec.json.format(msgspec.json.encode(described)).decode())


@app.command()
def status(gateway: Gateways = None) -> None:
    """Print the status of each gateway, one line each."""
    for address in gateway or []:
        gateway_status = gateways.read_status(address)
        line = {'gateway': address, 'status': gateway_status}
        typer.echo(msgspec.json.encode(line).decode())


@app.command()
def wait(
    version: int,
    gateway: Gateways = None,
    seconds: float = IN_FORCE_TIMEOUT_SECONDS,
) -> None:
    """Wait until a version is in force at gateways.

    Example: verbenamuxctl wait 13 --gateway 10.0.0.1:8080
    """
    pending = gateways.wait_in_force(
        gateway or [],
        version,
        SystemClock(),
        timedelta(seconds=seconds),
    )
    if pending:
        raise exit_with(
            CommandFailure(
                CommandError.NOT_IN_FORCE,
                f'version {version} is not in force at {", ".join(pending)}',
            ),
        )
    typer.echo(f'version {version} is in force')


@app.command()
def drain(target: str, agent: str) -> None:
    """Make the agent of a target, at ip:port, refuse new work."""
    if not gateways.drain_agent(agent, target):
        raise exit_with(
            CommandFailure(
                CommandError.NOT_CONFIRMED,
                f'the agent at {agent} was not reached',
            ),
        )
    typer.echo(f'{target} is draining')


@app.command()
def explain(
    request_id: str,
    files: list[Path],
    as_json: Annotated[
        bool,
        typer.Option('--json', help='Print the lines themselves, in order'),
    ] = False,
) -> None:
    """Explain the outcome of a request from log files of several processes.

    Example: verbenamuxctl explain req-0123 gateway-0.log gateway-1.log
    """
    lines = explaining.join_lines(files, request_id)
    output = explaining.as_json(lines) if as_json else explaining.explain(lines)
    sentences = list(output)
    if not sentences:
        names = ', '.join(map(str, files))
        raise exit_with(
            CommandFailure(
                CommandError.NOT_FOUND,
                f'{names}: nothing is told of {request_id}',
            ),
        )
    for sentence in sentences:
        typer.echo(sentence)


@keys.command()
def grant(
    workspace: str,
    base: Annotated[int, typer.Option(help='version the patch is made for')],
    log: LogAddress,
    label: str = '',
) -> None:
    """Create a key for a workspace and print it; it is shown only once."""
    key = f'vk-{secrets.token_urlsafe(KEY_BYTES)}'
    operation = GrantKey(Key(hash_key(key), workspace, label))
    _submit(log, base, (operation,))
    typer.echo(key)


@keys.command()
def withdraw(
    key_hash: Annotated[list[str], typer.Argument(help='SHA-256 in hex')],
    log: LogAddress,
    peer: Annotated[
        list[str] | None,
        typer.Option('--peer', help='peer address of a gateway'),
    ] = None,
) -> None:
    """Withdraw keys permanently, at gateways directly and through the log.

    Succeeds when the log has the withdrawal, or every named gateway has
    confirmed it.
    """
    withdrawal = KeyWithdrawal(tuple(key_hash))
    unconfirmed = gateways.withdraw_directly(peer or [], tuple(key_hash))
    appended = _open_log(log).append(
        CONFIGURATION_STREAM,
        encode_record(withdrawal),
    )
    logged = is_successful(appended)
    for address in unconfirmed:
        typer.echo(f'not confirmed by {address}', err=True)
    if not logged and (unconfirmed or not peer):
        raise exit_with(
            CommandFailure(
                CommandError.NOT_CONFIRMED,
                'neither the log nor every gateway took the withdrawal',
            ),
        )
    typer.echo('withdrawn')


@quarantine.command('list')
def list_convictions(log: LogAddress) -> None:
    """Print the prompt parts that are refused, one line each.

    Example: verbenamuxctl quarantine list --log 10.0.0.5:7000
    """
    outcome = verdicts.read_convictions(open_store(log, SystemClock().elapsed))
    if not is_successful(outcome):
        raise exit_with(outcome.failure())
    for parts, verdict in outcome.unwrap().items():
        line = {
            'parts': parts,
            'probes': verdict.probes,
            'workspaces': verdict.workspaces,
        }
        typer.echo(msgspec.json.encode(line).decode())


@quarantine.command('release')
def release_parts(
    parts: Annotated[str, typer.Argument(help='as `list` prints them')],
    log: LogAddress,
) -> None:
    """Let requests with prompt parts reach targets again.

    Example: verbenamuxctl quarantine release 48720f3588ea --log 10.0.0.5:7000
    """
    outcome = verdicts.release(open_store(log, SystemClock().elapsed), parts)
    if not is_successful(outcome):
        raise exit_with(outcome.failure())
    typer.echo('released')


def main() -> None:
    """Run the console script."""
    app()


def _read_operations(file: Path) -> tuple[AnyOperation, ...]:
    operations = patching.read_operations(file)
    if not is_successful(operations):
        raise exit_with(operations.failure())
    return operations.unwrap()


def _submit(
    log: str,
    base: int,
    operations: tuple[AnyOperation, ...],
) -> None:
    outcome = patching.submit(
        _open_log(log),
        patching.new_patch(base, operations),
        SystemClock(),
    )
    if not is_successful(outcome):
        raise exit_with(outcome.failure())
    typer.echo(f'version {outcome.unwrap().version}', err=True)


def _read_configuration(log: str) -> Configuration:
    configuration = read_configuration(_open_log(log))
    if not is_successful(configuration):
        raise exit_with(
            CommandFailure(
                CommandError.LOG_UNAVAILABLE,
                configuration.failure().message,
            ),
        )
    return configuration.unwrap()


def _open_log(log: str) -> Log:
    return open_store(log, SystemClock().elapsed)
