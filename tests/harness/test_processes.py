"""Addresses for the processes of a small fleet."""

import os
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from verbenamux_harness.processes import PORT_RANGE, free_addresses, spawn

PROGRAMS = 200
VARIABLE = 'VERBENAMUX_CHANGED_BY_A_TEST'


def test_addresses_differ_and_are_below_the_ephemeral_ports():
    """Guards against another program taking a port before it is used."""
    addresses = free_addresses(60)
    ports = [int(address.rpartition(':')[2]) for address in addresses]
    assert len(set(ports)) == 60
    assert set(ports) <= set(PORT_RANGE)
    port_range = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
    first, _ = map(int, port_range.split())
    assert max(PORT_RANGE) < first


def test_fleets_that_start_together_get_different_addresses():
    """Guards against a port given to two fleets before the first listens."""
    with ThreadPoolExecutor(4) as pool:
        fleets = list(pool.map(free_addresses, [20] * 100))
    addresses = [address for fleet in fleets for address in fleet]
    assert len(set(addresses)) == len(addresses)


def test_processes_of_the_harness_get_different_addresses():
    """CI beside `make prove`: both drew from the same range of ports."""
    script = (
        'from verbenamux_harness.processes import free_addresses\n'
        'print(*free_addresses(500), flush=True)\n'
        'input()\n'
    )
    command = [sys.executable, '-c', script]
    pipes = {'stdin': subprocess.PIPE, 'stdout': subprocess.PIPE}
    programs = [subprocess.Popen(command, **pipes) for _ in range(3)]
    fleets = [program.stdout.readline().split() for program in programs]
    for program in programs:
        program.communicate(b'\n')
    addresses = [address for fleet in fleets for address in fleet]
    assert [len(fleet) for fleet in fleets] == [500] * 3
    assert len(set(addresses)) == len(addresses)


def test_a_port_in_use_is_skipped():
    with socket.socket() as occupied:
        occupied.bind(
            ('127.0.0.1', int(free_addresses(1)[0].rpartition(':')[2]))
        )
        address = '{}:{}'.format(*occupied.getsockname())
        assert address not in free_addresses(200)


def test_programs_start_while_another_thread_changes_the_environment():
    """Starts that read the live environment failed with OSError 14.

    The test runner sets a variable around each test while other threads
    start programs.
    """
    command = [sys.executable, '-S', '-c', '']
    with ThreadPoolExecutor(4) as pool:
        starts = [
            pool.submit(spawn, command, subprocess.DEVNULL)
            for _ in range(PROGRAMS)
        ]
        while not all(start.done() for start in starts):
            os.environ[VARIABLE] = 'x' * 100
            del os.environ[VARIABLE]
    assert [start.result().wait() for start in starts] == [0] * PROGRAMS
