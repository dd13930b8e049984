"""Stand-ins of the platform for the cases 6 to 10: store, servers, consumers.

Standard library only. Everything listens on loopback addresses; all but the
project's programs runs in the process of the case.
"""

import asyncio
import base64
import json
import os
import shlex
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, APP_PORT, STORE_PORT = 8221, 8224, 8228, 8225
PEER_PORTS = [7600, 7615]
HEARTBEAT_SECONDS = 1.2
# As on the pages of a small installation.
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


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, 'w')

    def line(self, *words):
        text = f'{now() - self.began:8.3f}  ' + ' '.join(map(str, words))
        print(text, file=self.file, flush=True)


class Disconnected(Exception):
    """The peer closed, or a channel ended early."""


async def read_message(reader):
    """Return the start line, fields and body of a message; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return start, fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'0', 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get('content-length', 0)))


def encode(status, fields, body=b'', *, reason='Status'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Listening:
    """A stand-in that answers requests on one address."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=2048,
            limit=8 * 1024 * 1024,
        )

    async def unlisten(self):
        """End as a killed process does: its channels are reset."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, fields = message
                method, target, _ = start.split(' ', 2)
                body = await read_body(reader, fields)
                await self.answer(method, target, fields, body, writer, reader)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, Disconnected):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def answer(self, method, target, fields, body, writer, reader):
        raise NotImplementedError


class Store(Listening):
    """The platform's store: topics of one partition each."""

    def __init__(self, host, record):
        super().__init__(host, STORE_PORT)
        self.record = record
        self.topics = {}
        self.era = 0
        self.waiting = set()

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        content = b'' if value is None else json.dumps(value).encode()
        await self.append(
            topic, [bytes((len(key),)) + key.encode() + content]
        )

    async def append(self, topic, records):
        first = len(self.topic(topic))
        self.topic(topic).extend(records)
        for waiting in tuple(self.waiting):
            waiting.set()
        return first

    def newest(self, topic):
        values = {}
        for offset, record in enumerate(self.topic(topic)):
            size = record[0]
            key, value = record[1 : size + 1].decode(), record[size + 1 :]
            values.pop(key, None)
            if value:
                values[key] = (value, offset)
        return values

    async def answer(self, method, target, fields, body, writer, reader):
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        topic = query.get('topic', '')
        await asyncio.sleep(0.004)
        if parts.path == '/api/log-append':
            records, start = [], 0
            while start < len(body):
                (size,) = struct.unpack_from('>I', body, start)
                records.append(body[start + 4 : start + 4 + size])
                start += 4 + size
            first = await self.append(topic, records)
            self.reply(writer, json.dumps(
                {'offset': first, 'end_offset': first + len(records)}
            ).encode())
        elif parts.path == '/api/log-read':
            await self.read(writer, topic, query)
        elif parts.path == '/api/log-newest':
            items = [
                {'key': key, 'value': base64.b64encode(value).decode(),
                 'offset': offset}
                for key, (value, offset) in self.newest(topic).items()
            ]
            self.reply(writer, json.dumps({
                'items': items, 'has_more': False,
                'end_offset': len(self.topic(topic)),
            }).encode())
        else:
            writer.write(encode(404, {}))

    async def read(self, writer, topic, query):
        start = int(query['from'])
        ends = now() + int(query.get('wait_ms', 0)) / 1000
        waiting = asyncio.Event()
        self.waiting.add(waiting)
        try:
            while len(self.topic(topic)) <= start and now() < ends:
                waiting.clear()
                try:
                    await asyncio.wait_for(waiting.wait(), ends - now())
                except TimeoutError:
                    break
        finally:
            self.waiting.discard(waiting)
        records = self.topic(topic)
        if start > len(records):
            writer.write(encode(410, {'Store-Era': self.era},
                                b'{"first_offset":0}'))
            return
        self.reply(writer, struct.pack('>QQ', len(records), 0) + b''.join(
            struct.pack('>I', len(record)) + record
            for record in records[start:]
        ))

    def reply(self, writer, body):
        writer.write(encode(200, {'Store-Era': self.era}, body))


class Server(Listening):
    """A plain server. Subclasses decide how a request is answered."""

    def __init__(self, host, service, record, server_id, *, zone='z1', slots=6):
        super().__init__(host, APP_PORT)
        self.service, self.record, self.id = service, record, server_id
        self.zone, self.slots = zone, slots
        self.state = 'ready'
        self.born = 0
        self.beat = 0
        self.runs = []
        self.work_seconds = 0.09

    async def start(self):
        self.born = int(time.time() * 1000)
        await self.listen()

    async def stop(self):
        await self.unlisten()

    def entry(self):
        self.beat += 1
        return {
            'service': self.service, 'address': f'{self.host}:{APP_PORT}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'cold_remaining_ms': 0,
            'sequence': self.beat, 'born': self.born,
        }

    async def answer(self, method, target, fields, body, writer, reader):
        if target == '/health':
            writer.write(encode(200, {'Instance-Id': self.id}))
            return
        request_id = fields.get('attempt-id', '')
        if fields.get('expected-instance', self.id) != self.id:
            self.record.line('server', self.id, '421', request_id)
            writer.write(encode(421, {
                'Instance-Id': self.id, 'Attempt-Id': request_id,
            }))
            return
        await self.run(method, target, fields, body, writer, request_id)

    async def run(self, method, target, fields, body, writer, request_id):
        self.began(request_id, fields)
        await asyncio.sleep(self.work_seconds)
        writer.write(encode(200, self.proof(request_id),
                            b'answer to ' + request_id.encode()))

    def began(self, request_id, fields):
        self.runs.append((now(), request_id, dict(fields)))
        self.record.line('server', self.id, 'runs', request_id)

    def proof(self, request_id):
        return {'Attempt-Id': request_id, 'Instance-Id': self.id,
                'Server-Signature': f'sig.{request_id}'}


class Platform:
    """Starts and ends the project's programs; writes what operators write."""

    def __init__(self, folder, slot):
        self.folder = Path(folder)
        self.net = f'127.{slot}'
        self.record = Record(self.folder / 'record.txt')
        self.temporary = Path(tempfile.mkdtemp(prefix='case-'))
        self.store = Store(f'{self.net}.9.1', self.record)
        self.servers = []
        self.silent = set()
        self.processes = {}
        self.roles = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text()
        )['roles']
        self.beating = None

    def host(self, block, number):
        return f'{self.net}.{block}.{number}'

    async def begin(self, config):
        await self.store.listen()
        await self.store.put('keyed.op', 'config', config)
        for server in self.servers:
            await server.start()
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            for server in self.servers:
                await self.check_in(server)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def check_in(self, server):
        if server.server is not None and server not in self.silent:
            await self.store.put('keyed.servers', server.id, server.entry())

    def settings(self, name, role, host, **more):
        return {
            'node_name': name, 'role': role, 'ip': host, 'zone': 'z1',
            'region': 'r1', 'zones': {'z1': 'r1'},
            'internal_ports': PEER_PORTS, 'bootstrap': True,
            'limits': {'cpu_share': 0.817, 'cores': 1, 'memory_mb': 300,
                       'file_descriptors': 4100, 'link_mbps': 1000.0,
                       'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform',
            'entry': 'virtual_ip', 'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'platform': {'address': f'{self.store.host}:{STORE_PORT}',
                         'form': 'log', 'writes_per_s': 400,
                         'reads_per_s': 2000, 'keep_s': 300},
        } | more

    def start_gateway(self, name, host, **more):
        listen = {'frontend': f'{host}:{FRONT_PORT}',
                  'ready': f'{host}:{READY_PORT}'}
        return self.start(name, 'gateway', self.settings(
            name, 'gateway', host, listen=listen, **more))

    def start_keeper(self, name, host, service, **more):
        return self.start(name, 'keeper', self.settings(
            name, 'keeper', host, listen={}, app=f'{host}:{APP_PORT}',
            service=service, **more))

    def start(self, name, role, settings):
        path = self.temporary / f'{name}.json'
        path.write_text(json.dumps(settings))
        words = shlex.split(self.roles[role]['run'])
        environment = {
            'PATH': os.environ.get('PATH', ''), 'HOME': str(self.temporary),
            'LANG': 'C.UTF-8', 'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1', 'VERBENAMUX_BOOT': str(path),
        }
        log = open(self.temporary / f'{name}.log', 'ab')
        process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes[name] = process
        self.record.line('platform starts', name, 'process', process.pid)
        return process

    def signal(self, name, number):
        self.record.line('platform sends', signal.Signals(number).name, name)
        self.processes[name].send_signal(number)

    def log_lines(self, name, *events):
        for line in (self.temporary / f'{name}.log').read_bytes().splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if not events or fields.get('event') in events:
                yield fields

    async def await_ready(self, host, seconds=20, port=READY_PORT):
        ends = now() + seconds
        while now() < ends:
            try:
                answer = await call(host, port, 'GET', '/api/readiness', {})
                if answer.status == 200:
                    return
            except (OSError, Disconnected, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{host} is not ready')

    async def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.beating is not None:
            self.beating.cancel()
        for server in self.servers:
            await server.unlisten()
        await self.store.unlisten()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


async def call(host, port, method, target, fields, body=b'', timeout=20):
    """Send one request on a new channel; raises Disconnected, TimeoutError."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f'{method} {target} HTTP/1.1', 'Host: h.example']
            lines += [f'{name}: {text}' for name, text in fields.items()]
            if method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            message = await read_message(reader)
            if message is None:
                raise Disconnected('closed without an answer')
            start, got = message
            try:
                content = await read_body(reader, got)
            except (asyncio.IncompleteReadError, OSError) as error:
                raise Disconnected('closed inside an answer') from error
            return Answer(int(start.split()[1]), got, content)
        finally:
            writer.transport.abort()


def run_case(main):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it failed."""
    try:
        broken = asyncio.run(main(os.environ.get('TROUBLE', '1') != '0'))
    except Exception as error:
        import traceback
        traceback.print_exc()
        print(f'the case could not run: {error!r}')
        sys.exit(2)
    sys.exit(1 if broken else 0)
