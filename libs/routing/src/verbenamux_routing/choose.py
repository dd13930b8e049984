"""Choice of a target among those that can serve a request."""

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from verbenamux_routing.score import RequestNeeds, Score, predict_first_token
from verbenamux_routing.views import TargetView, ViewTable

MAX_SAMPLED_TARGETS = 12
MAX_BEST_SCORES = 3
CHOICES_COMPARED = 2


class RoutingPolicy(enum.Enum):
    """How targets are chosen; all but the first are baselines."""

    PREDICTED = 'predicted'
    ROUND_ROBIN = 'round_robin'
    LEAST_OUTSTANDING = 'least_outstanding'


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target, the reason, and the scores compared."""

    view: TargetView
    reason: str
    scores: tuple[Score, ...] = ()


Chooser = Callable[
    [ViewTable, RequestNeeds, frozenset[str], timedelta],
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
        return _make_round_robin_chooser()
    if policy is RoutingPolicy.LEAST_OUTSTANDING:
        return _make_least_outstanding_chooser()
    return _make_predicted_chooser(data_centre, random)


def candidates(
    table: ViewTable,
    need: RequestNeeds,
    excluded: frozenset[str],
    now: timedelta,
) -> Iterator[TargetView]:
    """Yield every usable target that can serve the need."""
    return _usable_targets(
        table, _target_names(table, need), need, excluded, now
    )


def _target_names(table: ViewTable, need: RequestNeeds) -> list[str]:
    if need.service:
        return table.serving_service(need.service)
    return table.serving_model(need.model)


def _usable_targets(
    table: ViewTable,
    names: Iterable[str],
    need: RequestNeeds,
    excluded: frozenset[str],
    now: timedelta,
) -> Iterator[TargetView]:
    for name in names:
        view = table.by_name[name]
        if name in excluded or not _can_serve(view, need):
            continue
        if view.breaker.can_send(now):
            yield view


def _can_serve(view: TargetView, need: RequestNeeds) -> bool:
    if need.adapter and not view.can_take_adapter(need.adapter_mb):
        return False
    return view.is_usable


def _make_predicted_chooser(data_centre: str, random: Random) -> Chooser:
    def choose(
        table: ViewTable,
        need: RequestNeeds,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        names = _target_names(table, need)
        sampled: Sequence[str] = names
        if len(names) > MAX_SAMPLED_TARGETS:
            sampled = random.sample(names, MAX_SAMPLED_TARGETS)
        views = list(_usable_targets(table, sampled, need, excluded, now))
        if not views and len(names) > MAX_SAMPLED_TARGETS:
            views = list(_usable_targets(table, names, need, excluded, now))
        return _better_of_two(views, need, now)

    def _better_of_two(
        views: list[TargetView],
        need: RequestNeeds,
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
        best_scores = scores[:MAX_BEST_SCORES]
        compared = random.sample(
            best_scores, min(CHOICES_COMPARED, len(best_scores))
        )
        best = min(compared, key=_total)
        view_by_name = {view.target.name: view for view in views}
        return Choice(
            view_by_name[best.target],
            'better of two sampled from the best few',
            tuple(scores),
        )

    return choose


def _make_round_robin_chooser() -> Chooser:
    choice_count = 0

    def choose(
        table: ViewTable,
        need: RequestNeeds,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        nonlocal choice_count
        views = list(candidates(table, need, excluded, now))
        if not views:
            return None
        choice_count += 1
        return Choice(views[choice_count % len(views)], 'round robin')

    return choose


def _make_least_outstanding_chooser() -> Chooser:
    def choose(
        table: ViewTable,
        need: RequestNeeds,
        excluded: frozenset[str],
        now: timedelta,
    ) -> Choice | None:
        views = candidates(table, need, excluded, now)
        least_loaded = min(views, key=_outstanding, default=None)
        if least_loaded is None:
            return None
        return Choice(least_loaded, 'least outstanding')

    return choose


def _total(score: Score) -> timedelta:
    return score.total


def _outstanding(view: TargetView) -> int:
    return view.load.outstanding
