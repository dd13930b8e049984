"""The command line of the harness."""

import itertools
import signal
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from verbenamux_harness import (
    capacity,
    experiment,
    microbench,
    process_slopes,
    soak,
)
from verbenamux_harness.demo import run_demo
from verbenamux_harness.fleet import running
from verbenamux_harness.proving import (
    describe_failure,
    prove,
    results_table,
    select_scenarios,
)
from verbenamux_harness.runner import run_scenario
from verbenamux_harness.shapes import SHAPE_BY_NAME

app = typer.Typer(
    help='Small fleets on loopback: demo, proofs, experiments.',
    no_args_is_help=True,
)
SCENARIOS = Path('scenarios')
CASES = Path('experiments/cases.json')
RESULTS = Path('build/experiment')


@app.command()
def demo() -> None:
    """Run the demo and print a table of what happened.

    Exits 1 when a promise that it can see was broken.
    """
    folder = Path(tempfile.mkdtemp(prefix='verbenamux-demo-'))
    result, lines = run_demo(folder)
    for line in lines:
        typer.echo(line)
    typer.echo(f'logs and history: {folder}')
    if not result.succeeded:
        raise typer.Exit(1)


@app.command()
def up(shape: str = 'nakhla') -> None:
    """Start a small fleet, print a curl line, and run until interrupted."""
    folder = Path(tempfile.mkdtemp(prefix='verbenamux-up-'))
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with running(SHAPE_BY_NAME[shape](), folder) as fleet:
        workspace = fleet.shape.workspaces[0]
        key = fleet.key_by_workspace[workspace.name]
        body = (
            f'{{"model": "{workspace.models[0]}", "stream": true, '
            '"messages": [{"role": "user", "content": "hello"}]}'
        )
        typer.echo(
            f'curl -N {fleet.url("gateway-0")}/v1/chat/completions '
            f"-H 'Authorization: Bearer {key}' "
            f"-H 'Content-Type: application/json' -d '{body}'",
        )
        typer.echo(f'logs: {folder}; stop with Ctrl-C')
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            typer.echo('stopping')


@app.command('prove')
def prove_command(
    names: Annotated[list[str] | None, typer.Argument()] = None,
    scenarios: Path = SCENARIOS,
) -> None:
    """Run scenarios with and without their mechanisms; print a table."""
    folder = Path(tempfile.mkdtemp(prefix='verbenamux-prove-'))
    rows = []
    for row in prove(select_scenarios(names or [], scenarios), folder):
        rows.append(row)
        typer.echo(f'{row.scenario} {row.mutant}: {row.summary}', err=True)
    for line in results_table(rows):
        typer.echo(line)
    if not all(row.passed for row in rows):
        raise typer.Exit(1)


@app.command('soak')
def soak_command(seed: int = 1, count: int = 1) -> None:
    """Run fleets with faults drawn from a seed, and the seeds after it."""
    folder = Path(tempfile.mkdtemp(prefix='verbenamux-soak-'))
    broken = False
    for run_seed in range(seed, seed + count):
        scenario = soak.draw_scenario(run_seed)
        for line in soak.describe_steps(scenario):
            typer.echo(line)
        result = run_scenario(scenario, folder / f'{run_seed}')
        typer.echo(f'seed {run_seed}: {dict(result.outcomes)}')
        for line in describe_failure(result):
            typer.echo(line)
        broken = broken or not result.succeeded
    if broken:
        raise typer.Exit(1)


@app.command('experiment')
def experiment_command(
    cases: Path = CASES,
    output: Path = RESULTS,
    only: str = '',
) -> None:
    """Run the experiments' cases; write JSON, a Markdown table and a plot."""
    from verbenamux_harness.plots import plot_attainment

    folder = Path(tempfile.mkdtemp(prefix='verbenamux-experiment-'))
    output.mkdir(parents=True, exist_ok=True)
    chosen = [
        case for case in experiment.read_cases(cases) if only in case.name
    ]
    figures = []
    for run_figures in experiment.run_cases(chosen, folder):
        figures.append(run_figures)
        typer.echo(
            f'{run_figures.case} {run_figures.policy} {run_figures.seed}',
            err=True,
        )
    (output / 'figures.json').write_bytes(
        msgspec.json.format(msgspec.json.encode(figures)),
    )
    lines = list(experiment.table(figures))
    (output / 'table.md').write_text('\n'.join(lines) + '\n')
    plot_attainment(figures, output / 'attainment.png')
    for line in lines:
        typer.echo(line)


@app.command('bench')
def bench_command(
    output: Path = Path('build/bench'),
    processes: bool = True,
) -> None:
    """Measure the slopes behind docs/CAPACITY.md, as JSON and a table."""
    folder = Path(tempfile.mkdtemp(prefix='verbenamux-bench-'))
    output.mkdir(parents=True, exist_ok=True)
    slopes: list[microbench.Slope] = []
    slope_sources = [microbench.all_slopes()]
    if processes:
        slope_sources.append(process_slopes.all_process_slopes(folder))
    typer.echo('| what | figure | unit |')
    typer.echo('| --- | --- | --- |')
    for slope in itertools.chain.from_iterable(slope_sources):
        slopes.append(slope)
        typer.echo(f'| {slope.name} | {slope.figure:.4g} | {slope.unit} |')
    (output / 'slopes.json').write_bytes(microbench.encode_slopes(slopes))


@app.command('capacity')
def capacity_command(
    slopes: Path = Path('build/bench/slopes.json'),
) -> None:
    """Print the table of docs/CAPACITY.md from measured slopes."""
    for line in capacity.markdown_table(capacity.Slopes(slopes)):
        typer.echo(line)


def main() -> None:
    """Run the console script."""
    app()
