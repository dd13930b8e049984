"""Each check of the soak finds what breaks its promise."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from soak import checking
from soak.evidence import Attempt, Evidence, Stop, Trouble
from soak.faults import (
    ACTIONS,
    LATER_NAMES_BY_KIND,
    NAMES_BY_KIND,
    draw,
    withdraw,
)
from soak.targets import Run, proof_of, whole_answer

SENT = Attempt('1', 'order', 'kept', 'w1', 'gateway-1', 100.0, 100.1)
SERVED = replace(
    SENT,
    status=200,
    body=whole_answer('1'),
    proof=proof_of('1'),
    is_whole=True,
)
RAN = Run('1', 'ledger-1', 'ledger', 'w1', 100.0, 100.05, is_whole=True)


def evidence(*attempts, runs=(), **more):
    made = Evidence(attempts=list(attempts), **more)
    made.book.runs.extend(runs)
    return made


def limited_runs(count):
    return [
        replace(RAN, request_id=str(n), workspace='w2') for n in range(count)
    ]


def orders(*pairs):
    made = Evidence()
    made.book.orders.extend(
        (100.0, 'engine-1', {'holder': holder, 'fencing_token': token})
        for holder, token in pairs
    )
    return made


BROKEN = {
    'run_once': evidence(SERVED, runs=(RAN, RAN)),
    'refused_never_ran': evidence(replace(SENT, status=503), runs=(RAN,)),
    'answers_are_the_targets': evidence(replace(SERVED, body=b'other')),
    'workspaces_are_told': evidence(
        SERVED,
        runs=(replace(RAN, workspace='w2'),),
    ),
    'withdrawn_keys_open_nothing': evidence(
        SERVED,
        runs=(RAN,),
        key_withdrawn_at={'kept': 94.0},
    ),
    'gateways_in_touch_trust_keys': evidence(
        replace(SENT, status=503, body=b'the key could not be confirmed'),
    ),
    'routes_follow_the_configuration': evidence(
        SERVED,
        runs=(RAN,),
        moved=[(97.0, 'archive')],
    ),
    'callers_get_an_end_in_time': evidence(replace(SERVED, ended_at=105.0)),
    'stops_lose_nothing': evidence(
        replace(SENT, ended_at=100.5),
        stops=[Stop('gateway-1', 100.2, 103.0, 0)],
    ),
    'engines_have_one_holder': orders(('keeper-1', 3), ('keeper-2', 4)),
    'limits_hold': evidence(runs=limited_runs(500)),
    'service_recovers': evidence(
        *(replace(SENT, sent_at=200.0 + n, status=503) for n in range(9)),
        troubles=[Trouble('cut', 'store', 1.0, 2.0)],
    ),
    'programs_keep_running': evidence(exit_codes={'gateway-1': 1}),
}


def names(found):
    return {violation.partition(':')[0] for violation in found}


@pytest.mark.parametrize('name', BROKEN)
def test_a_broken_promise_is_found(name):
    assert name in names(checking.violations(BROKEN[name]))


def test_what_reaches_a_leaving_target_is_found():
    made = evidence(SERVED, runs=(RAN,), draining_at={'ledger-1': 97.0})
    made.book.arrivals.append((100.0, '1', 'ledger-1'))
    assert names(checking.violations(made)) == {'leaving_targets_get_nothing'}
    made.troubles.append(Trouble('cut', 'store>gateway-1', 97.5, 98.0))
    assert not checking.violations(made)


def test_an_overrun_engine_an_old_token_and_a_key_are_found():
    made = orders(('keeper-1', 4), ('keeper-1', 3))
    made.book.crashes.append('engine-1 was overrun')
    made.book.fields.add('HTTP_AUTHORIZATION')
    assert names(checking.violations(made)) == {
        'engines_have_one_holder',
        'engines_are_not_overrun',
        'keys_reach_no_target',
    }


def test_a_day_without_harm_breaks_nothing():
    assert not checking.violations(evidence(SERVED, runs=(RAN,)))


def test_a_seed_draws_the_same_faults_again():
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)
    assert ACTIONS.keys() == NAMES_BY_KIND.keys() | LATER_NAMES_BY_KIND.keys()


def test_seeds_that_failed_once_draw_what_they_drew_then():
    first = draw(1)[0]
    assert (first.at, first.kind, first.name) == (
        1.76,
        'silence_from',
        'plain-1',
    )
    assert [step.kind for step in draw(11)] == [
        'kill',
        'leave',
        'store_slow',
        'fail',
        'pause',
        'slow',
        'withdraw',
        'reset',
    ]


def test_a_withdrawn_key_is_never_handed_out_again():
    """A seed's finding: the first key withdrawn was the one handed out."""
    put = []
    world = SimpleNamespace(
        version=1,
        keys={'kept': 'w1', 'doomed-1': 'w1'},
        all_keys={},
        put_config=lambda: put.append(dict(world.keys)) or 5.0,
    )
    made = Evidence()
    injector = SimpleNamespace(world=world, evidence=made)
    withdraw(injector, None)
    assert made.key_withdrawn_at == {'doomed-1': 5.0}
    assert 'doomed-1' not in put[0]
    assert len(put[0]) == 2


STOPPED = Stop('gateway-1', 100.2, 107.4, 0)
BEHIND = replace(SENT, sent_at=100.3)


@pytest.mark.parametrize(
    ('attempt', 'runs', 'is_found'),
    [
        (replace(BEHIND, ended_at=107.4), (), True),
        (replace(BEHIND, ended_at=100.4), (RAN,), True),
        (replace(BEHIND, ended_at=100.4), (), False),
        (replace(BEHIND, ended_at=103.0, status=200), (RAN,), True),
        (replace(BEHIND, ended_at=107.4, status=200), (RAN,), False),
        (replace(BEHIND, ended_at=101.0, status=503, is_whole=True), (), False),
    ],
)
def test_what_a_stop_took_is_lost_unless_it_crossed_a_close(
    attempt,
    runs,
    is_found,
):
    """Waits behind the signal were cut, and the soak looked before it only."""
    found = evidence(attempt, runs=runs, stops=[STOPPED])
    assert bool(list(checking.stops_lose_nothing(found))) is is_found
