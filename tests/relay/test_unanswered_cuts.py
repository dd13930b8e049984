"""Which requests are evidence, of those cut before any byte of an answer."""

from datetime import timedelta

import pytest

from verbenamux_relay.terms import RequestTerms
from verbenamux_relay.unanswered_cuts import (
    MAX_REQUESTS,
    Cut,
    UnansweredCuts,
)


def cut(crash_id, request_id='r'):
    return Cut(
        crash_id,
        'w',
        RequestTerms(request_id, 'host'),
        timedelta(),
        timedelta(),
        is_unanswered=True,
    )


@pytest.fixture
def cuts():
    return UnansweredCuts()


def test_a_request_that_ends_two_targets_is_evidence_for_both(cuts):
    assert cuts.add(cut('1')) == ()
    assert cuts.add(cut('2')) == (cut('1'), cut('2'))
    assert cuts.add(cut('3')) == (cut('3'),)
    assert cuts.end('r') == ()


def test_a_request_that_ends_without_an_answer_is_evidence(cuts):
    cuts.add(cut('1'))
    assert cuts.end('r') == (cut('1'),)
    assert cuts.end('r') == ()


def test_a_request_that_is_answered_elsewhere_is_none(cuts):
    cuts.add(cut('1'))
    cuts.acquit('r')
    assert cuts.add(cut('2')) == ()
    assert cuts.end('r') == ()


def test_a_target_may_be_known_to_have_ended_after_its_request(cuts):
    assert cuts.end('r') == ()
    assert cuts.add(cut('1')) == (cut('1'),)


def test_requests_do_not_mix_and_are_bounded(cuts):
    for number in range(MAX_REQUESTS + 1):
        assert cuts.add(cut('1', str(number))) == ()
    assert cuts.end('0') == ()
    assert cuts.end('2') == (cut('1', '2'),)
