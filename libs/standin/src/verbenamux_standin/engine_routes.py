"""The HTTP routes of the engine stand-in."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed

from verbenamux_contracts.clock import Clock
from verbenamux_standin.engine import EnginePace, Generator
from verbenamux_standin.generation import CompletionBody
from verbenamux_standin.history import History
from verbenamux_standin.memory import Memory, Resident
from verbenamux_standin.web import (
    ACCEPTED,
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    Faults,
    Reply,
    Request,
    json_reply,
)

STREAM_HEADERS = (('Content-Type', 'text/event-stream'),)
CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
ATTEMPTS = '/v1/attempts'
STORE_TIMEOUT = 60
KV_PATH = '/v1/kv'
REPORTS_KEPT = 64


TakenReport = tuple[timedelta, dict[str, Any]]


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order to change what the engine holds."""

    order_id: str
    fencing: int
    action: str
    name: str
    version: str
    memory_mb: int
    adapter: bool = False


@dataclass(slots=True)
class Engine:
    """One engine: its memory, its generator and its reports."""

    pace: EnginePace
    clock: Clock
    history: History
    faults: Faults
    memory: Memory
    generator: Generator
    store: HTTPClient | None
    report_lag: timedelta
    fencing: bool
    highest_fencing: int = 0
    reports: deque[TakenReport] = field(
        default_factory=lambda: deque(maxlen=REPORTS_KEPT),
    )

    def route(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path in {CHAT_PATH, TEXT_PATH}:
            return self._complete(request)
        if request.path.startswith(ATTEMPTS):
            return self._attempts(request)
        if request.path.startswith(KV_PATH):
            return self._kv(request)
        return self._inspect(request)

    def watch(self) -> None:
        """Take a report now; readers see it after the lag."""
        self.reports.append((self.clock.elapsed(), self._report()))

    def _inspect(self, request: Request) -> Reply:
        if request.path == '/orders':
            return self._order(request)
        if request.path == '/report':
            return json_reply(self._lagged())
        if request.path == '/cache/events':
            after = request.integer('after')
            return json_reply(
                [
                    event
                    for event in self.generator.cache.events
                    if event.sequence > after
                ],
            )
        if request.path == '/cache/blocks':
            return json_reply(self.generator.cache.blocks())
        if request.path == '/history':
            return self.history.reply()
        return json_reply({}, NOT_FOUND)

    def _complete(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body, type=CompletionBody)
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        attempt_id = request.header_by_name.get('x-request-id', '')
        if attempt_id in self.generator.tombstones:
            return json_reply({'message': 'cancelled'}, CONFLICT)
        if not self._ready(body):
            return json_reply({'message': f'{body.model} not held'}, NOT_FOUND)
        known = self.generator.attempt_by_id.get(attempt_id)
        if known is None:
            known = self.generator.start(
                request,
                body,
                chat=request.path == CHAT_PATH,
            )
        pieces = self.generator.read(known, known.first)
        return Reply(headers=STREAM_HEADERS, pieces=pieces)

    def _ready(self, body: CompletionBody) -> bool:
        if not self.memory.holds(body.model):
            return False
        return not body.adapter or self.memory.holds(body.adapter)

    def _attempts(self, request: Request) -> Reply:
        parts = request.path.removeprefix(ATTEMPTS).strip('/').split('/')
        if parts[-1] == 'cancel':
            run = self.generator.cancel(parts[0])
            return json_reply({'run': run})
        attempt = self.generator.attempt_by_id.get(parts[0])
        if attempt is None or attempt.cancelled:
            return json_reply({}, NOT_FOUND)
        start = request.integer('from')
        pieces = self.generator.read(attempt, start)
        return Reply(headers=STREAM_HEADERS, pieces=pieces)

    def _kv(self, request: Request) -> Reply:
        if request.method == 'GET':
            return json_reply(self.generator.cache.blocks())
        self.generator.cache.store(
            msgspec.json.decode(request.body, type=list[int]),
        )
        return json_reply({}, ACCEPTED)

    def _order(self, request: Request) -> Reply:
        try:
            order = msgspec.json.decode(request.body, type=Order)
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        self.history.write('order', **msgspec.structs.asdict(order))
        if self.fencing and order.fencing < self.highest_fencing:
            return json_reply({'highest': self.highest_fencing}, CONFLICT)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        if self.faults.lose_orders:
            self.faults.lose_orders -= 1
            return json_reply({}, ACCEPTED)
        return json_reply({'state': self._carry_out(order)}, ACCEPTED)

    def _carry_out(self, order: Order) -> str:
        """Begin an order; only small loads are done when this returns."""
        if order.action == 'unload':
            self.memory.drop(order.name, order.version)
            return 'done'
        if (order.name, order.version) in self.memory.residents:
            return 'began'
        row = Resident(
            order.name,
            order.version,
            order.memory_mb,
            adapter=order.adapter,
        )
        self.memory.begin(row)
        if order.adapter:
            self._load(row)
            return 'done'
        gevent.spawn(self._load, row)
        return 'began'

    def _load(self, row: Resident) -> None:
        kind = 'adapters' if row.adapter else 'weights'
        if self.store is not None:
            self._fetch(f'/{kind}/{row.name}/{row.version}')
        self.memory.end(row)

    def _fetch(self, path: str) -> None:
        while True:
            try:
                self.store.get(path).read()  # type: ignore[union-attr]
            except (OSError, HTTPConnectionClosed):
                gevent.sleep(1)
            else:
                return

    def _report(self) -> dict[str, Any]:
        return {
            'residents': [
                row.as_report() for row in self.memory.residents.values()
            ],
            'used_mb': self.memory.used_mb,
            'capacity_mb': self.memory.capacity_mb,
            'slots': self.pace.slots,
            'prefill_tokens_per_second': self.pace.prefill_tokens_per_second,
            'decode_ms': self.pace.decode_ms,
            'running': self.generator.running,
            'waiting': self.generator.waiting,
        }

    def _lagged(self) -> dict[str, Any]:
        newest = self.clock.elapsed() - self.report_lag
        old = [report for taken, report in self.reports if taken <= newest]
        if old:
            return old[-1]
        return self.reports[0][1] if self.reports else self._report()
