"""Addresses for the processes of a small fleet."""

import os
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from verbenamux_harness.processes import PORTS, free_addresses, spawn

PROGRAMS = 200
VARIABLE = 'VERBENAMUX_CHANGED_BY_A_TEST'


def test_addresses_differ_and_lie_below_the_ports_given_out_by_the_system():
    """Beside other programs a port was taken before it was listened on."""
    addresses = free_addresses(60)
    ports = [int(address.rpartition(':')[2]) for address in addresses]
    assert len(set(ports)) == 60
    assert set(ports) <= set(PORTS)
    told = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
    first, _ = map(int, told.split())
    assert max(PORTS) < first


def test_fleets_that_start_together_get_different_addresses():
    """A gateway's port was given to another fleet before it listened on it."""
    with ThreadPoolExecutor(4) as pool:
        fleets = list(pool.map(free_addresses, [20] * 100))
    addresses = [address for fleet in fleets for address in fleet]
    assert len(set(addresses)) == len(addresses)


def test_processes_of_the_harness_get_different_addresses():
    """CI beside the proofs: both drew from the same range of ports."""
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


def test_a_port_in_use_is_passed_over():
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', int(free_addresses(1)[0].rpartition(':')[2])))
        address = '{}:{}'.format(*taken.getsockname())
        assert address not in free_addresses(200)


def test_programs_start_while_another_thread_changes_the_environment():
    """The test runner sets a variable around each test, starts go on beside.

    A start that reads the live environment failed with OSError 14.
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
