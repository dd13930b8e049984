"""Choice of targets: candidates, their ranking, breakers and retries."""

from datetime import timedelta
from random import Random

import pytest

from verbenamux_config.entities import Target, TargetKind
from verbenamux_contracts.clock import milliseconds
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import Heartbeat, ResidentModel
from verbenamux_routing.breaker import (
    Breaker,
    BreakerState,
    PredictiveBreaker,
)
from verbenamux_routing.choose import (
    MAX_SAMPLED_TARGETS,
    RoutingPolicy,
    make_chooser,
)
from verbenamux_routing.retry import RetryBudget
from verbenamux_routing.score import RequestNeeds, predict_first_token
from verbenamux_routing.views import ViewTable

NOW = timedelta(seconds=100)
NEED = RequestNeeds(model='m', prompt_tokens=64, output_tokens=16)


def heartbeat(name: str, **changes: object) -> Heartbeat:
    fields: dict[str, object] = {
        'target': name,
        'instance': InstanceId(f'{name}-1'),
        'version': 1,
        'resident': (ResidentModel('m', 'v1'),),
        'slots': 4,
        'decode_ms': 10,
        'prefill_tokens_per_second': 1000,
    }
    return Heartbeat(**(fields | changes))


def table_of(*names: str) -> ViewTable:
    table = ViewTable()
    table.replace_targets(
        Target(name, TargetKind.ENGINE, '127.0.0.1:1', 'here') for name in names
    )
    for name in names:
        table.apply_heartbeat(heartbeat(name), NOW)
    return table


def choose(table: ViewTable, excluded: frozenset[str] = frozenset()) -> str:
    chooser = make_chooser(RoutingPolicy.PREDICTED, 'here', Random(1))
    choice = chooser(table, NEED, excluded, NOW)
    return choice.view.target.name if choice else ''


@pytest.mark.parametrize('policy', list(RoutingPolicy))
def test_every_policy_excludes_unusable_targets(
    policy: RoutingPolicy,
) -> None:
    table = table_of('left', 'open', 'silent', 'down', 'other', 'good')
    table.apply_heartbeat(heartbeat('down', target_up=False), NOW)
    table.apply_heartbeat(heartbeat('left', leaving=True), NOW)
    table.by_name['open'].breaker = Breaker(BreakerState.OPEN, opened_at=NOW)
    table.by_name['silent'].is_alive = False
    table.apply_heartbeat(heartbeat('other', resident=()), NOW)
    chooser = make_chooser(policy, 'here', Random(1))
    for _ in range(10):
        choice = chooser(table, NEED, frozenset(), NOW)
        assert choice is not None
        assert choice.view.target.name == 'good'


def test_no_candidate_gives_no_choice() -> None:
    assert not choose(table_of('a'), frozenset({'a'}))


def test_busy_target_is_not_chosen() -> None:
    table = table_of('busy', 'free')
    table.apply_heartbeat(heartbeat('busy', queued_tokens=5000), NOW)
    assert choose(table) == 'free'


def test_tokens_sent_since_the_report_count_as_load() -> None:
    table = table_of('a', 'b')
    table.by_name['a'].load.sent_tokens = 5000
    assert choose(table) == 'b'


def test_cached_prefix_shortens_the_prediction() -> None:
    table = table_of('warm', 'cold')
    table.apply_heartbeat(heartbeat('warm', prefixes=(7, 8)), NOW)
    need = RequestNeeds(model='m', prompt_tokens=64, prefix_blocks=(7, 8))
    warm = predict_first_token(table.by_name['warm'], need, NOW, 'here')
    cold = predict_first_token(table.by_name['cold'], need, NOW, 'here')
    assert cold.prefill - warm.prefill == milliseconds(64)


def test_gap_in_cache_events_clears_known_prefixes() -> None:
    table = table_of('a')
    table.apply_heartbeat(heartbeat('a', prefixes=(1, 2)), NOW)
    table.apply_heartbeat(
        heartbeat('a', prefixes=(9,), prefixes_trusted=False), NOW
    )
    assert list(table.by_name['a'].prefixes) == [9]


def test_old_report_makes_a_target_look_busier() -> None:
    table = table_of('a')
    view = table.by_name['a']
    fresh = predict_first_token(view, NEED, NOW, 'here')
    later = NOW + timedelta(seconds=10)
    assert predict_first_token(view, NEED, later, 'here').total > fresh.total


def test_restarted_instance_is_not_treated_as_leaving() -> None:
    table = table_of('a')
    table.apply_heartbeat(heartbeat('a', leaving=True), NOW)
    assert not table.by_name['a'].is_usable
    table.apply_heartbeat(heartbeat('a', instance=InstanceId('a-2')), NOW)
    assert table.by_name['a'].is_usable


def test_only_a_sample_of_a_large_fleet_is_scored() -> None:
    table = table_of(*(f't{number}' for number in range(200)))
    chooser = make_chooser(RoutingPolicy.PREDICTED, 'here', Random(1))
    choice = chooser(table, NEED, frozenset(), NOW)
    assert choice is not None
    assert len(choice.scores) <= MAX_SAMPLED_TARGETS


def test_last_usable_target_is_found_outside_the_sample() -> None:
    table = table_of(*(f't{number}' for number in range(50)))
    for name, view in table.by_name.items():
        view.is_alive = name == 't49'
    assert choose(table) == 't49'


def test_breaker_sends_one_probe_when_half_open() -> None:
    breaker = Breaker()
    for _ in range(3):
        breaker.record_failure(NOW)
    assert not breaker.can_send(NOW)
    later = NOW + breaker.cooldown
    assert breaker.can_send(later)
    breaker.record_send()
    assert not breaker.can_send(later)
    breaker.record_success()
    assert breaker.can_send(later)


def test_failed_probe_doubles_the_cooldown() -> None:
    breaker = Breaker()
    for _ in range(3):
        breaker.record_failure(NOW)
    first = breaker.cooldown
    breaker.record_send()
    breaker.record_failure(NOW)
    assert breaker.cooldown == 2 * first


def observe_queues(breaker: Breaker, *waits_ms: int) -> None:
    for number, wait in enumerate(waits_ms):
        breaker.observe(milliseconds(wait), NOW + milliseconds(200 * number))


def test_predictive_breaker_opens_before_the_queue_is_too_long() -> None:
    breaker = PredictiveBreaker()
    observe_queues(breaker, *range(0, 500, 50))
    assert breaker.state is BreakerState.CLOSED
    observe_queues(breaker, *range(0, 1000, 100))
    assert breaker.state is BreakerState.OPEN


def test_plain_breaker_ignores_queues() -> None:
    breaker = Breaker()
    observe_queues(breaker, *range(0, 5000, 500))
    assert breaker.state is BreakerState.CLOSED


def test_retry_budget_runs_out_and_is_earned_back() -> None:
    budget = RetryBudget(balance=1)
    assert budget.spend()
    assert not budget.spend()
    for _ in range(5):
        budget.earn()
    assert budget.spend()


def test_adapter_request_needs_a_loaded_or_fitting_adapter() -> None:
    table = table_of('full', 'other')
    need = RequestNeeds(model='m', adapter='fr', adapter_mb=10)
    chooser = make_chooser(RoutingPolicy.PREDICTED, 'here', Random(1))
    table.apply_heartbeat(heartbeat('full', free_mb=9), NOW)
    table.apply_heartbeat(heartbeat('other', free_mb=9), NOW)
    assert chooser(table, need, frozenset(), NOW) is None
    for changes in (
        {'free_mb': 10},
        {'adapters': ('fr',)},
        {'adapters': ('another',)},
    ):
        table.apply_heartbeat(heartbeat('other', **changes), NOW)
        choice = chooser(table, need, frozenset(), NOW)
        assert choice.view.target.name == 'other'
        assert len(choice.scores) == 1
