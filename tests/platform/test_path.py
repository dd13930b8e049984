"""The real programs against stand-ins that speak the platform's protocol."""

import json
import os
import signal
import subprocess
import sys
from datetime import timedelta

import gevent
import pytest
from gevent import socket
from gevent.pywsgi import WSGIServer

from verbenamux_contracts.clock import SystemClock
from verbenamux_http.client import ConnectionPool, Outgoing, call
from verbenamux_http.errors import ExchangeFailure
from verbenamux_http.headers import Headers
from verbenamux_platform.store import keyed_record, open_store
from verbenamux_standin.log import log_route
from verbenamux_standin.web import Faults, make_application

pytestmark = pytest.mark.processes

HOUR = timedelta(hours=1)
SOON = timedelta(seconds=5)
KEEPER_HOST = '127.0.0.2'
ENGINE_MODELS = [
    {'name': 'm', 'weights_mb': 70.0, 'load_time_s': 0.3, 'adapters': 1},
    {'name': 'n', 'weights_mb': 70.0, 'load_time_s': 0.3, 'adapters': 0},
]


def free_port(host='127.0.0.1'):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def config(version, keys):
    def route(prefix, kind, service):
        return {
            'name': f'r-{service}',
            'hostname': 'h',
            'path_prefix': prefix,
            'route_kind': kind,
            'timeout_ms': 6000,
            'target_latency_ms': 1500,
            'service': service,
            'max_attempts': 2,
        }

    engine = {
        'slots': 8,
        'kv_cache_tokens': 100_000,
        'weights_mb': 100.0,
        'adapter_capacity': 2,
        'loads_per_s': 10,
        'models': ENGINE_MODELS,
    }
    return {
        'version': version,
        'routes': [
            route('/plain/', 'non_idempotent', 'plain'),
            route('/model/', 'streaming', 'engine'),
        ],
        'services': [
            {'name': 'plain', 'max_connections': 10},
            {'name': 'engine', 'max_connections': 10, 'engine': engine},
        ],
        'tenants': [{'name': 'w', 'api_keys': keys}],
    }


class Plain:
    """A plain service that answers after a while."""

    def __init__(self):
        self.delay = 0
        self.seen = []
        self.server = WSGIServer(('127.0.0.1', 0), self.answer, log=None)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def answer(self, environ, start):
        self.seen.append(environ)
        gevent.sleep(self.delay)
        start('200 OK', [('Server-Signature', 'proof')])
        return [b'plain answer']


class Engine:
    """An engine that loads what it is ordered to, one model at a time."""

    def __init__(self):
        self.models = []
        self.orders = []
        self.ready_at = 0.0
        self.port = free_port(KEEPER_HOST)
        self.server = WSGIServer(
            (KEEPER_HOST, self.port), self.answer, log=None
        )
        self.server.start()
        self.address = f'{KEEPER_HOST}:{self.port}'

    def answer(self, environ, start):
        respond = {
            '/api/report': self.report,
            '/health': self.health,
            '/api/order': self.order,
        }.get(environ['PATH_INFO'], self.stream)
        return respond(environ, start)

    def is_busy(self):
        return SystemClock().elapsed().total_seconds() < self.ready_at

    def report(self, _environ, start):
        start('200 OK', [('Content-Type', 'application/json')])
        held = [{'name': name, 'adapters': []} for name in self.models]
        return [
            json.dumps(
                {
                    'models': [] if self.is_busy() else held,
                    'busy': self.is_busy(),
                    'sequence': len(self.orders),
                    'born': 1,
                },
            ).encode(),
        ]

    def health(self, _environ, start):
        start('200 OK', [('Instance-Id', 'e-1')])
        return [b'']

    def order(self, environ, start):
        order = json.loads(environ['wsgi.input'].read())
        if order['expect'] != len(self.orders) or self.is_busy():
            start('409 Conflict', [])
            return [b'']
        self.orders.append(order)
        if order['operation'] == 'loading':
            self.models.append(order['model'])
            self.ready_at = SystemClock().elapsed().total_seconds() + 0.3
        else:
            self.models.remove(order['model'])
        start('202 Accepted', [])
        return [b'']

    def stream(self, environ, start):
        if environ['HTTP_MODEL'] not in self.models or self.is_busy():
            start('421 Misdirected', [('Instance-Id', 'e-1')])
            return [b'']
        start('200 OK', [('Server-Signature', 'proof')])
        return [b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n']


class System:
    """A store, targets, and one process of each program."""

    def __init__(self, folder):
        self.folder = folder
        self.faults = Faults()
        application = make_application(
            log_route(SystemClock(), HOUR),
            self.faults,
        )
        self.store_server = WSGIServer(('127.0.0.1', 0), application, log=None)
        self.store_server.start()
        self.store_address = f'127.0.0.1:{self.store_server.server_port}'
        self.store = open_store(self.store_address, SystemClock().elapsed)
        self.plain = Plain()
        self.engine = Engine()
        self.callers = free_port()
        self.ready = free_port()
        self.peers = free_port()
        self.metrics = free_port()
        self.pool = ConnectionPool(SystemClock().elapsed)
        self.processes = {}

    def put(self, topic, key, value):
        record = keyed_record(key, json.dumps(value).encode())
        assert self.store.append(topic, record).unwrap() >= 0

    def put_targets(self):
        for name, service, address in (
            ('p-1', 'plain', self.plain.address),
            ('e-1', 'engine', self.engine.address),
        ):
            self.put(
                'keyed.servers',
                name,
                {
                    'service': service,
                    'address': address,
                    'zone': 'z',
                    'slots': 8,
                    'state': 'ready',
                },
            )

    def start(self, name, host, **more):
        settings = {
            'node_name': name,
            'ip': host,
            'zone': 'z',
            'internal_ports': [self.peers, self.metrics],
            'platform': {'address': self.store_address},
        } | more
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        with (self.folder / f'{name}.log').open('wb') as log_file:
            self.processes[name] = subprocess.Popen(
                (sys.executable, '-m', f'verbenamux_platform.run_{name}'),
                env=os.environ | {'VERBENAMUX_BOOT': str(path)},
                stdout=log_file,
                stderr=log_file,
            )

    def start_all(self):
        self.start(
            'gateway',
            '127.0.0.1',
            listen={
                'frontend': f'127.0.0.1:{self.callers}',
                'ready': f'127.0.0.1:{self.ready}',
            },
        )
        self.start(
            'keeper',
            KEEPER_HOST,
            app=self.engine.address,
            service='engine',
        )
        self.wait(self.is_ready)

    def is_ready(self):
        return self.get(self.ready, '/api/readiness')[0] == 200

    def get(self, port, path):
        outgoing = Outgoing('GET', path, Headers((('Host', 'h'),)))
        try:
            head, body = call(self.pool, ('127.0.0.1', port), outgoing, SOON)
        except ExchangeFailure:
            return None, b''
        return head.status, body

    def ask(self, path, key='k1', **fields):
        named = {
            'Host': 'h',
            'Attempt-Id': f'id-{len(self.plain.seen)}',
            'Authorization': f'Bearer {key}',
            'Content-Length': '0',
        } | {name.replace('_', '-'): text for name, text in fields.items()}
        outgoing = Outgoing('POST', path, Headers(tuple(named.items())))
        address = ('127.0.0.1', self.callers)
        head, body = call(self.pool, address, outgoing, SOON)
        return head.status, body

    def wait(self, condition):
        with gevent.Timeout(20):
            while not condition():
                gevent.sleep(0.05)

    def lines(self, name):
        written = (self.folder / f'{name}.log').read_text().splitlines()
        return [json.loads(line) for line in written]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store_server.stop()


@pytest.fixture
def system(tmp_path):
    made = System(tmp_path)
    yield made
    made.stop()


def test_a_request_from_end_to_end_through_real_processes(system):
    system.put('keyed.op', 'config', config(1, ['k1']))
    system.put_targets()
    system.put('keyed.servers', 'ghost', {'service': 'plain'})
    system.start_all()

    assert system.ask('/plain/x?y') == (200, b'plain answer')
    seen = system.plain.seen[0]
    assert seen['HTTP_TENANT'] == 'w'
    assert 'HTTP_AUTHORIZATION' not in seen
    assert system.ask('/none/')[0] == 404
    assert system.ask('/plain/', key='wrong')[0] == 401

    for model in ('m', 'n', 'm'):
        status, body = system.ask('/model/', Model=model, Token_Usage='10,5')
        assert status == 200, body
        assert body.count(b'data:') == 2
    orders = [
        (order['operation'], order['model']) for order in system.engine.orders
    ]
    assert orders[:3] == [
        ('loading', 'm'),
        ('unloading', 'm'),
        ('loading', 'n'),
    ]
    assert {order['fencing_token'] for order in system.engine.orders} == {1}

    status, page = system.get(system.metrics, '/metrics')
    assert status == 200
    assert b'catalog_version 1' in page

    system.put('keyed.op', 'config', config(2, ['k2']))
    system.wait(lambda: system.ask('/plain/')[0] == 401)
    assert system.ask('/plain/', key='k2')[0] == 200


def test_keys_are_refused_once_the_store_is_away_for_too_long(system):
    system.put('keyed.op', 'config', config(1, ['k1']))
    system.put_targets()
    system.start_all()
    assert system.ask('/plain/')[0] == 200
    system.faults.down = True
    gevent.sleep(1)
    assert system.ask('/plain/')[0] == 200
    gevent.sleep(5)
    before = len(system.plain.seen)
    assert system.ask('/plain/')[0] == 503
    assert len(system.plain.seen) == before
    system.faults.down = False
    system.wait(lambda: system.ask('/plain/')[0] == 200)


def test_a_stop_ends_what_is_open_and_tells_so(system):
    system.put('keyed.op', 'config', config(1, ['k1']))
    system.put_targets()
    system.start_all()
    system.plain.delay = 3.5
    asking = gevent.spawn(system.ask, '/plain/')
    gevent.sleep(0.2)
    process = system.processes['gateway']
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    gevent.sleep(0.2)
    assert system.get(system.ready, '/api/readiness')[0] == 503
    assert asking.get(timeout=6) == (200, b'plain answer')
    system.wait(lambda: process.poll() is not None)
    assert process.returncode == 0
    events = [line['event'] for line in system.lines('gateway')]
    for event in (
        'started',
        'catalog_adopted',
        'reloaded',
        'stopping',
        'stopped',
    ):
        assert event in events
