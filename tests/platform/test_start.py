"""The start of a program, before it has read its settings."""

import json
import os
import signal
import socket
import subprocess
import sys
from threading import Thread

import pytest

from verbenamux_harness.processes import free_addresses

EXIT_BAD_SETTINGS = 2
GATEWAY = 'verbenamux_platform.run_gateway'


@pytest.mark.parametrize('role', ['gateway', 'keeper'])
def test_a_hangup_while_a_program_starts_does_not_end_it(role):
    """The signal's default action ended it until its handler was there.

    Lines of `importtime` show that the program's own modules are being
    imported; without settings it exits on its own with 2.
    """
    environment = {
        name: text for name, text in os.environ.items() if 'BOOT' not in name
    }
    module = f'verbenamux_platform.run_{role}'
    command = [sys.executable, '-X', 'importtime', '-m', module]
    with subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as started:
        assert any('gevent' in line for line in started.stderr)
        started.send_signal(signal.SIGHUP)
        started.stderr.read()
        assert started.wait(timeout=20) == EXIT_BAD_SETTINGS


def test_callers_that_come_while_a_gateway_starts_wait_and_get_an_answer(
    tmp_path,
):
    """They were refused until all modules were imported."""
    addresses = free_addresses(5)
    peers, metrics, store, callers, ready = addresses
    settings = {
        'node_name': 'gateway-1',
        'ip': '127.0.0.1',
        'zone': 'here',
        'internal_ports': [port_of(peers), port_of(metrics)],
        'platform': {'address': store},
        'listen': {'frontend': callers, 'ready': ready},
    }
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(settings))
    with subprocess.Popen(
        [sys.executable, '-X', 'importtime', '-m', GATEWAY],
        env=os.environ | {'VERBENAMUX_BOOT': str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as started:
        try:
            status = request_during_startup(started, port_of(callers))
        finally:
            started.terminate()
    # The store is unreachable, so there is no configuration.
    assert status == b'503'


def request_during_startup(started, port):
    assert any('gevent' in line for line in started.stderr)
    with socket.create_connection(('127.0.0.1', port), timeout=20) as caller:
        Thread(target=started.stderr.read, daemon=True).start()
        caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n')
        return caller.recv(4096).split()[1]


def port_of(address):
    return int(address.rpartition(':')[2])
