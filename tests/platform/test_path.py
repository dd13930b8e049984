"""The real programs against stand-ins that speak the platform's protocol."""

import json
import signal
from datetime import timedelta
from random import Random

import gevent
import pytest

from soak.world import BOUNDS, CALLERS_PORT, METRICS_PORT, World
from verbenamux_http.client import Outgoing, call
from verbenamux_http.headers import Headers

pytestmark = pytest.mark.processes

SOON = timedelta(seconds=8)
SLOT = 15
GATEWAY, KEEPER = 'gateway-1', 'keeper-1'


def send_request(world, path, key='kept', **fields):
    headers = {
        'Host': 'h',
        'Attempt-Id': f'id-{len(world.book.arrivals)}-{path}',
        'Authorization': f'Bearer {key}',
        'Content-Length': '0',
    } | {name.replace('_', '-'): text for name, text in fields.items()}
    outgoing = Outgoing('POST', path, Headers(tuple(headers.items())))
    address = (world.host(GATEWAY), CALLERS_PORT)
    head, body = call(world.pool, address, outgoing, SOON)
    return head.status, body


def wait(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.05)


def log_lines(world, name):
    text_lines = (world.folder / f'{name}.log').read_text().splitlines()
    return [json.loads(line) for line in text_lines]


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path, SLOT, Random(1))
    yield made
    made.stop()


def start(world):
    world.start((KEEPER, GATEWAY))


def test_a_request_from_end_to_end_through_real_processes(world):
    start(world)
    world.put('keyed.servers', 'ghost', {'service': 'ledger'})

    status, body = send_request(world, '/order/x?y')
    assert (status, body) == (200, b'answer to id-0-/order/x?y')
    assert world.book.runs[0].workspace == 'w1'
    assert 'HTTP_AUTHORIZATION' not in world.book.fields
    assert send_request(world, '/none/')[0] == 404
    assert send_request(world, '/order/', key='wrong')[0] == 401

    for model in ('m1', 'm2', 'm3'):
        status, body = send_request(
            world, '/model/', Model=model, Token_Usage='10,5'
        )
        assert status == 200, body
        assert body.count(b'data:') == 6
        gevent.sleep(1.3)
    orders = [
        (order['operation'], order['model'])
        for _at, _instance, order in world.book.orders
    ]
    assert orders[:2] == [('loading', 'm1'), ('loading', 'm2')]
    assert orders[2][0] == 'unloading'
    assert orders[3] == ('loading', 'm3')
    tokens = {order['fencing_token'] for _, _, order in world.book.orders}
    assert tokens == {1}

    outgoing = Outgoing('GET', '/metrics', Headers((('Host', 'h'),)))
    address = (world.host(GATEWAY), METRICS_PORT)
    head, page = call(world.pool, address, outgoing, SOON)
    assert head.status == 200
    assert f'catalog_version {world.version}'.encode() in page
    assert b'queue{quantile' in page

    world.keys = {'other': 'w1'}
    world.put_config()
    wait(lambda: send_request(world, '/order/')[0] == 401)
    assert send_request(world, '/order/', key='other')[0] == 200


def test_keys_are_refused_once_the_store_is_away_for_too_long(world):
    start(world)
    assert send_request(world, '/order/')[0] == 200
    world.beating.kill()
    world.faults.down = True
    gevent.sleep(1)
    assert send_request(world, '/order/')[0] == 200
    gevent.sleep(BOUNDS['revoke_ms'] / 1000)
    before = len(world.book.runs)
    assert send_request(world, '/order/')[0] == 503
    assert len(world.book.runs) == before
    world.faults.down = False
    wait(lambda: send_request(world, '/order/')[0] == 200)


def test_a_stop_ends_what_is_open_and_tells_so(world):
    start(world)
    for target in world.targets.values():
        target.slow = 3.5
    request_task = gevent.spawn(send_request, world, '/order/')
    gevent.sleep(0.2)
    process = world.programs[GATEWAY]
    process.popen.send_signal(signal.SIGHUP)
    process.terminate()
    gevent.sleep(0.2)
    assert not world.is_ready(GATEWAY)
    assert request_task.get(timeout=6)[0] == 200
    wait(lambda: not process.running)
    assert process.popen.returncode == 0
    events = [line['event'] for line in log_lines(world, GATEWAY)]
    for event in (
        'started',
        'catalog_adopted',
        'reloaded',
        'stopping',
        'stopped',
    ):
        assert event in events
