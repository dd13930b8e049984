"""Workspace limits over several gateways that report their spending."""

from datetime import timedelta

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import Workspace

WORKSPACE = Workspace(
    'theatre',
    frozenset(('key',)),
    per_second=1000,
    burst=2000,
    counts_tokens=True,
)
BY_NAME = {WORKSPACE.name: WORKSPACE}


def report(sender, receiver, name, is_leaving=False):
    receiver.handle_notice(
        name,
        dict(sender.spent_by_workspace),
        sender.levels(),
        BY_NAME,
        is_leaving,
        sender.age(),
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pair(clock):
    allowances = Allowance(clock.elapsed), Allowance(clock.elapsed)
    clock.advance(timedelta(seconds=10))
    report(allowances[0], allowances[1], 'first')
    report(allowances[1], allowances[0], 'second')
    return allowances


def spend_all(allowance, cost=100, max_takes=1000):
    spent = 0
    while spent < max_takes * cost and allowance.take(WORKSPACE, cost) is None:
        spent += cost
    return spent


def test_spending_at_one_gateway_reduces_the_level_at_the_other(pair):
    first, second = pair
    assert spend_all(first) == 2000
    report(first, second, 'first')
    assert second.take(WORKSPACE, 100) is not None


def test_refusal_returns_the_time_until_the_cost_is_covered(pair, clock):
    first, _ = pair
    spend_all(first)
    wait = first.take(WORKSPACE, 500)
    assert wait == timedelta(seconds=0.5)
    clock.advance(wait)
    report(pair[1], first, 'second')
    assert first.take(WORKSPACE, 500) is None


def test_repeated_notices_of_a_leaving_gateway_are_charged_once(pair):
    first, second = pair
    assert first.take(WORKSPACE, 500) is None
    for _ in range(20):
        report(first, second, 'first', is_leaving=True)
    assert second.take(WORKSPACE, 1500) is None


def test_a_new_gateway_adopts_the_levels_of_its_peers(pair, clock):
    first, _ = pair
    spend_all(first)
    newcomer = Allowance(clock.elapsed)
    report(first, newcomer, 'first')
    assert newcomer.take(WORKSPACE, 100) is not None


def test_a_new_gateway_is_not_charged_for_past_spending(pair, clock):
    first, second = pair
    spend_all(first)
    report(first, second, 'first')
    for _ in range(4):
        clock.advance(timedelta(milliseconds=500))
        report(second, first, 'second')
        report(first, second, 'first')
    newcomer = Allowance(clock.elapsed)
    report(first, newcomer, 'first')
    assert newcomer.take(WORKSPACE, 1900) is None


def test_a_late_first_notice_does_not_charge_past_spending(pair, clock):
    """At 68 gateways the first notice may come after more than two seconds."""
    first, second = pair
    for _ in range(6):
        spend_all(first)
        report(first, second, 'first')
        clock.advance(timedelta(seconds=2))
    report(second, first, 'second')
    newcomer = Allowance(clock.elapsed)
    clock.advance(timedelta(seconds=3))
    report(first, newcomer, 'first')
    assert newcomer.take(WORKSPACE, 1900) is None


def test_all_spending_of_a_younger_gateway_is_charged(pair, clock):
    first, _ = pair
    newcomer = Allowance(clock.elapsed)
    clock.advance(timedelta(seconds=1))
    assert newcomer.take(WORKSPACE, 1900) is None
    report(newcomer, first, 'newcomer')
    assert first.take(WORKSPACE, 200) is not None


def test_two_sides_of_a_partition_stay_within_one_rate(pair, clock):
    """One workspace spends all it can while neither gateway gets notices."""
    first, second = pair
    spend_all(first)
    report(first, second, 'first')
    clock.advance(timedelta(seconds=1))
    spend_all(first)
    spend_all(second)
    spent = 0
    for _ in range(40):
        clock.advance(timedelta(milliseconds=200))
        spent += spend_all(first) + spend_all(second)
    assert spent <= WORKSPACE.per_second * 8


def test_refund_restores_the_level(pair):
    first, _ = pair
    assert first.take(WORKSPACE, 2000) is None
    first.refund(WORKSPACE, 2000)
    assert first.take(WORKSPACE, 2000) is None
