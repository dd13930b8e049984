"""Gateways agree on the parts that crash targets, whatever is lost."""

from datetime import timedelta
from itertools import count

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from relay.crashes import SECOND, Gateway
from verbenamux_contracts.clock import ManualClock
from verbenamux_relay.quarantine import (
    FIRST_PROBE_WAIT,
    MAX_CRASHES,
    PROBE_WAIT_FACTOR,
)
from verbenamux_relay.terms import PromptPart, RequestTerms

GATEWAYS = st.sampled_from(range(3))
SMALL = settings(max_examples=60, stateful_step_count=30, deadline=None)


NUMBERS = count()


def terms(*parts, request_id='r', own=None):
    """Return the terms of a request; no two are alike without `own`."""
    prompt = (*parts, own or f'own{next(NUMBERS)}')
    return RequestTerms(
        request_id, 'host', parts=tuple(PromptPart(part, 9) for part in prompt)
    )


def settled(clock, **fields):
    made = Gateway(clock, **fields)
    clock.advance(SECOND)
    return made


def convict(target, part='dead', workspaces=('w', 'w')):
    for number, workspace in enumerate(workspaces):
        target.record_answer(terms('a'))
        target.crash(f'{part}{number}', workspace, terms('a', part))


class Fleet(RuleBasedStateMachine):
    """Three gateways, a store, and requests with a deadly and a sound part."""

    reports_arrive = True

    @initialize(
        is_deadly_first=st.booleans(), own=st.sampled_from([None, 'alike'])
    )
    def start(self, is_deadly_first, own):
        self.deadly_parts = ('dead', 'a') if is_deadly_first else ('a', 'dead')
        self.own = own
        self.clock = ManualClock()
        self.by_number = {}
        self.stored = {}
        self.crash_count = 0
        for number in range(3):
            self.restart(number)

    @rule(number=GATEWAYS)
    def restart(self, number):
        self.by_number[number] = Gateway(self.clock, is_first=not number)
        for part, verdict in self.stored.items():
            self.by_number[number].adopt_stored(part, verdict)

    @rule(number=GATEWAYS)
    def ask_soundly(self, number):
        assert self.by_number[number].blocked_parts('w', terms('a')) is None
        self.by_number[number].record_answer(terms('a'))

    @rule(number=GATEWAYS)
    def ask_for_the_deadly_part(self, number):
        gateway = self.by_number[number]
        deadly = self.deadly()
        if gateway.blocked_parts('w', deadly) is None:
            self.crash_count += 1
            gateway.crash(str(self.crash_count), 'w', deadly)

    @rule(number=GATEWAYS, is_answered=st.booleans())
    def cut_what_waits(self, number, is_answered):
        """A sound request is cut beside another one's crash."""
        gateway = self.by_number[number]
        waiting = terms('a', request_id=f'waiting{next(NUMBERS)}')
        gateway.record_answer(terms('a'))
        gateway.crash(str(self.crash_count), 'w', waiting, is_unanswered=True)
        if is_answered:
            gateway.record_answer(waiting)
        gateway.record_unanswered_end(waiting.request_id)

    @rule(sender=GATEWAYS, receiver=GATEWAYS)
    def report(self, sender, receiver):
        if self.reports_arrive:
            self.by_number[receiver].handle_evidence(
                str(sender), self.by_number[sender].evidence()
            )

    @rule(number=GATEWAYS)
    def save(self, number):
        gateway = self.by_number[number]
        for part, verdict in gateway.unsaved():
            self.stored[part] = verdict
            gateway.adopt_stored(part, verdict)

    @rule(milliseconds=st.integers(1, 900))
    def advance(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule()
    def exchange_all_reports(self):
        """No part may reach targets once all know of two crashes."""
        self.clock.advance(SECOND)
        known = {
            crash.crash_id
            for gateway in self.by_number.values()
            for crash in gateway.evidence().crashes
            if not crash.is_unanswered
        }
        for sender in (0, 1, 2, 0, 1, 2):
            for receiver in self.by_number.keys() - {sender}:
                self.report(sender, receiver)
        if len(known) > 1:
            for gateway in self.by_number.values():
                assert gateway.blocked_parts('w', self.deadly()) is not None

    def deadly(self):
        return terms(*self.deadly_parts, own=self.own)


class MuteFleet(Fleet):
    """The same without reports between gateways."""

    reports_arrive = False


def test_gateways_convict_the_deadly_part_and_never_a_sound_one():
    run_state_machine_as_test(Fleet, settings=SMALL)


def test_the_check_fails_without_reports():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(MuteFleet, settings=SMALL)


def test_a_conviction_holds_for_its_workspace_until_another_crashes_a_target():
    target = settled(ManualClock())
    convict(target)
    assert target.blocked_parts('w', terms('a', 'dead')) == 'dead'
    assert target.blocked_parts('other', terms('a', 'dead')) is None
    target.crash('later', 'other', terms('a', 'dead'))
    assert target.blocked_parts('third', terms('a', 'dead')) == 'dead'


def test_a_caller_can_not_convict_a_part_of_another_workspace():
    """It sends deadly requests of its own beside the other one's part."""
    target = settled(ManualClock())
    for number in range(10):
        target.crash(str(number), 'attacker', terms('victim', f'dead{number}'))
    assert target.blocked_parts('w', terms('victim')) is None


def test_a_crash_with_two_suspects_is_attributed_by_the_next_one():
    target = settled(ManualClock())
    target.crash('1', 'w', terms('b'))
    target.crash('1', 'w', terms('a', 'dead'))
    target.record_answer(terms('a'))
    target.crash('2', 'w', terms('a', 'dead'))
    assert target.blocked_parts('w', terms('dead')) == 'dead'
    assert target.blocked_parts('w', terms('a', 'b')) is None


def test_a_request_that_began_beside_the_deadly_one_shields_its_workspace():
    """Each crash was put down to the workspace of the first request alone."""
    finder, other = settled(ManualClock()), settled(ManualClock())
    for number in '12':
        finder.crash(number, 'sound', terms('a', f'b{number}'))
        finder.crash(number, 'w', terms('a', 'dead'))
        finder.record_answer(terms('a'))
    other.handle_evidence('finder', finder.evidence())
    for gateway in (finder, other):
        assert gateway.blocked_parts('w', terms('a', 'dead')) == 'dead'
        assert gateway.blocked_parts('sound', terms('a', 'b1')) is None


def test_ordinary_crashes_convict_a_part_that_is_answered_all_the_time():
    """The review's LOST: all requests of a route were refused for a minute.

    Two of six targets crashed at once, four times, while the part that all
    prompts share was answered 50 times a second.
    """
    clock = ManualClock()
    first, second = gateways = (settled(clock), settled(clock))
    for number in range(8):
        for gateway in gateways:
            for _ in range(150):
                clock.advance(timedelta(milliseconds=10))
                gateway.record_answer(terms('popular'))
        gateways[number % 2].crash(
            f'{number}', 'w', terms('popular', f'session{number}')
        )
        gateways[number % 2].crash(f'{number}-2', 'w', terms('popular'))
        for _ in range(2):
            second.handle_evidence('first', first.evidence())
            first.handle_evidence('second', second.evidence())
        for gateway in gateways:
            assert gateway.blocked_parts('w', terms('popular')) is None


def test_invented_parts_fill_no_table():
    target = Gateway(ManualClock())
    for number in range(MAX_CRASHES * 3):
        target.crash(str(number), 'w', terms(f'part{number}'))
        target.record_answer(terms(f'answered{number}'))
    assert len(target.evidence().crashes) == MAX_CRASHES
    assert len(target.evidence().answers) <= MAX_CRASHES


def test_restarted_gateways_know_what_the_store_has():
    clock = ManualClock()
    target = settled(clock)
    convict(target)
    ((part, verdict),) = target.unsaved()
    target.adopt_stored(part, verdict)
    assert not tuple(target.unsaved())
    restarted = Gateway(clock)
    restarted.adopt_stored(part, verdict)
    assert restarted.blocked_parts('w', terms('dead')) == 'dead'


def test_the_first_gateway_saves_what_its_finder_did_not():
    clock = ManualClock()
    finder = settled(clock)
    convict(finder)
    first, other = Gateway(clock), Gateway(clock, is_first=False)
    for gateway in (first, other):
        gateway.handle_evidence('finder', finder.evidence())
    assert not tuple(first.unsaved())
    clock.advance(SECOND * 3)
    assert tuple(first.unsaved())
    assert not tuple(other.unsaved())


@pytest.fixture
def convicted():
    clock = ManualClock()
    target = settled(clock)
    convict(target)
    return clock, target


def probe(target, request_id):
    return (
        target.blocked_parts('w', terms('dead', request_id=request_id)) is None
    )


def test_one_request_probes_and_its_answer_releases_the_part(convicted):
    clock, target = convicted
    assert not probe(target, 'early')
    clock.advance(FIRST_PROBE_WAIT)
    assert probe(target, 'probe')
    assert probe(target, 'probe'), 'asked again right before the send'
    assert not probe(target, 'second')
    target.record_answer(terms('dead', request_id='probe'))
    assert probe(target, 'third')
    follower = Gateway(clock)
    follower.handle_evidence('target', target.evidence())
    assert probe(follower, 'fourth')


def test_a_failed_probe_makes_the_next_one_rarer(convicted):
    clock, target = convicted
    clock.advance(FIRST_PROBE_WAIT)
    assert probe(target, 'probe')
    target.crash('probed', 'w', terms('dead'))
    clock.advance(FIRST_PROBE_WAIT * PROBE_WAIT_FACTOR - SECOND)
    assert not probe(target, 'early')
    clock.advance(SECOND)
    assert probe(target, 'second')


def test_only_the_first_gateway_probes():
    clock = ManualClock()
    target = settled(clock, is_first=False)
    convict(target)
    clock.advance(FIRST_PROBE_WAIT * 10)
    assert not probe(target, 'probe')


def test_an_operator_releases_a_part(convicted):
    _clock, target = convicted
    target.release('dead')
    assert probe(target, 'any')


def alike(request_id):
    return terms('a', 'session', request_id=request_id, own='own')


def test_a_request_that_came_again_convicts_no_part_that_others_share():
    """Issue 47: it met two crashes, and its session's others were refused."""
    target = settled(ManualClock())
    target.crash('1', 'w', alike('first'))
    target.crash('2', 'w', alike('again'))
    assert target.blocked_parts('w', terms('a', 'session')) is None


def test_a_request_that_ended_two_targets_is_refused_whatever_its_id():
    """Issue 47: 13 targets ended under one, whose other parts were sound."""
    clock = ManualClock()
    first, second, third = (settled(clock) for _ in range(3))
    for gateway, crash_id in ((first, '1'), (second, '2')):
        gateway.record_answer(terms('a', 'session'))
        gateway.crash(crash_id, 'w', alike(crash_id))
        assert gateway.blocked_parts('w', alike('x')) is None
    for receiver in (first, second, third):
        receiver.handle_evidence('first', first.evidence())
        receiver.handle_evidence('second', second.evidence())
        assert receiver.blocked_parts('w', alike('again')) is not None
        assert receiver.blocked_parts('w', terms('a', 'session')) is None


def test_a_request_that_is_answered_again_and_again_is_not_refused():
    """A monitor's, which is the same each time, met two ordinary crashes."""
    target = settled(ManualClock())
    for _ in range(10):
        target.record_answer(alike('sound'))
    target.crash('1', 'w', alike('first'))
    target.crash('2', 'w', alike('again'))
    assert target.blocked_parts('w', alike('third')) is None


def test_a_request_whose_probe_was_answered_is_not_refused_again():
    """The crashes that convicted it were still known, here and elsewhere."""
    clock = ManualClock()
    target, other = settled(clock), settled(clock)
    for crash_id in '12':
        clock.advance(SECOND)
        target.crash(crash_id, 'w', alike(crash_id))
    other.handle_evidence('target', target.evidence())
    clock.advance(FIRST_PROBE_WAIT)
    assert target.blocked_parts('w', alike('probe')) is None
    target.record_answer(alike('probe'))
    for _ in range(2):
        other.handle_evidence('target', target.evidence())
        target.handle_evidence('other', other.evidence())
        for gateway in (target, other):
            gateway.review()
            assert gateway.blocked_parts('w', alike('next')) is None


def test_a_request_that_streamed_at_its_crashes_is_refused_after_the_third():
    """Answers that had just begun are cut by each crash of another cause."""
    target = settled(ManualClock())
    for crash_id in '123':
        assert target.blocked_parts('w', alike('again')) is None
        target.crash(crash_id, 'w', alike('again'), has_event=True)
    assert target.blocked_parts('w', alike('again')) is not None
    assert target.blocked_parts('w', terms('a', 'session')) is None


def test_requests_cut_without_a_byte_and_answered_elsewhere_convict_nothing():
    """They waited at targets that crashed under others."""
    target = settled(ManualClock())
    for number in range(20):
        target.clock.advance(SECOND)
        waiting = terms('a', 'rare', request_id=f'r{number}')
        target.crash(f'{number}', 'w', waiting, is_unanswered=True)
        target.record_answer(waiting)
        target.record_unanswered_end(waiting.request_id)
    assert target.blocked_parts('w', terms('a', 'rare')) is None


def test_requests_cut_without_a_byte_and_never_answered_convict_their_part():
    """Some have no other target: one end each is half the evidence."""
    finder, other = settled(ManualClock()), settled(ManualClock())
    for number in range(4):
        assert other.blocked_parts('w', terms('dead')) is None
        finder.clock.advance(SECOND)
        other.clock.advance(SECOND)
        finder.record_answer(terms('a'))
        deadly = terms('a', 'dead', request_id=f'r{number}')
        finder.crash(f'{number}', 'w', deadly, is_unanswered=True)
        finder.record_unanswered_end(deadly.request_id)
        other.handle_evidence('finder', finder.evidence())
    for gateway in (finder, other):
        assert gateway.blocked_parts('w', terms('a', 'dead')) == 'dead'
        assert gateway.blocked_parts('w', terms('a')) is None


def test_a_caller_that_leaves_a_cut_request_convicts_nothing():
    target = settled(ManualClock())
    for number in range(20):
        target.clock.advance(SECOND)
        left = terms('rare', request_id=f'r{number}')
        target.crash(f'{number}', 'w', left, is_unanswered=True)
        target.record_withdrawal(left.request_id)
        target.record_unanswered_end(left.request_id)
    assert target.blocked_parts('w', terms('rare')) is None
