"""Plots of experiments."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import median

from matplotlib.figure import Figure

from verbenamux_harness.experiment import Figures

BAR_WIDTH = 0.8
FIGURE_INCHES = (10.0, 4.0)


def plot_attainment(figures: Iterable[Figures], path: Path) -> None:
    """Draw the attainment of each case and policy with a point per seed."""
    grouped: defaultdict[str, list[float]] = defaultdict(list)
    for run_figures in figures:
        grouped[f'{run_figures.case}\n{run_figures.policy}'].append(
            run_figures.attainment
        )
    figure = Figure(FIGURE_INCHES)
    axes = figure.subplots()
    names = list(grouped)
    axes.bar(
        names,
        [median(grouped[name]) for name in names],
        BAR_WIDTH,
        color='lightsteelblue',
    )
    for name in names:
        seeds = [name for _ in grouped[name]]
        axes.plot(seeds, grouped[name], 'k.')
    axes.set_ylabel('attainment (median, points are seeds)')
    axes.tick_params(axis='x', labelrotation=90, labelsize='small')
    figure.savefig(path, bbox_inches='tight')
