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
from verbenamux_standin.engine import EngineSpeed, Generator
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
ATTEMPTS_PATH = '/v1/attempts'
STORE_TIMEOUT_SECONDS = 60
KV_PATH = '/v1/kv'
MAX_REPORTS = 64


TimedReport = tuple[timedelta, dict[str, Any]]


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order to load or unload a model or adapter."""

    order_id: str
    fencing: int
    action: str
    name: str
    version: str
    memory_mb: int
    adapter: bool = False


@dataclass(slots=True)
class Engine:
    """One engine with its memory, generator and reports."""

    pace: EngineSpeed
    clock: Clock
    history: History
    faults: Faults
    memory: Memory
    generator: Generator
    store: HTTPClient | None
    report_lag: timedelta
    fencing: bool
    highest_fencing: int = 0
    reports: deque[TimedReport] = field(
        default_factory=lambda: deque(maxlen=MAX_REPORTS),
    )

    def route(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path in {CHAT_PATH, TEXT_PATH}:
            return self._handle_completion(request)
        if request.path.startswith(ATTEMPTS_PATH):
            return self._handle_attempts(request)
        if request.path.startswith(KV_PATH):
            return self._handle_kv(request)
        return self._handle_other(request)

    def record_report(self) -> None:
        """Record a report now; `/report` returns it after `report_lag`."""
        self.reports.append((self.clock.elapsed(), self._report()))

    def _handle_other(self, request: Request) -> Reply:
        if request.path == '/orders':
            return self._handle_order(request)
        if request.path == '/report':
            return json_reply(self._lagged_report())
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

    def _handle_completion(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body, type=CompletionBody)
        except msgspec.MsgspecError as error:
            return json_reply({'message': str(error)}, BAD_REQUEST)
        attempt_id = request.header_by_name.get('x-request-id', '')
        if attempt_id in self.generator.tombstones:
            return json_reply({'message': 'cancelled'}, CONFLICT)
        if not self._is_loaded(body):
            return json_reply({'message': f'{body.model} not held'}, NOT_FOUND)
        attempt = self.generator.attempt_by_id.get(attempt_id)
        if attempt is None:
            attempt = self.generator.start(
                request,
                body,
                chat=request.path == CHAT_PATH,
            )
        pieces = self.generator.read(attempt, attempt.first)
        return Reply(headers=STREAM_HEADERS, pieces=pieces)

    def _is_loaded(self, body: CompletionBody) -> bool:
        if not self.memory.has_ready(body.model):
            return False
        return not body.adapter or self.memory.has_ready(body.adapter)

    def _handle_attempts(self, request: Request) -> Reply:
        parts = request.path.removeprefix(ATTEMPTS_PATH).strip('/').split('/')
        if parts[-1] == 'cancel':
            run = self.generator.cancel(parts[0])
            return json_reply({'run': run})
        attempt = self.generator.attempt_by_id.get(parts[0])
        if attempt is None or attempt.cancelled:
            return json_reply({}, NOT_FOUND)
        start = request.integer('from')
        pieces = self.generator.read(attempt, start)
        return Reply(headers=STREAM_HEADERS, pieces=pieces)

    def _handle_kv(self, request: Request) -> Reply:
        if request.method == 'GET':
            return json_reply(self.generator.cache.blocks())
        self.generator.cache.store(
            msgspec.json.decode(request.body, type=list[int]),
        )
        return json_reply({}, ACCEPTED)

    def _handle_order(self, request: Request) -> Reply:
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
        return json_reply({'state': self._execute_order(order)}, ACCEPTED)

    def _execute_order(self, order: Order) -> str:
        """Start an order; a model load continues after this returns."""
        if order.action == 'unload':
            self.memory.drop(order.name, order.version)
            return 'done'
        if (order.name, order.version) in self.memory.residents:
            return 'began'
        resident = Resident(
            order.name,
            order.version,
            order.memory_mb,
            adapter=order.adapter,
        )
        self.memory.begin_load(resident)
        if order.adapter:
            self._finish_load(resident)
            return 'done'
        gevent.spawn(self._finish_load, resident)
        return 'began'

    def _finish_load(self, resident: Resident) -> None:
        kind = 'adapters' if resident.adapter else 'weights'
        if self.store is not None:
            self._fetch_from_store(
                f'/{kind}/{resident.name}/{resident.version}'
            )
        self.memory.end_load(resident)

    def _fetch_from_store(self, path: str) -> None:
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
                resident.as_report()
                for resident in self.memory.residents.values()
            ],
            'used_mb': self.memory.used_mb,
            'capacity_mb': self.memory.capacity_mb,
            'slots': self.pace.slots,
            'prefill_tokens_per_second': self.pace.prefill_tokens_per_second,
            'decode_ms': self.pace.decode_ms,
            'running': self.generator.running,
            'waiting': self.generator.waiting,
        }

    def _lagged_report(self) -> dict[str, Any]:
        latest_visible = self.clock.elapsed() - self.report_lag
        visible_reports = [
            report
            for taken_at, report in self.reports
            if taken_at <= latest_visible
        ]
        if visible_reports:
            return visible_reports[-1]
        return self.reports[0][1] if self.reports else self._report()
