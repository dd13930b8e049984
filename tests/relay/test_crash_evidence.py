"""Which part of a prompt is convicted, by crashes and answers that began."""

from dataclasses import replace
from datetime import timedelta
from itertools import count

import pytest

from verbenamux_relay.crash_evidence import (
    BURST_TIME,
    Began,
    Crash,
    find_culprits,
)


def crashes(*prompts):
    return [
        Crash(str(number), ('w',), parts, BURST_TIME * 2 * number)
        for number, parts in zip(count(), prompts, strict=False)
    ]


def convicted(evidence, answers=None):
    return {culprit.parts for culprit in find_culprits(evidence, answers or {})}


def test_one_crash_convicts_nothing():
    assert not convicted(crashes(('a', 'dead')))


@pytest.mark.parametrize('prompt', [('a', 'dead'), ('dead', 'a')])
def test_the_part_without_answers_is_convicted(prompt):
    assert convicted(crashes(prompt, prompt), {'a': 1}) == {('dead',)}


def test_two_deadly_parts_are_told_apart_from_the_first_part_they_share():
    evidence = crashes(*[('a', 'dead1'), ('a', 'dead2')] * 3)
    assert convicted(evidence, {'a': 16}) == {('dead1',), ('dead2',)}


def test_a_part_that_crashes_one_request_in_ten_is_convicted_by_the_fifth():
    by_count = [
        convicted(
            crashes(*[('a', 'dead')] * number),
            {'a': 90 * number, 'dead': 9 * number},
        )
        for number in range(1, 6)
    ]
    assert by_count == [set()] * 4 + [{('dead',)}]


def test_a_popular_part_caught_by_crashes_of_another_cause_is_acquitted():
    assert not convicted(crashes(*[('a',)] * 3), {'a': 20})


def test_parts_that_always_come_together_are_convicted_together():
    together = [('a', 'b', 'dead'), ('b', 'c', 'dead')]
    assert convicted(crashes(*together)) == {('b', 'dead')}
    evidence = crashes(*together, ('c', 'dead'))
    assert convicted(evidence) == {('dead',)}


def test_targets_that_end_at_once_convict_no_part_they_have_in_common():
    """A quarter of the targets crashed; 109 sound requests were refused."""
    evidence = [
        replace(crash, known_at=BURST_TIME * number / 9)
        for number, crash in enumerate(crashes(*[('a', 'b')] * 7))
    ]
    assert not convicted(evidence)
    later = replace(evidence[0], crash_id='later', known_at=BURST_TIME * 3)
    assert convicted([*evidence, later]) == {('a', 'b')}


def test_a_request_sent_once_a_crash_is_known_is_further_evidence():
    evidence = [
        replace(crash, known_at=timedelta(milliseconds=number), sent_at=sent_at)
        for number, (crash, sent_at) in enumerate(
            zip(
                crashes(*[('a', 'dead')] * 2),
                (timedelta(), timedelta(milliseconds=1)),
                strict=True,
            )
        )
    ]
    assert convicted(evidence) == {('a', 'dead')}


def unanswered(prompt, *crash_ids, began_at=timedelta(), sent_at=None):
    """Return crashes in a row under one prompt, before any byte."""
    return [
        Crash(
            crash_id,
            ('w',),
            ('a', 'dead'),
            began_at + timedelta(milliseconds=100) * number,
            began=(
                Began(
                    'w',
                    prompt,
                    ('a', 'dead'),
                    is_unanswered=True,
                    sent_at=sent_at,
                ),
            ),
        )
        for number, crash_id in enumerate(crash_ids)
    ]


def test_two_prompts_under_which_two_targets_end_each_convict_their_part():
    first = unanswered('first', '1', '2')
    second = unanswered('second', '3', '4', began_at=BURST_TIME * 2)
    assert not convicted([*first, *second[:1]], {'a': 10})
    assert convicted([*first, *second], {'a': 10}) == {('dead',)}


def test_one_prompt_convicts_no_shared_part_however_many_targets_end():
    assert not convicted(unanswered('same', *'123456789'), {'a': 10})


def test_prompts_that_were_sent_beside_each_other_count_as_one():
    beside = [
        *unanswered('first', '1', '2'),
        *unanswered('second', '3', '4', began_at=BURST_TIME / 4),
    ]
    assert not convicted(beside, {'a': 10})
    after = unanswered(
        'second',
        '3',
        '4',
        began_at=BURST_TIME / 4,
        sent_at=BURST_TIME / 5,
    )
    assert convicted([*beside[:2], *after], {'a': 10}) == {('dead',)}
