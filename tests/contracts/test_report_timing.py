"""Timeouts against the intervals of the reports that they judge."""

from datetime import timedelta

import pytest

from verbenamux_contracts.report_timing import (
    count_interval,
    engine_read_interval,
    idle_interval,
    max_load_age,
    silence_timeout,
    usage_interval,
)

FLEETS = range(2, 1001)
PAUSE = timedelta(milliseconds=500)
# A report that is due waits for the next step of its sender's task.
STEP = timedelta(milliseconds=150)


@pytest.mark.parametrize(
    'interval_of',
    [lambda gateways: usage_interval(gateways - 1), idle_interval],
)
@pytest.mark.parametrize('judge', [silence_timeout, max_load_age])
def test_one_lost_or_late_report_leaves_its_sender_responsive(
    interval_of, judge
):
    for gateways in FLEETS:
        interval = interval_of(gateways)
        assert judge(interval) > 2 * interval + STEP
        assert judge(interval) > interval + PAUSE + STEP


def test_an_idle_keeper_reports_no_more_often_than_a_busy_one():
    for gateways in FLEETS:
        assert idle_interval(gateways) >= count_interval(gateways)


def test_an_engine_is_read_before_each_report_and_not_far_more_often():
    for gateways in FLEETS:
        reads = count_interval(gateways) / engine_read_interval(gateways)
        assert 1 <= reads <= 3
