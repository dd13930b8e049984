"""Starts, kills, suspends and stops processes."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Final

# A copy: a start that reads the live environment while another thread
# changes it can fail with OSError 14.
INITIAL_ENVIRONMENT: Final[Mapping[str, str]] = dict(os.environ)
STOP_TIMEOUT_SECONDS = 20
# Below the range of ephemeral ports that Linux assigns.
PORT_RANGE = range(10_000, 32_000)
# Ports that a harness process claims at a time; a fleet uses about 30.
CLAIM_BLOCK_PORTS = 200


class _PortClaims:
    """The blocks of ports that this harness process has claimed.

    A process claims a block by binding its first port until it exits, so
    that another harness process (CI beside `make prove`) uses no port of the
    block, even if nothing listens on it yet. Within the process a port is
    reused only when no unclaimed block is left.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._claim_sockets: list[socket.socket] = []
        self._unused_ports: list[int] = []
        self._claimed_ports: list[int] = []

    def next_port(self) -> int:
        """Return a claimed port, unused ones first.

        Errors:
            NoPortsError: other processes have claimed all ports.

        """
        with self._lock:
            if not self._unused_ports:
                self._unused_ports = self._claim_block() or list(
                    self._claimed_ports
                )
            if not self._unused_ports:
                raise NoPortsError(f'all ports of {PORT_RANGE} are claimed')
            return self._unused_ports.pop()

    def _claim_block(self) -> list[int]:
        first_ports = PORT_RANGE[::CLAIM_BLOCK_PORTS]
        for first_port in random.sample(first_ports, len(first_ports)):
            claim_socket = _bind_or_none(first_port)
            if claim_socket is not None:
                self._claim_sockets.append(claim_socket)
                block = list(
                    range(first_port + 1, first_port + CLAIM_BLOCK_PORTS)
                )
                self._claimed_ports += block
                return block
        return []


_PORT_CLAIMS: Final = _PortClaims()


@dataclass(slots=True)
class Process:
    """One process that the harness started."""

    name: str
    command: list[str]
    log_path: Path
    environment: Mapping[str, str] = field(
        default_factory=lambda: INITIAL_ENVIRONMENT
    )
    popen: subprocess.Popen[bytes] | None = None
    suspended: bool = False

    def start(self) -> None:
        """Start the process; its output goes to its log file."""
        with self.log_path.open('ab') as log_file:
            self.popen = spawn(self.command, log_file, self.environment)
        self.suspended = False

    def kill(self) -> None:
        """Kill the process without cleanup."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)
        self.suspended = True

    def resume(self) -> None:
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)
        self.suspended = False

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self._signal(signal.SIGTERM)

    def stop(self) -> int | None:
        """Stop the process gracefully, or kill it; return its exit code."""
        if self.popen is None:
            return None
        if self.suspended:
            self.resume()
        self.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    @property
    def running(self) -> bool:
        """Whether the process exists, suspended or not."""
        return self.popen is not None and self.popen.poll() is None

    def last_line(self) -> str:
        """Return the exit code and the last line that the process printed."""
        code = None if self.popen is None else self.popen.returncode
        lines = self.log_path.read_text(errors='replace').splitlines()
        return f'code {code}, {lines[-1] if lines else "nothing printed"}'

    @property
    def pid(self) -> int:
        """The process id of a started process."""
        if self.popen is None:
            raise NotStartedError(self.name)
        return self.popen.pid

    def _signal(self, number: signal.Signals) -> None:
        if self.running and self.popen is not None:
            self.popen.send_signal(number)


class ProcessEndedError(Exception):
    """A process of a fleet ended unexpectedly."""


class NoPortsError(Exception):
    """No port is left for a fleet."""


class NotStartedError(Exception):
    """A process was used before it was started."""


def spawn(
    command: list[str],
    output: IO[bytes] | int,
    environment: Mapping[str, str] = INITIAL_ENVIRONMENT,
) -> subprocess.Popen[bytes]:
    """Start a program without input; its stdout and stderr go to `output`.

    Errors:
        OSError: the program does not exist or cannot be started.

    """
    return subprocess.Popen(
        command,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
    )


def program(name: str) -> str:
    """Return the path of a console script beside this interpreter."""
    return str(Path(sys.executable).parent / name)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are currently free.

    The ports are below the ephemeral range, so no outgoing connection of
    another program takes one before it is listened on.
    """
    sockets = [_bind_next_port() for _ in range(count)]
    addresses = [
        f'127.0.0.1:{bound_socket.getsockname()[1]}' for bound_socket in sockets
    ]
    for bound_socket in sockets:
        bound_socket.close()
    return addresses


def _bind_next_port() -> socket.socket:
    bound = None
    while bound is None:
        bound = _bind_or_none(_PORT_CLAIMS.next_port())
    return bound


def _bind_or_none(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if it is in use."""
    bound = socket.socket()
    try:
        bound.bind(('127.0.0.1', port))
    except OSError:
        bound.close()
        return None
    return bound
