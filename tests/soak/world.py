"""The soak environment: store, targets, proxies and real programs."""

import json
import sys
from datetime import timedelta
from pathlib import Path
from random import Random

import gevent
from gevent.pywsgi import WSGIServer

from soak.targets import (
    ADAPTER_PLACES,
    ENGINE_MB,
    LOAD_SECONDS,
    MODEL_MB,
    Book,
    Engine,
    Plain,
)
from verbenamux_contracts.clock import SystemClock
from verbenamux_harness.processes import INITIAL_ENVIRONMENT, Process
from verbenamux_http.client import ConnectionPool, Outgoing, call
from verbenamux_http.errors import ExchangeFailure
from verbenamux_http.headers import Headers
from verbenamux_platform.store import RECORD_LENGTH, keyed_record
from verbenamux_standin.log import Contents, log_route
from verbenamux_standin.relay import Cuts, Line, Relay
from verbenamux_standin.web import Faults, Request, make_application

LOG_RETENTION = timedelta(hours=1)
READY_CALL_TIMEOUT = timedelta(seconds=2)
GATEWAYS = ('gateway-1', 'gateway-2', 'gateway-3')
KEEPERS = ('keeper-1', 'keeper-2')
PLAINS = ('plain-1', 'plain-2', 'plain-3')
MODELS = ('m1', 'm2', 'm3', 'm4')
STORE_PORT, CALLERS_PORT, READY_PORT = 7000, 8000, 8001
PEER_PORT, METRICS_PORT, APP_PORT, PROXY_PORT = 8002, 8003, 8004, 9000
HEARTBEAT_INTERVAL_SECONDS = 0.5
# The bounds that the programs are configured with and the checks enforce.
BOUNDS = {
    'grace_s': 8,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_extra_retries': 56,
    'budget_window_s': 10,
    'ceiling_window_s': 5,
    'ceiling_overage': 1.1,
}
# The deadlines that callers send. `patient` streams may wait for a model for
# longer than a gateway takes to stop.
TIMEOUT_MS_BY_KIND = {
    'order': 4000,
    'look': 4000,
    'stream': 4000,
    'patient': 12_000,
}
OBJECTIVE_MS_BY_KIND = {
    'order': 1000,
    'look': 1000,
    'stream': 1000,
    'patient': 4000,
}
STREAMS = frozenset(('stream', 'patient'))
RATE, BURST = 30.0, 60.0


class World:
    """The environment of one soak run, on its own loopback network."""

    def __init__(
        self,
        folder: Path,
        slot: int,
        random: Random,
        gateways: tuple[str, ...] = GATEWAYS,
        plains: tuple[str, ...] = PLAINS,
    ):
        self.folder = folder
        self.gateways = gateways
        self.plains = plains
        self.net = f'127.{slot}'
        self.random = random
        self.clock = SystemClock()
        self.book = Book()
        self.faults = Faults()
        self.all_keys = {}
        self.keys = {'kept': 'w1', 'limited': 'w2', 'doomed-1': 'w1'}
        self.version = 0
        self.plain_service = 'ledger'
        self.plain_class = Plain
        self.stream_service = 'engine'
        # Without proxies an address refuses while its target is away.
        self.are_targets_proxied = True
        self.max_attempts = 2
        self.timeout_ms_by_kind = TIMEOUT_MS_BY_KIND
        self.objective_ms_by_kind = OBJECTIVE_MS_BY_KIND
        self.targets = {}
        self.targets_without_heartbeat = set()
        self.is_poisoned = False
        self.programs = {}
        self.beating = None
        self.pool = ConnectionPool(self.clock.elapsed)
        self.contents = Contents()
        self.puts = []

    def now(self):
        return self.clock.elapsed().total_seconds()

    def host(self, name):
        kind, number = name.split('-')
        block = ('gateway', 'keeper', 'plain').index(kind)
        return f'{self.net}.{block}.{number}'

    def start(self, programs=None):
        """Start the environment and the named programs, by default all."""
        if programs is None:
            programs = (*KEEPERS, *self.gateways)
        self.start_store()
        for name in self.plains:
            address = f'{self.host(name)}:{APP_PORT}'
            service = 'ledger' if name != 'plain-3' else 'archive'
            self.targets[name] = self.plain_class(
                self.book, self.clock, address, service
            )
        for name in KEEPERS:
            address = f'{self.host(name)}:{APP_PORT}'
            engine = Engine(self.book, self.clock, address, 'engine')
            self.targets[name] = engine
        for target in self.targets.values():
            target.random = self.random
            target.start()
        self.relay = Relay(tuple(self.lines()))
        self.relay.start()
        self.put_config()
        self.beating = gevent.spawn(self.send_heartbeats)
        for name in programs:
            self.programs[name] = self.prepare(name)
            self.programs[name].start()
        with gevent.Timeout(30):
            while not all(map(self.is_ready, programs)):
                gevent.sleep(0.1)
        for name in programs:
            self.write_settings(name, is_first_start=False)

    def start_store(self):
        self.route_store = log_route(self.clock, LOG_RETENTION, self.contents)
        application = make_application(self.route_store, self.faults)
        address = (f'{self.net}.9.1', STORE_PORT)
        self.store_server = WSGIServer(
            address,
            application,
            log=None,
            error_log=None,
        )
        self.store_server.start()

    def lines(self):
        """Yield the proxied lines to the store, targets and gateways."""
        for name in (*self.gateways, *KEEPERS):
            yield Line(
                f'store>{name}',
                f'{self.host(name)}:{STORE_PORT}',
                f'{self.net}.9.1:{STORE_PORT}',
            )
        for name in self.targets:
            host = self.host(name)
            yield Line(name, f'{host}:{PROXY_PORT}', f'{host}:{APP_PORT}')
        for name in self.gateways:
            host = self.host(name)
            yield Line(name, f'{host}:{PROXY_PORT}', f'{host}:{CALLERS_PORT}')

    def prepare(self, name):
        path = self.write_settings(name, is_first_start=True)
        role = name.split('-')[0]
        return Process(
            name,
            [sys.executable, '-m', f'verbenamux_platform.run_{role}'],
            self.folder / f'{name}.log',
            {**INITIAL_ENVIRONMENT, 'VERBENAMUX_BOOT': str(path)},
        )

    def write_settings(self, name, *, is_first_start):
        """Write a program's settings for its next start; return the path."""
        host = self.host(name)
        settings = {
            'bootstrap': is_first_start,
            'node_name': name,
            'ip': host,
            'zone': 'z1' if name.endswith('1') else 'z2',
            'internal_ports': [PEER_PORT, METRICS_PORT],
            'platform': {'address': f'{host}:{STORE_PORT}'},
            'bounds': BOUNDS,
        }
        if name in self.gateways:
            settings['listen'] = {
                'frontend': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{READY_PORT}',
            }
        else:
            settings |= {'app': f'{host}:{APP_PORT}', 'service': 'engine'}
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        return path

    def put(self, topic, key, value):
        """Write a record as the platform would; return when it was stored."""
        encoded = b'' if value is None else json.dumps(value).encode()
        record = keyed_record(key, encoded)
        self.puts.append((topic, record))
        self.append(topic, record)
        return self.now()

    def append(self, topic, record):
        # Faults do not affect writes of the operator and the targets.
        self.call_store(
            'POST',
            '/api/log-append',
            topic,
            RECORD_LENGTH.pack(len(record)) + record,
        )

    def go_back(self, earlier, put_count):
        """Lose what the store got since a copy of it was made.

        What the operator and the targets wrote since is written again.
        """
        self.contents.go_back(earlier)
        for topic, record in self.puts[put_count:]:
            self.append(topic, record)

    def call_store(self, method, path, topic, body=b'', **query):
        """Call the store directly, bypassing its faults."""
        query_parameters = {'topic': topic, 'part': '0'} | query
        reply = self.route_store(
            Request(method, path, query_parameters, {}, body)
        )
        assert reply.status == 200, reply

    def put_config(self):
        self.version += 1
        return self.put('keyed.op', 'config', self.config())

    def config(self):
        engine = {
            'slots': 8,
            'kv_cache_tokens': 100_000,
            'weights_mb': ENGINE_MB,
            'adapter_capacity': ADAPTER_PLACES,
            'loads_per_s': 20,
            'models': [
                {
                    'name': name,
                    'weights_mb': MODEL_MB,
                    'load_time_s': LOAD_SECONDS,
                    'adapters': 2,
                }
                for name in MODELS
            ],
        }
        tenants = [
            {
                'name': workspace,
                'api_keys': [
                    key
                    for key, owner in self.keys.items()
                    if owner == workspace
                ],
                'rate_per_s': RATE if workspace == 'w2' else 0,
                'burst': BURST if workspace == 'w2' else 0,
            }
            for workspace in ('w1', 'w2')
        ]
        routes = [
            self.route('order', '/order/', 'non_idempotent'),
            self.route('look', '/look/', 'idempotent'),
            self.route('stream', '/model/', 'streaming'),
            self.route('patient', '/patient/', 'streaming'),
        ]
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': 'ledger'},
                {'name': 'archive'},
                {'name': 'engine', 'engine': engine},
            ],
            'tenants': tenants,
        }

    def route(self, kind, prefix, route_kind):
        """Return one route of the configuration."""
        is_stream = route_kind == 'streaming'
        return {
            'name': prefix.strip('/'),
            'hostname': 'h',
            'path_prefix': prefix,
            'route_kind': route_kind,
            'timeout_ms': self.timeout_ms_by_kind[kind],
            'target_latency_ms': self.objective_ms_by_kind[kind],
            'service': (
                self.stream_service if is_stream else self.plain_service
            ),
            'max_attempts': self.max_attempts,
            'resumable': is_stream,
        }

    def entry(self, name, state='ready'):
        target = self.targets[name]
        held = getattr(target, 'adapters_by_model', {})
        port = PROXY_PORT if self.are_targets_proxied else APP_PORT
        return {
            'service': target.service,
            'address': f'{self.host(name)}:{port}',
            'zone': 'z1' if name.endswith('1') else 'z2',
            'slots': target.slots,
            'state': state,
            'sequence': int(self.now() * 10),
            'models': [{'name': model} for model in held],
            'born': getattr(target, 'born', target.starts),
        }

    def send_heartbeats(self):
        """Write the heartbeats of all running targets."""
        while True:
            for name, target in self.targets.items():
                is_paused = (
                    name in self.targets_without_heartbeat
                    or target.server is None
                )
                if not is_paused:
                    self.put('keyed.servers', target.instance, self.entry(name))
            gevent.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def is_ready(self, name):
        outgoing = Outgoing(
            'GET',
            '/api/readiness',
            Headers((('Host', 'h'),)),
        )
        port = READY_PORT if name in self.gateways else METRICS_PORT
        address = (self.host(name), port)
        try:
            head, _ = call(self.pool, address, outgoing, READY_CALL_TIMEOUT)
        except ExchangeFailure:
            return False
        return head.status == 200

    def apply(self, cuts: Cuts):
        self.relay.apply(cuts)

    def stop(self):
        """Stop the programs; return their exit codes."""
        codes = {}
        for name, process in self.programs.items():
            codes[name] = process.stop()
        if self.beating is not None:
            self.beating.kill()
        self.relay.stop()
        for target in self.targets.values():
            if target.server is not None:
                target.crash()
        self.store_server.stop(timeout=0)
        return codes
