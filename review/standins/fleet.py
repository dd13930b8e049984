"""A small installation on loopback addresses, with the project's programs."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from store import Store
from wire import ask

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
CHECK_IN_S = 1.2
STABLE_WINDOW_S = 3.0
LIMIT_S = 120.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'outer_bound_ms': 5000,
    'revoke_fail_closed': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra_retries': 56,
    'quota_window_s': 8,
    'quota_overage': 0.1,
    'quota_slack': 110000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'fencing_enforced': True,
    'lease_ms': 3000,
    'thaw_ms': 300,
    'ceiling_window_s': 5,
    'ceiling_overage': 1.1,
}


class CouldNotRun(Exception):
    """The case could not be run."""


def free_ports(host, count):
    """Return ports that are free on the address now."""
    opened = []
    for _ in range(count):
        made = socket.socket()
        made.bind((host, 0))
        opened.append(made)
    ports = [made.getsockname()[1] for made in opened]
    for made in opened:
        made.close()
    return ports


class Fleet:
    """The platform, its store, gateways, servers and the keepers beside them.

    `record` keeps what was sent, answered and run, for record.txt.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ports = free_ports(f'{self.net}.1', 6)
        self.store_port, self.app_port = ports[0], ports[1]
        self.front_port, self.ready_port = ports[2], ports[3]
        self.internal_ports = [ports[4], ports[5]]
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.began_at = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()
        self.processes = {}
        self.servers = {}
        self.starts = 0
        self.book = self.temporary / 'book.txt'
        self.book.touch()
        self.store_address = f'{self.net}.1:{self.store_port}'
        self.store = Store((f'{self.net}.1', self.store_port), CHECK_IN_S)
        self.store.start()
        watch = threading.Timer(LIMIT_S - 5, self._too_long)
        watch.daemon = True
        watch.start()

    def _too_long(self):
        self.note('the time limit was reached: the case could not run')
        self.end()
        os._exit(2)

    def now(self):
        return time.monotonic() - self.began_at

    def note(self, text):
        with self.lock:
            self.lines.append((self.now(), text))

    def gateway_host(self, number):
        return f'{self.net}.{10 + number}'

    def server_host(self, number):
        return f'{self.net}.{100 + number}'

    # The project's programs

    def start_gateway(self, number):
        host = self.gateway_host(number)
        listen = {
            'frontend': f'{host}:{self.front_port}',
            'ready': f'{host}:{self.ready_port}',
        }
        return self._start_role('gateway', f'frontend-{number}', host, listen)

    def start_keeper(self, number, service):
        host = self.server_host(number)
        beside = {'app': f'{host}:{self.app_port}', 'service': service}
        return self._start_role('keeper', f'side-{number}', host, {}, beside)

    def _start_role(self, role, name, host, listen, beside=None):
        run = self.deploy['roles'][role]
        settings = {
            'node_name': name,
            'role': role,
            'machine_class': run['on'],
            'serves': run['serves'],
            'ip': host,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones': {'zone-a': 'region-a'},
            'listen': listen,
            'internal_ports': self.internal_ports,
            'seeds': [],
            'bootstrap': name not in self.processes,
            'limits': {'memory_mb': 300, 'file_descriptors': 4100},
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat_ms': int(CHECK_IN_S * 1000),
            'bounds': BOUNDS,
            'platform': {
                'address': self.store_address,
                'form': 'log',
                'keep_s': 300,
            },
        } | (beside or {})
        path = self.temporary / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'VERBENAMUX_BOOT': str(path),
        }
        with (self.temporary / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                run['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[name] = process
        self.note(f'started {name} as process {process.pid}')
        return process

    def is_ready(self, number):
        address = (self.gateway_host(number), self.ready_port)
        start = 'GET /api/readiness HTTP/1.1'
        return ask(address, start, (('Host', 'h'),), timeout=1).status == 200

    def wait_ready(self, numbers, timeout=30):
        until = time.monotonic() + timeout
        while not all(map(self.is_ready, numbers)):
            if time.monotonic() > until:
                raise CouldNotRun('the gateways are not ready')
            time.sleep(0.1)

    def log_lines(self, name, event):
        """Return the lines of one kind in a program's log."""
        found = []
        path = self.temporary / f'{name}.log'
        for line in path.read_text(errors='replace').splitlines():
            if f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found

    # Servers

    def start_server(self, number, **fields):
        self.starts += 1
        settings = {
            'id': f'i-{number}-{self.starts}',
            'address': f'{self.server_host(number)}:{self.app_port}',
            'store': self.store_address,
            'book': str(self.book),
            'check_in_s': CHECK_IN_S,
        } | fields
        process = subprocess.Popen(
            [sys.executable, str(STANDINS / 'server.py'), json.dumps(settings)],
            cwd=STANDINS,
            env=os.environ | {'PYTHONDONTWRITEBYTECODE': '1'},
            stdin=subprocess.DEVNULL,
        )
        self.servers[number] = process
        self.note(f'started server {settings["id"]} as process {process.pid}')
        return settings['id']

    def book_lines(self, *kinds):
        """Return what servers noted, with times since the start."""
        found = []
        for line in self.book.read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if not kinds or entry['what'] in kinds:
                entry['at'] -= self.began_at
                found.append(entry)
        return sorted(found, key=lambda entry: entry['at'])

    # The end

    def end(self):
        """End all processes that were started."""
        started = [*self.processes.values(), *self.servers.values()]
        for process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in started:
            process.wait()

    def write_record(self, *last):
        lines = [(at, text) for at, text in self.lines]
        for entry in self.book_lines():
            at = entry.pop('at')
            server = entry.pop('server')
            lines.append((at, f'server {server}: {json.dumps(entry)}'))
        lines.sort(key=lambda line: line[0])
        text = ''.join(f'{at:9.3f} {line}\n' for at, line in lines)
        text += ''.join(f'{line}\n' for line in last)
        for path in (str(self.temporary), str(ROOT)):
            text = text.replace(path, '')
        (self.folder / 'record.txt').write_text(text)


def play(folder, run):
    """Run a case; `run` returns what broke the rule, as lines of text."""
    fleet = None
    code, last = 2, []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CouldNotRun('the build of the deploy file is missing')
        fleet = Fleet(folder)
        broken, seen = run(fleet)
        code = 1 if broken else 0
        last = [*seen, *broken, f'the rule {"was broken" if code else "held"}']
    except CouldNotRun as error:
        last = [f'could not run: {error}']
    finally:
        if fleet is not None:
            fleet.end()
            fleet.write_record(*last)
            if os.environ.get('KEEP'):
                sys.stderr.write(f'{fleet.temporary}\n')
            else:
                shutil.rmtree(fleet.temporary, ignore_errors=True)
    sys.stdout.write('\n'.join(last) + '\n')
    return code
