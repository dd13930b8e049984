"""Starting, killing, freezing and stopping processes by pid."""

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

# A copy: a program started with the live environment reads it between two
# of another thread's changes, and then may not start (OSError 14).
ENVIRONMENT: Final[Mapping[str, str]] = dict(os.environ)
STOP_SECONDS = 20
# Below the range from which Linux gives out ports by itself.
PORTS = range(10_000, 32_000)
# Ports that a process of the harness claims at once; a fleet has some thirty.
PORTS_PER_CLAIM = 200


class _Claims:
    """The ports that this process of the harness may give out.

    A claim is the first port of a block, held for as long as the process
    lives: another process of the harness (CI beside the proofs) gives out no
    port of that block, though nobody may listen on it yet. Within the process
    a port that was given out comes again only when no block is left.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: list[socket.socket] = []
        self._fresh: list[int] = []
        self._ours: list[int] = []

    def next_port(self) -> int:
        """Return a port of ours, new ones first.

        Errors:
            NoPortsError: other processes have claimed all of them.

        """
        with self._lock:
            if not self._fresh:
                self._fresh = self._claim() or list(self._ours)
            if not self._fresh:
                raise NoPortsError(f'all ports of {PORTS} are claimed')
            return self._fresh.pop()

    def _claim(self) -> list[int]:
        firsts = PORTS[::PORTS_PER_CLAIM]
        for first in random.sample(firsts, len(firsts)):
            held = _bound(first)
            if held is not None:
                self._held.append(held)
                block = list(range(first + 1, first + PORTS_PER_CLAIM))
                self._ours += block
                return block
        return []


_CLAIMS: Final = _Claims()


@dataclass(slots=True)
class Process:
    """One process that the harness started."""

    name: str
    command: list[str]
    log_path: Path
    environment: Mapping[str, str] = field(default_factory=lambda: ENVIRONMENT)
    popen: subprocess.Popen[bytes] | None = None
    frozen: bool = False

    def start(self) -> None:
        """Start the process; its output goes to its log file."""
        with self.log_path.open('ab') as log_file:
            self.popen = spawn(self.command, log_file, self.environment)
        self.frozen = False

    def kill(self) -> None:
        """End the process at once, with no chance to clean up."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        """Stop the process where it stands."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self._signal(signal.SIGTERM)

    def stop(self) -> int | None:
        """Stop the process gracefully, or kill it; return its exit code."""
        if self.popen is None:
            return None
        if self.frozen:
            self.thaw()
        self.terminate()
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    @property
    def running(self) -> bool:
        """Whether the process is there, frozen or not."""
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
    """A process of a fleet ended by itself."""


class NoPortsError(Exception):
    """No port is left for a fleet."""


class NotStartedError(Exception):
    """A process was used before it was started."""


def spawn(
    command: list[str],
    output: IO[bytes] | int,
    environment: Mapping[str, str] = ENVIRONMENT,
) -> subprocess.Popen[bytes]:
    """Start a program without input; all that it prints goes to `output`.

    Errors:
        OSError: the program is not there or may not be started.

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
    """Return loopback addresses with ports that are free just now.

    No outgoing connection of another program takes them before they are
    listened on: they lie below the ports that the system gives out.
    """
    sockets = [_bind_somewhere() for _ in range(count)]
    addresses = [f'127.0.0.1:{each.getsockname()[1]}' for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def _bind_somewhere() -> socket.socket:
    bound = None
    while bound is None:
        bound = _bound(_CLAIMS.next_port())
    return bound


def _bound(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None when somebody has it."""
    bound = socket.socket()
    try:
        bound.bind(('127.0.0.1', port))
    except OSError:
        bound.close()
        return None
    return bound
