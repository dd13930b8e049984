"""Stand-ins of targets that record all requests they receive."""

import contextlib
import hashlib
import json
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

ENGINE_MB = 200.0
MODEL_MB = 70.0
ADAPTER_PLACES = 2
LOAD_SECONDS = 0.4
EVENTS = 6
EVENT_SECONDS = 0.04
MAX_POOL_SIZE = 500
DEADLY_PART = 'dead1'
# A connection that a crash left open is closed by then.
MAX_CRASH_SECONDS = 1.0
# How long a target wants nothing, of those that say so.
HOLD_SECONDS = 2.5
# How long behind a refusal its copy is written.
COPY_DELAY_SECONDS = (0.02, 0.15)


@dataclass(slots=True)
class Run:
    """One run of a request at a target; times are monotonic seconds."""

    request_id: str
    target: str
    service: str
    workspace: str
    arrived_at: float
    ended_at: float | None = None
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it reached a target; times are monotonic seconds."""

    at: float
    request_id: str
    target: str
    service: str
    deadline_ms: int | None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A 503 of a target; times are monotonic seconds.

    With `wanted_seconds` it wants nothing for so long from who sent it.
    """

    at: float
    request_id: str
    target: str
    wanted_seconds: float | None


@dataclass(slots=True)
class Book:
    """The records of all targets."""

    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    orders: list[tuple[float, str, dict]] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    deadly_arrivals: list[tuple[float, str]] = field(default_factory=list)
    deadly_crashes: list[float] = field(default_factory=list)
    fields: set[str] = field(default_factory=set)


def whole_answer(request_id):
    """Return the body with which a plain target answers a request."""
    return f'answer to {request_id}'.encode()


def event_bytes(request_id, number):
    """Return one event of the stream that answers a request."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


def whole_number(text):
    """Return the whole number that a header states, None without one."""
    return int(text) if text is not None and text.isdigit() else None


def proof_of(request_id):
    """Return the substitute for a target's signature of a request."""
    return hashlib.sha256(request_id.encode()).hexdigest()[:16]


class AnsweringConnection(WSGIHandler):
    """A connection on which answers too many can be written."""

    is_answering = False

    def handle(self):
        opened = self.socket
        self.server.opened.add(opened)
        try:
            super().handle()
        finally:
            self.server.opened.discard(opened)

    def get_environ(self):
        return super().get_environ() | {'soak.connection': self}

    def handle_one_response(self):
        self.is_answering = True
        super().handle_one_response()
        self.is_answering = False

    def send_copy(self, answer):
        """Write an answer where the next one is due, never within one."""
        if self.is_answering and self.headers_sent:
            return
        with contextlib.suppress(OSError, AttributeError):
            # The connection may have been closed meanwhile.
            self.socket.sendall(answer)


class Target:
    """A server at one address; each start is a new instance."""

    def __init__(self, book, clock, address, service):
        self.book = book
        self.clock = clock
        self.address = address
        self.service = service
        self.starts = 0
        self.instance = ''
        self.server = None
        self.slow = 0.0
        self.fail_share = 0.0
        self.refuse_share = 0.0
        self.hold_share = 0.0
        self.copy_share = 0.0
        self.random = None
        self.slots = 8
        self.on_deadly = None

    def now(self):
        return self.clock.elapsed().total_seconds()

    def start(self):
        self.starts += 1
        self.instance = f'{self.service}-{self.address}-{self.starts}'
        host, _, port = self.address.rpartition(':')
        self.server = self.make_server((host, int(port)))
        self.server.opened = set()
        self.server.start()

    def make_server(self, address):
        return WSGIServer(
            address,
            self.answer,
            handler_class=AnsweringConnection,
            spawn=Pool(MAX_POOL_SIZE),
            log=None,
            error_log=None,
        )

    def crash(self):
        """End as a process does: its connections close as they are."""
        server, self.server = self.server, None
        for connection in tuple(server.opened):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        server.stop(timeout=0)

    def answer(self, environ, start):
        path = environ['PATH_INFO']
        if path == '/health':
            start('200 OK', [('Instance-Id', self.instance)])
            return [b'']
        request_id = environ.get('HTTP_ATTEMPT_ID', '')
        self.book.fields.update(environ)
        expected = environ.get('HTTP_EXPECTED_INSTANCE')
        self.book.arrivals.append(
            Arrival(
                self.now(),
                request_id,
                self.instance,
                self.service,
                whole_number(environ.get('HTTP_DEADLINE_MS')),
            )
        )
        environ['wsgi.input'].read()
        if expected != self.instance:
            return self.refuse(start, '421 Misdirected', request_id)
        if self.refuse_share and self.random.random() < self.refuse_share:
            return self.refuse_full(environ, start, request_id)
        return self.run(environ, start, request_id)

    def refuse_full(self, environ, start, request_id):
        """Refuse, at times asking for nothing more for a while."""
        if self.copy_share and self.random.random() < self.copy_share:
            gevent.spawn_later(
                self.random.uniform(*COPY_DELAY_SECONDS),
                environ['soak.connection'].send_copy,
                self.refusal_copy(request_id),
            )
        is_held = self.random.random() < self.hold_share
        wanted = HOLD_SECONDS if is_held else None
        self.book.refusals.append(
            Refusal(self.now(), request_id, self.instance, wanted)
        )
        more = [('Retry-After', str(wanted))] if is_held else []
        return self.refuse(start, '503 Full', request_id, more)

    def refusal_copy(self, request_id):
        """Return the bytes of an answer too many."""
        return (
            'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n'
            f'Instance-Id: {self.instance}\r\nAttempt-Id: {request_id}\r\n\r\n'
        ).encode()

    def refuse(self, start, status, request_id, more=()):
        start(
            status,
            [
                ('Not-Executed', '1'),
                ('Instance-Id', self.instance),
                ('Attempt-Id', request_id),
                *more,
            ],
        )
        return [b'']

    def record_run(self, environ, request_id):
        run = Run(
            request_id,
            self.instance,
            self.service,
            environ.get('HTTP_TENANT', ''),
            self.now(),
        )
        self.book.runs.append(run)
        return run

    def answer_headers(self, request_id):
        return [
            ('Attempt-Id', request_id),
            ('Server-Signature', proof_of(request_id)),
        ]


class Plain(Target):
    """A plain service.

    It refuses requests beyond its `places`. Like some targets it goes on when a
    connection closes.
    """

    def __init__(self, *given):
        super().__init__(*given)
        self.work_seconds = 0.02
        self.places = None
        self.running = 0

    def run(self, environ, start, request_id):
        is_full = self.places is not None and self.running >= self.places
        if is_full:
            return self.refuse_full(environ, start, request_id)
        run = self.record_run(environ, request_id)
        self.running += 1
        gevent.sleep(self.work_seconds + self.slow)
        self.running -= 1
        run.ended_at = self.now()
        if self.random.random() < self.fail_share:
            start('500 Failed', self.answer_headers(request_id))
            return [b'failed']
        run.is_whole = True
        start('200 OK', self.answer_headers(request_id))
        return [whole_answer(request_id)]


class Streamer(Target):
    """A service that reads a prompt, then answers with a stream.

    With `on_deadly` it ends as it begins to write an answer on a deadly part:
    within its first event, or before any byte if `is_crash_mute`.
    """

    def __init__(self, *given):
        super().__init__(*given)
        self.reading_seconds = 0.1
        self.is_crash_mute = False

    def run(self, environ, start, request_id):
        run = self.record_run(environ, request_id)
        prefix = environ.get('HTTP_PROMPT_PREFIX', '')
        is_deadly = self.on_deadly is not None and DEADLY_PART in prefix
        if is_deadly:
            self.book.deadly_arrivals.append((self.now(), request_id))
        gevent.sleep(self.reading_seconds)
        if is_deadly and self.is_crash_mute:
            self.end()
            return []
        start('200 OK', self.answer_headers(request_id))
        if is_deadly:
            return self.crash_in_answer()
        first = int(environ.get('HTTP_LAST_EVENT_ID') or 0) + 1
        return self.events(run, request_id, first)

    def crash_in_answer(self):
        """End behind the head of an answer, inside its first event."""
        yield b'id: 1\n'
        self.end()

    def end(self):
        self.book.deadly_crashes.append(self.now())
        gevent.spawn(self.on_deadly)
        gevent.sleep(MAX_CRASH_SECONDS)

    def events(self, run, request_id, first):
        for number in range(first, EVENTS + 1):
            gevent.sleep(EVENT_SECONDS + self.slow)
            if self.server is None:
                raise ConnectionError('the target crashed')
            yield event_bytes(request_id, number)
        run.ended_at = self.now()
        run.is_whole = True


class Engine(Streamer):
    """An engine that executes load and unload orders."""

    def __init__(self, *given):
        super().__init__(*given)
        self.reading_seconds = 0

    def start(self):
        super().start()
        self.adapters_by_model = {}
        self.taken = 0
        self.highest_token = 0
        self.busy_until = 0.0
        self.born = int(self.now() * 1000) + self.starts

    def answer(self, environ, start):
        if environ['PATH_INFO'] == '/api/report':
            return self.report(start)
        if environ['PATH_INFO'] == '/api/order':
            return self.order(environ, start)
        return super().answer(environ, start)

    def ready_models(self):
        if self.now() < self.busy_until:
            return {
                model: adapters
                for model, adapters in self.adapters_by_model.items()
                if model != self.loading
            }
        return self.adapters_by_model

    def report(self, start):
        start('200 OK', [('Content-Type', 'application/json')])
        models = [
            {'name': model, 'adapters': sorted(adapters)}
            for model, adapters in self.ready_models().items()
        ]
        report = {
            'models': models,
            'busy': self.now() < self.busy_until,
            'sequence': self.taken,
            'born': self.born,
        }
        return [json.dumps(report).encode()]

    def order(self, environ, start):
        order = json.loads(environ['wsgi.input'].read())
        self.book.orders.append((self.now(), self.instance, order))
        if environ.get('HTTP_EXPECTED_INSTANCE') != self.instance:
            return self.reply_empty(start, '421 Misdirected')
        if order['fencing_token'] < self.highest_token:
            return self.reply_empty(start, '412 Fenced')
        self.highest_token = order['fencing_token']
        if self.now() < self.busy_until or order['expect'] != self.taken:
            return self.reply_empty(start, '409 Conflict')
        self.taken += 1
        self.carry_out(order)
        return self.reply_empty(start, '202 Accepted')

    def reply_empty(self, start, status):
        start(status, [('Instance-Id', self.instance)])
        return [b'']

    def carry_out(self, order):
        model = order['model']
        is_load = order['operation'] == 'loading'
        adapter = order.get('adapter')
        if adapter is not None:
            adapters = self.adapters_by_model.get(model, set())
            (adapters.add if is_load else adapters.discard)(adapter)
        elif is_load:
            self.adapters_by_model[model] = set()
            self.loading = model
            self.busy_until = self.now() + LOAD_SECONDS
        else:
            self.adapters_by_model.pop(model, None)
        adapter_count = sum(map(len, self.adapters_by_model.values()))
        if (
            len(self.adapters_by_model) * MODEL_MB > ENGINE_MB
            or adapter_count > ADAPTER_PLACES
        ):
            self.book.crashes.append(f'{self.instance} was overrun')

    def run(self, environ, start, request_id):
        model, _, adapter = environ.get('HTTP_MODEL', '').partition('/')
        adapters = self.ready_models().get(model)
        if adapters is None or (adapter and adapter not in adapters):
            return self.refuse(start, '421 Misdirected', request_id)
        return super().run(environ, start, request_id)
