"""Demand reports: paced, kept until the next, forgotten in the end."""

from datetime import timedelta

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.messages import DemandReport
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.peering import PeerTable
from verbenamux_gateway.planning import PlannerDuty
from verbenamux_gateway.settings import PlanningSettings

INTERVAL = timedelta(seconds=2)


@pytest.fixture
def duty(clock: ManualClock) -> PlannerDuty:
    fleet = Fleet('g-1', clock, lambda *_: None)
    peers = PeerTable('g', 'g-1', clock, lambda *_: None)
    return PlannerDuty(
        'g',
        PlanningSettings(),
        clock,
        fleet,
        peers,
        lambda *_, **__: None,
    )


def test_report_holds_until_the_next_one(
    duty: PlannerDuty,
    clock: ManualClock,
) -> None:
    duty.take_report(DemandReport('other', {'m': 50.0}))
    for _ in range(2):
        clock.advance(INTERVAL)
        duty.note('m', 20)
        assert duty._rates(INTERVAL) == {'m': 60.0}


def test_silent_gateway_is_forgotten(
    duty: PlannerDuty,
    clock: ManualClock,
) -> None:
    duty.take_report(DemandReport('other', {'m': 50.0}))
    clock.advance(timedelta(minutes=1))
    assert not duty._rates(INTERVAL)


def test_period_grows_with_gateways_and_models(duty: PlannerDuty) -> None:
    assert duty.report_period() == INTERVAL
    duty.peers.by_name = {f'g{number}': None for number in range(29)}
    for number in range(660):
        duty.note(f'm{number}', 1)
    assert duty.report_period() > timedelta(minutes=4)
