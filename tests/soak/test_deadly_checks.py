"""The checks of deadly prompt parts find what they name, and only that."""

from dataclasses import replace

import pytest

from soak.deadly_checks import (
    MIN_REQUESTS,
    deadly_parts_stop_reaching_targets,
    sound_requests_begin_beside_deadly_ones,
)
from soak.evidence import Attempt, Evidence

SENT = Attempt('1', 'stream', 'kept', 'w1', 'gateway-1', 0.0, 4.0)
CRASHES = (10.0, 11.0, 12.0, 13.0, 14.0)


def evidence(begun_beside):
    """Return 20 sound requests before the crashes and 20 beside them."""
    before = [
        replace(SENT, request_id=f'b{number}', ended_at=1.0, status=200)
        for number in range(MIN_REQUESTS)
    ]
    beside = [
        replace(
            SENT,
            request_id=f's{number}',
            sent_at=21.0,
            ended_at=22.0,
            status=200 if number < begun_beside else 503,
        )
        for number in range(MIN_REQUESTS)
    ]
    built = Evidence(attempts=[*before, *beside])
    for attempt in built.attempts:
        attempt.prompt = 'shared:5,own:10'
    built.attempts.append(
        replace(SENT, request_id='d', sent_at=30.0, prompt='dead1:5,own:10')
    )
    built.book.deadly_crashes.extend(CRASHES)
    return built


@pytest.mark.parametrize(('begun', 'is_found'), [(9, True), (10, False)])
def test_sound_requests_that_begin_less_than_half_as_often_are_found(
    begun, is_found
):
    found = list(sound_requests_begin_beside_deadly_ones(evidence(begun)))
    assert bool(found) is is_found


@pytest.mark.parametrize(('late', 'is_found'), [(4, True), (3, False)])
def test_deadly_requests_behind_the_fifth_crash_are_found(late, is_found):
    built = evidence(MIN_REQUESTS)
    built.book.deadly_arrivals.extend([(16.9, 'd')] + [(17.1, 'd')] * late)
    found = list(deadly_parts_stop_reaching_targets(built))
    assert bool(found) is is_found
