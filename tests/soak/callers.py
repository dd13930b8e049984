"""Callers that keep connections open, give up at times, and write it down."""

from datetime import timedelta

import gevent

from soak.evidence import Attempt
from soak.world import (
    GATEWAYS,
    MODELS,
    PROXY_PORT,
    STREAMS,
    TIMEOUT_MS_BY_KIND,
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
CALLERS = 8
PAUSE_SECONDS = 0.18
LEAVE_SHARE = 0.06
CONNECT_MOST = timedelta(seconds=1)
# A caller waits this much longer than the time that it names.
PATIENCE_SECONDS = 2.0


class Callers:
    """A number of callers, each with connections of its own."""

    def __init__(self, world, evidence, random):
        self.world = world
        self.evidence = evidence
        self.random = random
        self.tasks = []
        self.count = 0
        self.stopping = False

    def start(self):
        for number in range(CALLERS):
            self.tasks.append(gevent.spawn(self.call_on, number))

    def stop(self):
        self.stopping = True
        gevent.joinall(self.tasks, timeout=15)

    def call_on(self, number):
        pool = ConnectionPool(self.world.clock.elapsed)
        while not self.stopping:
            gevent.sleep(self.random.random() * 2 * PAUSE_SECONDS)
            gateway = self.random.choice(GATEWAYS)
            self.call(pool, number, gateway)

    def call(self, pool, number, gateway):
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
        )
        self.evidence.attempts.append(attempt)
        address = (self.world.host(gateway), PROXY_PORT)
        has_left = self.random.random() < LEAVE_SHARE
        try:
            self.exchange(pool, address, attempt, has_left)
        except ExchangeFailure as failure:
            attempt.failure = failure.message
        attempt.ended_at = self.world.now()

    def exchange(self, pool, address, attempt, has_left):
        connection = pool.take(address, CONNECT_MOST)
        try:
            exchange = connection.start(self.outgoing(attempt))
        except ExchangeFailure:
            connection.close()
            raise
        if has_left:
            gevent.sleep(self.random.random() * 0.1)
            attempt.has_left = True
            exchange.close()
            return
        try:
            self.read(exchange, attempt)
        except BaseException:
            exchange.close()
            raise
        pool.return_connection(address, exchange)

    def read(self, exchange, attempt):
        allowed = TIMEOUT_MS_BY_KIND[attempt.kind] / 1000
        patience = timedelta(seconds=allowed + PATIENCE_SECONDS)
        head = exchange.read_head(patience)
        attempt.status = head.status
        attempt.proof = head.headers.get('Server-Signature')
        attempt.retry_after = head.headers.get('Retry-After')
        while piece := exchange.read_piece(patience):
            attempt.body += piece
        attempt.is_whole = True

    def outgoing(self, attempt):
        fields = [
            ('Host', 'h'),
            ('Attempt-Id', attempt.request_id),
            ('Authorization', f'Bearer {attempt.key}'),
            ('Deadline-Ms', str(TIMEOUT_MS_BY_KIND[attempt.kind])),
            ('Content-Length', '4'),
        ]
        if attempt.kind in STREAMS:
            model = self.random.choice(MODELS)
            adapter = self.random.choice(('', '', '/a1', '/a2'))
            fields.append(('Model', f'{model}{adapter}'))
            fields.append(('Token-Usage', '20,6'))
        headers = Headers(tuple(fields))
        return Outgoing('POST', PATHS[attempt.kind], headers, b'body')
