"""Consumers and a configuration for the cases."""

import threading
import time

from wire import ask

HOST = 'desk.example'
MODEL = 'm1'
ENGINE = 'desk-assist'
PLAIN = 'hire-ledger'


def configuration(routes, models=(MODEL,), size_mb=65100):
    """Return a configuration with an engine service and a plain one."""
    return {
        'version': 1,
        'routes': routes,
        'services': [
            {
                'name': ENGINE,
                'health_path': '/health',
                'max_connections': 370,
                'engine': {
                    'slots': 64,
                    'kv_cache_tokens': 283072,
                    'weights_mb': 200000,
                    'adapter_capacity': 8,
                    'loads_per_s': 1.4,
                    'models': [
                        {
                            'name': name,
                            'weights_mb': size_mb,
                            'load_time_s': 4.2,
                            'adapters': 0,
                            'adapter_size_mb': 12,
                        }
                        for name in models
                    ],
                },
            },
            {
                'name': PLAIN,
                'health_path': '/health',
                'max_connections': 110,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant-a', 'api_keys': ['key-a']}],
    }


def route(name, kind, service, **fields):
    """Return a route; its prefix is its name."""
    made = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 6000,
        'target_latency_ms': 800,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': service == ENGINE,
        'resumable': False,
    }
    if kind == 'streaming':
        made['gap_target_ms'] = 400
    return made | fields


class Callers:
    """Sends requests, each in a thread, and keeps their answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = {}
        self.sent_at = {}
        self.ended_at = {}
        self.threads = []
        self.number = 0

    def send(self, gateway, path, parts=None, body=b'', **options):
        """Send one request; return its id at once."""
        self.number += 1
        request_id = f'{options.pop("prefix", "r")}{self.number}'
        thread = threading.Thread(
            target=self._ask,
            args=(request_id, gateway, path, parts, body, options),
            daemon=True,
        )
        self.threads.append(thread)
        thread.start()
        return request_id

    def _ask(self, request_id, gateway, path, parts, body, options):
        deadline_ms = options.get('deadline_ms', 6000)
        headers = [
            ('Host', HOST),
            ('Attempt-Id', request_id),
            ('Deadline-Ms', deadline_ms),
            ('Authorization', 'Bearer key-a'),
            ('Content-Length', len(body)),
        ]
        if parts is not None:
            headers += [
                ('Model', options.get('model', MODEL)),
                ('Token-Usage', '1400,80'),
                ('Prompt-Prefix', ','.join(f'{part}:400' for part in parts)),
            ]
        fleet = self.fleet
        address = (fleet.gateway_host(gateway), fleet.front_port)
        self.sent_at[request_id] = fleet.now()
        fleet.note(f'consumer sends {request_id} to frontend-{gateway}: {path}')
        answer = ask(
            address,
            f'{options.get("method", "POST")} {path} HTTP/1.1',
            headers,
            body,
            deadline_ms / 1000 + 2,
        )
        self.answers[request_id] = answer
        self.ended_at[request_id] = fleet.now()
        ended = 'whole' if answer.complete else 'not whole'
        why = answer.malformed or answer.failure
        fleet.note(
            f'consumer gets for {request_id}: status {answer.status}, {ended},'
            f' {len(answer.body)} bytes {why}'
        )

    def wait(self, timeout):
        until = time.monotonic() + timeout
        for thread in self.threads:
            thread.join(max(until - time.monotonic(), 0))
