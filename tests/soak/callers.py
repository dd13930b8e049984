"""Callers that reuse connections, sometimes disconnect, and record results."""

from datetime import timedelta

import gevent

from soak.evidence import Attempt
from soak.targets import DEADLY_PART
from soak.world import (
    GATEWAYS,
    MODELS,
    PROXY_PORT,
    STREAMS,
)
from verbenamux_http.client import ConnectionPool, Outgoing
from verbenamux_http.errors import ExchangeFailure
from verbenamux_http.headers import Headers

PATHS = {
    'order': '/order/x',
    'look': '/look/x',
    'stream': '/model/x',
    'patient': '/patient/x',
}
CALLER_COUNT = 8
MEAN_PAUSE_SECONDS = 0.18
DISCONNECT_FRACTION = 0.06
DEADLY_FRACTION = 0.3
CONNECT_TIMEOUT = timedelta(seconds=1)
# A caller waits this much longer than the deadline that it sends.
EXTRA_TIMEOUT_SECONDS = 2.0


class Callers:
    """Concurrent callers, each with its own connections."""

    def __init__(self, world, evidence, random):
        self.world = world
        self.evidence = evidence
        self.random = random
        self.tasks = []
        self.count = 0
        self.stopping = False

    def start(self):
        for number in range(CALLER_COUNT):
            self.tasks.append(gevent.spawn(self.run_caller, number))

    def stop(self):
        self.stopping = True
        gevent.joinall(self.tasks, timeout=15)

    def run_caller(self, number):
        pool = ConnectionPool(self.world.clock.elapsed)
        while not self.stopping:
            gevent.sleep(self.random.random() * 2 * MEAN_PAUSE_SECONDS)
            gateway = self.random.choice(GATEWAYS)
            self.send_request(pool, number, gateway)

    def send_request(self, pool, number, gateway):
        kind = self.random.choice(('order', 'order', 'look', 'stream'))
        key = self.random.choice(tuple(self.world.all_keys))
        self.count += 1
        if kind == 'stream' and self.count % 2:
            kind = 'patient'
        attempt = Attempt(
            f'{number}-{self.count}',
            kind,
            key,
            self.world.all_keys[key],
            gateway,
            self.world.now(),
            self.world.timeout_ms_by_kind[kind] / 1000,
        )
        has_disconnected = self.random.random() < DISCONNECT_FRACTION
        self.send(pool, attempt, has_disconnected=has_disconnected)

    def send(self, pool, attempt, *, has_disconnected=False):
        """Send a request and record how it ends."""
        self.evidence.attempts.append(attempt)
        address = (self.world.host(attempt.gateway), PROXY_PORT)
        try:
            self.exchange(pool, address, attempt, has_disconnected)
        except ExchangeFailure as failure:
            attempt.failure = failure.message
        attempt.ended_at = self.world.now()

    def exchange(self, pool, address, attempt, has_disconnected):
        connection = pool.take(address, CONNECT_TIMEOUT)
        try:
            exchange = connection.start(self.make_request(attempt))
        except ExchangeFailure:
            connection.close()
            raise
        if has_disconnected:
            gevent.sleep(self.random.random() * 0.1)
            attempt.has_disconnected = True
            exchange.close()
            return
        try:
            self.read_answer(exchange, attempt)
        except BaseException:
            exchange.close()
            raise
        pool.return_connection(address, exchange)

    def read_answer(self, exchange, attempt):
        timeout = timedelta(
            seconds=attempt.timeout_seconds + EXTRA_TIMEOUT_SECONDS
        )
        head = exchange.read_head(timeout)
        attempt.status = head.status
        attempt.proof = head.headers.get('Server-Signature')
        attempt.retry_after = head.headers.get('Retry-After')
        while piece := exchange.read_piece(timeout):
            attempt.body += piece
        attempt.is_whole = True

    def make_request(self, attempt):
        header_fields = [
            ('Host', 'h'),
            ('Attempt-Id', attempt.request_id),
            ('Authorization', f'Bearer {attempt.key}'),
            (
                'Deadline-Ms',
                str(round(attempt.timeout_seconds * 1000)),
            ),
            ('Content-Length', '4'),
        ]
        if attempt.kind in STREAMS:
            model = self.random.choice(MODELS)
            adapter = self.random.choice(('', '', '/a1', '/a2'))
            header_fields.append(('Model', f'{model}{adapter}'))
            header_fields.append(('Token-Usage', '20,6'))
            if self.world.is_poisoned:
                attempt.prompt = self.draw_prompt()
                header_fields.append(('Prompt-Prefix', attempt.prompt))
        headers = Headers(tuple(header_fields))
        return Outgoing('POST', PATHS[attempt.kind], headers, b'body')

    def draw_prompt(self):
        """Return a shared part, at times the deadly one, and one of its own."""
        is_deadly = self.random.random() < DEADLY_FRACTION
        deadly = f'{DEADLY_PART}:5,' if is_deadly else ''
        return f'shared:5,{deadly}own{self.count}:10'
