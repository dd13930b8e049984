"""Choosing a target among those that can serve a request."""

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from verbenamux_routing.score import Need, Score, predict_first_token
from verbenamux_routing.views import TargetView, ViewTable

SAMPLE_MOST = 12
BEST_FEW = 3
PAIR = 2


class RoutingPolicy(enum.Enum):
    """How targets are chosen; all but the first are baselines."""

    PREDICTED = 'predicted'
    ROUND_ROBIN = 'round_robin'
    LEAST_OUTSTANDING = 'least_outstanding'


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target, why, and what it was compared with."""

    view: TargetView
    reason: str
    scores: tuple[Score, ...] = ()


Chooser = Callable[
    [ViewTable, Need, frozenset[str], timedelta],
    Choice | None,
]


def make_chooser(
    policy: RoutingPolicy,
    data_centre: str,
    random: Random,
) -> Chooser:
    """Return the function that chooses targets under a policy.

    It returns None when no usable target can serve the need.
    """
    if policy is RoutingPolicy.ROUND_ROBIN:
        return _round_robin()
    if policy is RoutingPolicy.LEAST_OUTSTANDING:
        return _least_outstanding()
    return _predicted(data_centre, random)


def candidates(
    table: ViewTable,
    need: Need,
    excluded: frozenset[str],
    now: timedelta,
) -> Iterator[TargetView]:
    """Yield every usable target that can serve the need."""
    return _usable(table, _names(table, need), need, excluded, now)


def _names(table: ViewTable, need: Need) -> list[str]:
    if need.service:
        return table.serving_service(need.service)
    return table.serving_model(need.model)


def _usable(
    table: ViewTable,
    names: Iterable[str],
    need: Need,
    excluded: frozenset[str],
    now: timedelta,
) -> Iterator[TargetView]:
    for name in names:
        view = table.by_name[name]
        if name in excluded or not _serves(view, need):
            continue
        if view.breaker.allows(now):
            yield view


def _serves(view: TargetView, need: Need) -> bool:
    if need.adapter and not view.takes_adapter(need.adapter_mb):
        return False
    return view.usable


def _predicted(data_centre: str, random: Random) -> Chooser:
    def choose(
        table: ViewTable,
        need: Need,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        names = _names(table, need)
        sampled: Sequence[str] = names
        if len(names) > SAMPLE_MOST:
            sampled = random.sample(names, SAMPLE_MOST)
        views = list(_usable(table, sampled, need, excluded, now))
        if not views and len(names) > SAMPLE_MOST:
            views = list(_usable(table, names, need, excluded, now))
        return _better_of_two(views, need, now)

    def _better_of_two(
        views: list[TargetView],
        need: Need,
        now: timedelta,
    ) -> Choice | None:
        if not views:
            return None
        scores = sorted(
            (
                predict_first_token(view, need, now, data_centre)
                for view in views
            ),
            key=_total,
        )
        few = scores[:BEST_FEW]
        pair = random.sample(few, min(PAIR, len(few)))
        best = min(pair, key=_total)
        view_by_name = {view.target.name: view for view in views}
        return Choice(
            view_by_name[best.target],
            'better of two sampled from the best few',
            tuple(scores),
        )

    return choose


def _round_robin() -> Chooser:
    turn = 0

    def choose(
        table: ViewTable,
        need: Need,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        nonlocal turn
        views = list(candidates(table, need, excluded, now))
        if not views:
            return None
        turn += 1
        return Choice(views[turn % len(views)], 'round robin')

    return choose


def _least_outstanding() -> Chooser:
    def choose(
        table: ViewTable,
        need: Need,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        views = candidates(table, need, excluded, now)
        least = min(views, key=_outstanding, default=None)
        if least is None:
            return None
        return Choice(least, 'least outstanding')

    return choose


def _total(score: Score) -> timedelta:
    return score.total


def _outstanding(view: TargetView) -> int:
    return view.load.outstanding
