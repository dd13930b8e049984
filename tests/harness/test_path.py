"""The whole path through separate processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from verbenamux_harness.fleet import Fleet, running
from verbenamux_harness.shapes import nakhla
from verbenamux_harness.web import call

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


def test_stale_base_is_a_conflict_that_names_the_version(fleet: Fleet) -> None:
    path = fleet.folder / 'stale.json'
    path.write_text('[]')
    refused = fleet.try_ctl('patch', '--base', '0', str(path))
    assert refused.returncode == 3
    assert b'patch_conflict' in refused.stderr
    assert b'"current_version":1' in refused.stderr
