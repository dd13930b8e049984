"""Time limits of a stopping gateway for waiting and sending."""

from datetime import timedelta

from verbenamux_relay.stopping import StopPlan, max_open_time

SECOND = timedelta(seconds=1)


def test_nothing_is_limited_before_a_stop():
    plan = StopPlan()
    assert plan.may_send(100 * SECOND)
    assert plan.may_accept_stream(100 * SECOND)
    assert plan.limit(100 * SECOND) == 100 * SECOND


def test_sends_end_in_time_for_their_answers():
    plan = StopPlan()
    plan.begin(10 * SECOND, 8 * SECOND, streams_for=2 * SECOND)
    assert plan.is_under_way
    assert plan.may_send(13.9 * SECOND)
    assert not plan.may_send(14 * SECOND)
    assert plan.limit(20 * SECOND) == 14 * SECOND
    assert plan.limit(12 * SECOND) == 12 * SECOND
    assert plan.may_accept_stream(11.9 * SECOND)
    assert not plan.may_accept_stream(12 * SECOND)


def test_streams_are_broken_off_in_the_last_sixth_of_the_time_only():
    assert 8 * SECOND * 5 / 6 < max_open_time(8 * SECOND) < 8 * SECOND
