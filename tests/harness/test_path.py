"""Requests and commands through a fleet of real processes."""

import hashlib
from collections.abc import Iterator
from pathlib import Path

import pytest

from verbenamux_harness.fleet import Fleet, running
from verbenamux_harness.shapes import nakhla
from verbenamux_harness.web import call, wait_until

pytestmark = pytest.mark.processes


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp('path')
    with running(nakhla(), folder) as started:
        yield started


@pytest.mark.parametrize('gateway', ['gateway-0', 'gateway-1'])
def test_same_request_through_either_gateway(
    fleet: Fleet,
    gateway: str,
) -> None:
    answer = fleet.chat(gateway, 'counter', 'two sledges please')
    assert answer.status == 200
    message = answer.json()['choices'][0]['message']['content']
    assert len(message.split()) == 8
    assert answer.headers['x-request-id'] == answer.json()['id']


def test_stream_ends_with_done_under_one_name(fleet: Fleet) -> None:
    answer = fleet.chat('gateway-0', 'counter', 'a guide', stream=True)
    frames = answer.body.decode().strip().split('\n\n')
    assert frames[-1] == 'data: [DONE]'
    request_id = answer.headers['x-request-id']
    assert all(request_id in frame for frame in frames[:-1])


def test_adapter_is_loaded_on_demand(fleet: Fleet) -> None:
    answer = fleet.chat('gateway-0', 'counter', 'bonjour', model='waiver-fr')
    assert answer.status == 200
    assert answer.json()['model'] == 'waiver-fr'


def test_models_are_those_the_key_may_reach(fleet: Fleet) -> None:
    key = fleet.key_by_workspace['noisy']
    answer = call(
        'GET',
        f'{fleet.url("gateway-0")}/v1/models',
        headers={'Authorization': f'Bearer {key}'},
    )
    names = [row['id'] for row in answer.json()['data']]
    assert names == ['desk-0', 'desk-1']


def test_public_route_needs_no_key_and_others_do(fleet: Fleet) -> None:
    base = f'{fleet.url("gateway-1")}/services/hire-ledger'
    assert call('GET', f'{base}/opening-hours').status == 200
    refused = call('GET', f'{base}/bookings')
    assert refused.status == 401
    assert refused.json()['error']['run'] == 'not_run'


def test_service_gets_the_call_and_neither_key_nor_cookie(
    fleet: Fleet,
) -> None:
    key = fleet.key_by_workspace['counter']
    answer = call(
        'PUT',
        f'{fleet.url("gateway-0")}/services/hire-ledger/sledges/7?day=friday',
        b'two sledges',
        {
            'Authorization': f'Bearer {key}',
            'Cookie': 'session=1',
            'X-Note': 'coach group',
            'Idempotency-Key': 'friday-7',
        },
    )
    assert answer.status == 200
    assert answer.json()['echo'] == 'two sledges'
    run_events = [
        event
        for event in fleet.history('hire-ledger-0')
        if event['event'] == 'run' and event['path'] == '/sledges/7'
    ]
    assert len(run_events) == 1
    assert run_events[0]['query'] == {'day': 'friday'}
    assert run_events[0]['headers']['x-note'] == 'coach group'
    assert key not in str(run_events)
    assert 'cookie' not in run_events[0]['headers']


def test_idempotency_key_runs_only_once(fleet: Fleet) -> None:
    headers = {'Idempotency-Key': 'once-only'}
    first = fleet.chat('gateway-0', 'counter', 'once', headers)
    duplicate = fleet.chat('gateway-1', 'counter', 'once', headers)
    other = fleet.chat('gateway-1', 'coaches', 'once', headers)
    assert first.status == 200
    assert duplicate.status == 409
    assert duplicate.json()['error']['code'] == 'idempotency_key_used'
    assert other.status == 200


def test_metrics_and_explanation_of_a_request(fleet: Fleet) -> None:
    answer = fleet.chat('gateway-0', 'counter', 'why there?')
    text = call('GET', f'{fleet.url("gateway-0")}/metrics').body.decode()
    assert 'verbenamux_requests_total{outcome="whole"}' in text
    assert 'verbenamux_time_to_first_token_seconds{quantile="0.95"}' in text
    log = fleet.process_by_name['gateway-0'].log_path
    explanation = fleet.ctl('explain', answer.headers['x-request-id'], str(log))
    assert 'went to engine-' in explanation
    assert 'ended as whole after 1 attempts' in explanation


def test_key_is_granted_and_withdrawn_by_the_command_line(
    fleet: Fleet,
) -> None:
    base = str(fleet.version)
    key = fleet.ctl('keys', 'grant', 'counter', '--base', base).strip()
    fleet.version += 1
    fleet.ctl(
        'wait',
        str(fleet.version),
        '--gateway',
        fleet.address_by_name['gateway-0'],
    )
    url = f'{fleet.url("gateway-0")}/v1/models'
    headers = {'Authorization': f'Bearer {key}'}
    assert call('GET', url, headers=headers).status == 200
    digest = hashlib.sha256(key.encode()).hexdigest()
    fleet.ctl('keys', 'withdraw', digest)
    wait_until(
        lambda: call('GET', url, headers=headers).status == 401,
        'the key to stop working',
        5,
    )
    refused = call('GET', url, headers=headers)
    assert refused.json()['error']['code'] == 'key_withdrawn'


def test_stale_base_is_a_conflict_that_names_the_version(fleet: Fleet) -> None:
    path = fleet.folder / 'stale.json'
    path.write_text('[]')
    refused = fleet.run_ctl('patch', '--base', '0', str(path))
    assert refused.returncode == 3
    assert b'patch_conflict' in refused.stderr
    current = f'"current_version":{fleet.version}'
    assert current.encode() in refused.stderr
