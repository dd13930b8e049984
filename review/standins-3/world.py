"""Stand-ins for the review's scripts: the platform's store, servers, callers.

They speak what the users' pages say, over loopback addresses and the real
clock, and start the project's own programs with the commands of the deploy
file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import resource
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT, CALLERS_PORT, READY_PORT = 8225, 8221, 8224
PEER_PORT, METRICS_PORT, APP_PORT = 7600, 7615, 8228
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'stable_window_ms': 3000,
    'ack_ms': 4000, 'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8,
    'loss_slack_ms': 200, 'config_apply_ms': 2000, 'rollback_slack_ms': 250,
    'outer_bound_ms': 5000, 'revoke_fail_closed': True, 'revoke_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10,
    'budget_extra_retries': 56, 'quota_window_s': 8, 'quota_overage': 0.1,
    'quota_slack': 110000, 'recovery_s': 12, 'pass_ms': 120,
    'retry_after_s': 0, 'fencing_enforced': True, 'lease_ms': 3000,
    'thaw_ms': 300, 'ceiling_window_s': 5, 'ceiling_overage': 1.1,
}
HEARTBEAT_SECONDS = 1.2
CLOSED = (OSError, asyncio.IncompleteReadError, ValueError, EOFError)


def allow_files(count):
    """Let this process and those that it starts open so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise RuntimeError(f'only {hard} open files are allowed')
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def is_troubled():
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, 'w', buffering=1)

    def line(self, *words):
        at = time.monotonic() - self.began
        self.file.write(f'{at:8.3f} s  {" ".join(map(str, words))}\n')


class Message:
    """One parsed message: its start line, fields and body."""

    def __init__(self, start, fields, body=b''):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=None):
        for known, text in self.fields:
            if known.lower() == name.lower():
                return text
        return default

    def all(self, name):
        return [text for known, text in self.fields if known.lower() == name]


async def read_head(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = head.strip().split('\r\n')
    fields = [tuple(part.strip() for part in line.split(':', 1))
              for line in lines]
    return Message(start, fields)


async def read_chunks(reader, on_piece=None):
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        piece = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += piece
        if on_piece:
            on_piece(piece)


async def read_request(reader):
    message = await read_head(reader)
    if message.get('Transfer-Encoding'):
        message.body = await read_chunks(reader)
    else:
        size = int(message.get('Content-Length', '0'))
        message.body = await reader.readexactly(size)
    return message


def encode(status, fields=(), body=b''):
    """Return the bytes of a whole answer."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in fields]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Listening:
    """A server of one address; `answer` handles each request."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server, self.writers = None, set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=500
        )

    def unlisten(self):
        """End as a killed process does: all connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self.answer(request, writer) is False:
                    break
                await writer.drain()
        except (*CLOSED, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Listening):
    """The platform's store: topics of one partition, as a log.

    `refused` holds the addresses of machines that it turns away with 503.
    """

    def __init__(self, host):
        super().__init__(host, STORE_PORT)
        self.topics = {}
        self.first = {}
        self.changed = asyncio.Condition()
        self.is_down = False
        self.refused = set()
        self.calls = 0

    async def put(self, topic, key, value):
        """Write a record as the operator or a server does."""
        encoded = b'' if value is None else (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        await self.append(
            topic, [bytes((len(key),)) + key.encode() + encoded]
        )

    async def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return len(log) - len(records)

    async def answer(self, request, writer):
        self.calls += 1
        peer = writer.get_extra_info('peername')[0]
        if self.is_down:
            await asyncio.sleep(3600)
        if peer in self.refused:
            writer.write(encode(503))
            return True
        method, target, _ = request.start.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(pair.split('=', 1) for pair in query_text.split('&'))
        topic = query.get('topic', '')
        await asyncio.sleep(0.004)
        if path == '/api/log-append':
            writer.write(await self._append(topic, request.body))
        elif path == '/api/log-read':
            writer.write(await self._read(topic, query))
        elif path == '/api/log-newest':
            writer.write(self._newest(topic))
        else:
            writer.write(encode(404))
        return True

    async def _append(self, topic, body):
        records = []
        while body:
            size = struct.unpack_from('>I', body)[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        first = await self.append(topic, records)
        return json_answer({'offset': first, 'end_offset': first + len(records)})

    async def _read(self, topic, query):
        log = self.topics.setdefault(topic, [])
        start, wait = int(query['from']), int(query.get('wait_ms', 0)) / 1000
        deadline = time.monotonic() + wait
        while len(log) <= start and time.monotonic() < deadline:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), deadline - time.monotonic()
                    )
        records = log[start:]
        body = struct.pack('>QQ', len(log), 0) + b''.join(
            struct.pack('>I', len(record)) + record for record in records
        )
        return encode(200, (), body)

    def _newest(self, topic):
        log = self.topics.setdefault(topic, [])
        newest = {}
        for offset, record in enumerate(log):
            key = record[1:1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0]:])
        items = [
            {'key': key, 'value': base64.b64encode(value).decode(),
             'offset': offset}
            for key, (offset, value) in sorted(newest.items()) if value
        ]
        return json_answer(
            {'items': items, 'has_more': False, 'end_offset': len(log)}
        )


def json_answer(value, status=200):
    return encode(
        status, [('Content-Type', 'application/json')],
        json.dumps(value).encode(),
    )


class Server(Listening):
    """A server of a service without models; it records what it runs."""

    def __init__(self, world, host, service, server_id, slots=6):
        super().__init__(host, APP_PORT)
        self.world, self.record = world, world.record
        self.service, self.id, self.slots = service, server_id, slots
        self.state, self.born, self.beats = 'ready', 0, 0
        self.work_seconds = 0.06
        self.runs_now = 0
        self.runs = []
        self.arrivals = []
        self.is_listed = True

    async def start(self):
        self.born = int(time.time() * 1000)
        await self.listen()
        self.record.line('server', self.id, 'starts')

    def entry(self):
        self.beats += 1
        return {
            'service': self.service, 'address': f'{self.host}:{self.port}',
            'zone': 'z1', 'version': 1, 'slots': self.slots,
            'state': self.state, 'cold_remaining_ms': 0,
            'sequence': self.beats, 'born': self.born,
        }

    def own_fields(self, request):
        request_id = request.get('Attempt-Id')
        fields = [('Instance-Id', self.id)]
        if request_id is not None:
            fields.append(('Attempt-Id', request_id))
        return fields

    def proof(self, request):
        return f'proof-{request.get("Attempt-Id")}'

    async def answer(self, request, writer):
        path = request.start.split(' ')[1]
        if path == '/health':
            writer.write(encode(200, [('Instance-Id', self.id)]))
            return True
        request_id = request.get('Attempt-Id')
        self.arrivals.append((time.monotonic(), request_id))
        expected = request.get('Expected-Instance')
        if expected is not None and expected != self.id:
            self.record.line('server', self.id, 'answers 421 to', request_id)
            writer.write(encode(421, self.own_fields(request)))
            return True
        if self.runs_now >= self.slots:
            self.record.line('server', self.id, 'is full for', request_id)
            writer.write(encode(
                503, [*self.own_fields(request), ('Not-Executed', '1')]
            ))
            return True
        self.note_run(request)
        self.runs_now += 1
        try:
            return await self.run(request, writer)
        finally:
            self.runs_now -= 1

    def note_run(self, request):
        self.runs.append((time.monotonic(), request.get('Attempt-Id'), request))
        self.record.line(
            'server', self.id, 'runs', request.get('Attempt-Id'), 'for tenant',
            request.get('Tenant'),
        )

    async def run(self, request, writer):
        await asyncio.sleep(self.work_seconds)
        body = f'answer to {request.get("Attempt-Id")}'.encode()
        writer.write(encode(200, [
            *self.own_fields(request),
            ('Server-Signature', self.proof(request)),
        ], body))
        return True


class Program:
    """One of the project's own programs, as a process."""

    def __init__(self, world, name, role, settings):
        self.world, self.name, self.role = world, name, role
        self.settings = settings
        self.path = world.folder / f'{name}.json'
        self.log = open(world.folder / f'{name}.log', 'ab')
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        command = self.world.deploy['roles'][self.role]['run'].split(' ')
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'VERBENAMUX_BOOT': str(self.path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )
        self.world.record.line(self.name, 'started')
        # Only the first start of all is the system's first one.
        self.settings['bootstrap'] = False

    def signal(self, number):
        self.world.record.line(self.name, 'gets', signal.Signals(number).name)
        self.process.send_signal(number)

    def lines(self, event=None):
        """Return what it has logged, as far as it is JSON."""
        found = []
        for line in (self.world.folder / f'{self.name}.log').read_text(
            errors='replace'
        ).splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if event is None or event in (entry.get('event'),
                                              entry.get('msg')):
                    found.append(entry)
        return found

    def resident_mb(self):
        with contextlib.suppress(OSError, IndexError):
            pages = Path(f'/proc/{self.process.pid}/statm').read_text()
            return int(pages.split()[1]) * 4096 / 1e6
        return 0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """A small deployment on a loopback network of its own."""

    def __init__(self, folder):
        self.case = Path(folder).resolve()
        self.record = Record(self.case / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.store = Store(self.host(1))
        self.programs, self.servers, self.tasks = {}, [], []
        self.version = 0
        self.config = {}

    def host(self, number):
        return f'{self.net}.{number}'

    def settings(self, name, host, kind, **more):
        return {
            'node_name': name, 'role': name.split('-')[0],
            'machine_class': kind, 'serves': [kind], 'ip': host, 'zone': 'z1',
            'region': 'r1', 'zones': {'z1': 'r1'}, 'listen': {},
            'internal_ports': [PEER_PORT, METRICS_PORT], 'seeds': [],
            'bootstrap': True, 'loss_counts': False,
            'limits': {
                'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300,
                'file_descriptors': 4100, 'link_mbps': 1000.0, 'disk_mb': 0,
            },
            'data_dir': None, 'discovery': 'platform', 'entry': 'virtual_ip',
            'heartbeat_ms': 1200, 'bounds': dict(BOUNDS),
            'platform': {
                'address': f'{self.store.host}:{STORE_PORT}', 'form': 'log',
                'writes_per_s': 400.0, 'reads_per_s': 2000.0, 'parts': 8,
                'append_ms': 4.0, 'record_bytes': 262144, 'keep_s': 300,
                'ttl_min_ms': 1000,
            },
            **more,
        }

    def add_gateway(self, number):
        host = self.host(10 + number)
        name = f'gateway-{number}'
        self.programs[name] = Program(self, name, 'gateway', self.settings(
            name, host, 'frontend', listen={
                'frontend': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{READY_PORT}',
            },
        ))
        return self.programs[name]

    def add_keeper(self, number, engine):
        name = f'keeper-{number}'
        self.programs[name] = Program(self, name, 'keeper', self.settings(
            name, engine.host, 'side', app=f'{engine.host}:{engine.port}',
            service=engine.service,
        ))
        return self.programs[name]

    def gateway_address(self, number=1):
        return self.host(10 + number), CALLERS_PORT

    async def put_config(self, **changes):
        """Write a new version of the configuration; return when."""
        self.config |= changes
        self.version += 7
        self.config['version'] = self.version
        await self.store.put('keyed.op', 'config', self.config)
        self.record.line('operator writes configuration', self.version)
        return time.monotonic()

    async def beat(self):
        while True:
            for server in self.servers:
                if server.is_listed and server.server is not None:
                    await self.store.put(
                        'keyed.servers', server.id, server.entry()
                    )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def start(self):
        await self.store.listen()
        for server in self.servers:
            await server.start()
        await self.put_config()
        self.tasks.append(asyncio.create_task(self.beat()))
        await asyncio.sleep(0.05)
        for program in self.programs.values():
            program.start()
        for name in self.programs:
            await self.wait_ready(name)

    async def wait_ready(self, name, seconds=25):
        program = self.programs[name]
        settings = program.settings
        address = settings['listen'].get(
            'ready', f'{settings["ip"]}:{METRICS_PORT}'
        )
        host, port = address.split(':')
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            with contextlib.suppress(*CLOSED):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: h\r\n'
                             b'Connection: close\r\n\r\n')
                head = await asyncio.wait_for(read_head(reader), 2)
                writer.close()
                if head.start.split(' ')[1] == '200':
                    self.record.line(name, 'is ready')
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{name} is not ready')

    def end(self):
        for task in self.tasks:
            task.cancel()
        for program in self.programs.values():
            program.end()
        for server in (*self.servers, self.store):
            server.unlisten()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a caller got: the status is None without a whole head."""

    def __init__(self):
        self.status = None
        self.fields = Message('', [])
        self.body = b''
        self.is_whole = False
        self.failure = ''
        self.sent_at = self.ended_at = 0.0


class Caller:
    """A consumer's connection to a gateway, kept for further requests."""

    def __init__(self, world, gateway=1):
        self.world, self.gateway = world, gateway
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.world.gateway_address(self.gateway)),
            1,
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, request_id, path, fields=(), body=b'', method='POST',
                   deadline_ms=4000, key='key-1', host='h.example',
                   on_piece=None, is_chunked=False):
        """Send one request and return its Answer."""
        record, answer = self.world.record, Answer()
        if self.writer is None:
            await self.open()
        lines = [
            f'{method} {path} HTTP/1.1', f'Host: {host}',
            f'Attempt-Id: {request_id}', f'Deadline-Ms: {deadline_ms}',
            'Transfer-Encoding: chunked' if is_chunked
            else f'Content-Length: {len(body)}',
        ]
        if is_chunked:
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        if key is not None:
            lines.append(f'Authorization: Bearer {key}')
        lines += [f'{name}: {text}' for name, text in fields]
        answer.sent_at = time.monotonic()
        record.line('caller sends', request_id, path, 'to gateway',
                    self.gateway)
        try:
            self.writer.write(
                ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
            )
            await asyncio.wait_for(
                self._read(answer, on_piece), deadline_ms / 1000 + 1
            )
        except (TimeoutError, *CLOSED) as error:
            answer.failure = repr(error)
            self.close()
        answer.ended_at = time.monotonic()
        record.line(
            'caller gets', answer.status, 'for', request_id,
            'whole' if answer.is_whole else f'cut ({answer.failure})',
            'proof', answer.fields.get('Server-Signature'),
        )
        return answer

    async def _read(self, answer, on_piece):
        answer.fields = await read_head(self.reader)
        answer.status = int(answer.fields.start.split(' ')[1])
        if answer.fields.get('Transfer-Encoding'):
            def keep(piece):
                answer.body += piece
                if on_piece:
                    on_piece(piece)
            await read_chunks(self.reader, keep)
        else:
            size = int(answer.fields.get('Content-Length', '0'))
            answer.body = await self.reader.readexactly(size)
        answer.is_whole = True
        if (answer.fields.get('Connection') or '').lower() == 'close':
            self.close()


def route(name, service, kind, prefix=None, **more):
    """Return a route of the configuration."""
    return {
        'name': name, 'hostname': 'h.example',
        'path_prefix': prefix or f'/{name}/', 'route_kind': kind,
        'timeout_ms': 4000, 'target_latency_ms': 400, 'priority': 1,
        'service': service, 'max_attempts': 2, **more,
    }


LIMITS = {
    'max_header_bytes': 16384, 'max_body_bytes': 4194304,
    'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
}


def play(folder, day):
    """Play a coroutine `day(world)`; exit as the issue says."""
    world = World(folder)
    code = 2
    try:
        is_broken = asyncio.run(_bounded(world, day))
        code = 1 if is_broken else 0
    except Exception as error:
        world.record.line('could not run:', repr(error))
        print(repr(error), file=sys.stderr)
    finally:
        world.end()
    world.record.line('exit', code)
    sys.exit(code)


async def _bounded(world, day):
    try:
        return await asyncio.wait_for(day(world), 110)
    finally:
        for task in world.tasks:
            task.cancel()
        for server in (*world.servers, world.store):
            server.unlisten()
