"""The command line of the load tool."""

from pathlib import Path
from typing import Annotated

import typer

from verbenamux_load.plan import LoadPlan
from verbenamux_load.running import LoadRun
from verbenamux_load.summary import summarize, table
from verbenamux_runtime.program import load_or_exit, print_version

app = typer.Typer(
    help='Open-loop load, and histories that can be checked.',
    no_args_is_help=True,
)


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option('--version', callback=print_version, is_eager=True),
    ] = False,
) -> None:
    """Open-loop load, and histories that can be checked."""


@app.command()
def run(
    plan: Path,
    history: Annotated[Path, typer.Option(help='where to write the history')],
    began: Annotated[
        Path | None,
        typer.Option(help="file for the monotonic clock's seconds at time 0"),
    ] = None,
) -> None:
    """Send the load of a plan, write its history, print a summary.

    Example: verbenamux-load run plan.json --history history.jsonl
    """
    load_plan = load_or_exit(plan, LoadPlan)
    load = LoadRun(load_plan)
    if began is not None:
        _write_atomically(began, f'{load.started}')
    load.run()
    load.history.write(history)
    for line in table(summarize(load.history.lines)):
        typer.echo(line)


def _write_atomically(path: Path, text: str) -> None:
    """Write a file atomically, so that readers never see a part of it."""
    temporary = path.with_name(f'{path.name}.draft')
    temporary.write_text(text)
    temporary.replace(path)


def main() -> None:
    """Run the console script."""
    app()
