"""The checker reports each violated promise in a faulty history."""

from datetime import UTC, datetime, timedelta
from typing import Any

import pytest

from verbenamux_load.checker import Promise, find_violations
from verbenamux_load.evidence import Evidence, RateLimit, VersionEvent
from verbenamux_load.history import Completion, Invocation
from verbenamux_load.prompts import whole_answer

START = datetime(2026, 1, 1, tzinfo=UTC)
TEXT = whole_answer('0' * 8, 2)


def invoked(number: int = 1, **changes: Any) -> Invocation:
    fields: dict[str, Any] = {
        'call_id': f'opera-chat-0~{number}',
        'caller': 'opera-chat-0',
        'time': 1.0,
        'kind': 'chat',
        'model': 'wig',
        'prompt_digest': '0' * 8,
        'output_tokens': 2,
        'idempotent': True,
        'gateway': 'g',
    }
    return Invocation(**(fields | changes))


def completed(number: int = 1, **changes: Any) -> Completion:
    fields: dict[str, Any] = {
        'call_id': f'opera-chat-0~{number}',
        'time': 2.0,
        'status': 200,
        'text': TEXT,
        'done': True,
    }
    return Completion(**(fields | changes))


def run_event(number: int = 1, seconds: float = 1.5, **changes: Any) -> Any:
    event_time = START + timedelta(seconds=seconds)
    event = {
        'event': 'run',
        'time': event_time.isoformat(),
        'body': f'"opera-chat-0~{number} hello"',
        'headers': {},
    }
    return event | changes


def memory_event(event: str, model: str, seconds: float) -> dict[str, Any]:
    event_time = START + timedelta(seconds=seconds)
    return {
        'event': event,
        'time': event_time.isoformat(),
        'model': model,
        'used_mb': 2,
        'adapter': False,
    }


def evidence(
    *calls: tuple[Invocation, Completion | None],
    **changes: Any,
) -> Evidence:
    built = Evidence(list(calls) or [(invoked(), completed())])
    built.started_at = START
    built.workspace_by_caller = {'opera-chat-0': 'opera'}
    built.models_by_workspace = {'opera': frozenset({'wig'})}
    built.events_by_target = {'e': [run_event()]}
    built.keys = ('key-opera',)
    for name, setting in changes.items():
        setattr(built, name, setting)
    return built


def version_event(
    number: int, seconds: float, digest: str = 'd'
) -> VersionEvent:
    return VersionEvent('gateway-0', 'i', seconds, number, digest)


BROKEN = {
    'overcommitted': (
        Promise.MEMORY,
        evidence(
            events_by_target={'e': [memory_event('overcommit', 'wig', 1)]}
        ),
    ),
    'last copy dropped': (
        Promise.REACHABLE,
        evidence(
            events_by_target={
                'e': [
                    memory_event('load_done', 'wig', 1),
                    memory_event('unloaded', 'wig', 2),
                ],
            },
        ),
    ),
    'model of another workspace': (
        Promise.OWN_WORKSPACE,
        evidence((invoked(model='film-only'), completed())),
    ),
    'key in a header': (
        Promise.NO_KEY_AT_TARGET,
        evidence(
            events_by_target={'e': [run_event(headers={'x': 'key-opera'})]}
        ),
    ),
    'key in a log line': (
        Promise.NO_KEY_AT_TARGET,
        evidence(log_lines=[b'{"key": "key-opera"}']),
    ),
    'served after the withdrawal': (
        Promise.WITHDRAWN,
        evidence(
            (invoked(), completed(time=9.0)),
            withdrawn_at={'opera': 3.0},
        ),
    ),
    'over rate and burst': (
        Promise.RATE,
        evidence(
            (invoked(1), completed(1, tokens=60)),
            (invoked(2), completed(2, tokens=60)),
            limit_by_workspace={'opera': RateLimit(10, 100)},
        ),
    ),
    'answer of another': (
        Promise.WHOLE_ANSWER,
        evidence((invoked(), completed(text='f' * 8))),
    ),
    'answer in part': (
        Promise.WHOLE_ANSWER,
        evidence((invoked(), completed(text=TEXT[:-3]))),
    ),
    'no end': (
        Promise.WHOLE_ANSWER,
        evidence((invoked(), completed(done=False))),
    ),
    'not run but ran': (
        Promise.NOT_RUN,
        evidence(
            (invoked(), completed(status=503, run='not_run', code='no_target')),
        ),
    ),
    'ran twice': (
        Promise.AT_MOST_ONCE,
        evidence(
            (invoked(idempotent=False), completed()),
            events_by_target={'e': [run_event()], 'f': [run_event()]},
        ),
    ),
    'one Idempotency-Key ran twice': (
        Promise.AT_MOST_ONCE,
        evidence(
            (invoked(1, idempotency_key='k'), completed(1)),
            (invoked(2, idempotency_key='k'), completed(2)),
            events_by_target={'e': [run_event(1)], 'f': [run_event(2)]},
        ),
    ),
    'work for a leaving target': (
        Promise.LEAVING,
        evidence((invoked(time=9.0), completed()), left_at={'e': 2.0}),
    ),
    'cut off by a shutdown': (
        Promise.SHUTDOWN,
        evidence((invoked(), None), terminated_gateways=frozenset({'g'})),
    ),
    'version went back': (
        Promise.IN_FORCE,
        evidence(versions=[version_event(2, 1), version_event(1, 2)]),
    ),
    'a refused patch won': (
        Promise.IN_FORCE,
        evidence(versions=[version_event(3, 1)], last_version=2),
    ),
    'versions differ': (
        Promise.IN_FORCE,
        evidence(versions=[version_event(2, 1, 'x'), version_event(2, 2, 'y')]),
    ),
    'version came late': (
        Promise.IN_FORCE,
        evidence(
            versions=[version_event(2, 20)],
            patched_at={2: 1.0},
            watched_gateways=frozenset({'gateway-0'}),
        ),
    ),
}


@pytest.mark.parametrize('name', BROKEN)
def test_broken_history_is_found(name: str) -> None:
    promise, broken = BROKEN[name]
    promises = {violation.promise for violation in find_violations(broken)}
    assert promises == {promise}


def test_sound_history_has_no_violation() -> None:
    sound = evidence(
        limit_by_workspace={'opera': RateLimit(10, 100)},
        withdrawn_at={'film': 0.0},
        left_at={'e': 1.0},
        versions=[version_event(1, 0), version_event(2, 1)],
        patched_at={2: 0.5},
        watched_gateways=frozenset({'gateway-0'}),
    )
    assert not find_violations(sound)
