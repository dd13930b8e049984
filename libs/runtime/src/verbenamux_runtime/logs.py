"""Structured logs: one JSON object a line on standard output.

Lines wait in a bounded ring and leave it only as fast as the reader of
standard output takes them, so a reader that stalls delays no request. When
the ring is full, lines of what went well go first, and a line tells how many
were dropped.
"""

import atexit
import os
import select
import sys
from collections import Counter, deque
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from loguru import logger

from verbenamux_contracts.clock import Clock

# Lines that the ring holds: some seconds of a busy gateway, under 2 MB.
LINES_MOST = 4000
# How often the ring is emptied.
FLUSH_PERIOD = timedelta(milliseconds=50)
# A pipe that is ready takes this many bytes without blocking (PIPE_BUF).
ATOMIC_BYTES = 4096
# Fields whose presence with these values marks a line of routine.
ROUTINE_OUTCOMES = frozenset(('delivered', 'whole'))
ROUTINE = 'INFO'
NOTABLE = 'WARNING'

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineRing:
    """Lines on their way to a file descriptor, a bounded number of them."""

    def __init__(self, descriptor: int, lines_most: int = LINES_MOST) -> None:
        """Start empty."""
        self.dropped: Counter[str] = Counter()
        self.dropped_since_start: Counter[str] = Counter()
        self._descriptor = descriptor
        self._lines_most = lines_most
        self._routine: deque[bytes] = deque()
        self._notable: deque[bytes] = deque()
        self._rest = b''

    def put(self, line: bytes, is_routine: bool) -> None:
        """Take a line; drops one when the ring is full."""
        if len(self._routine) + len(self._notable) >= self._lines_most:
            self._drop_oldest()
        queue = self._routine if is_routine else self._notable
        queue.append(line)

    def flush(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self._fill() and self._is_ready():
            written = os.write(self._descriptor, self._rest[:ATOMIC_BYTES])
            self._rest = self._rest[written:]

    def _fill(self) -> bool:
        """Have bytes at hand to write; tell whether there are any."""
        while len(self._rest) < ATOMIC_BYTES and self._notable:
            self._rest += self._notable.popleft()
        while len(self._rest) < ATOMIC_BYTES and self._routine:
            self._rest += self._routine.popleft()
        if not self._rest and self.dropped:
            self._rest = _encoder.encode(
                {'event': 'log_lines_dropped', 'by_kind': self.dropped},
            )
            self._rest += b'\n'
            self.dropped = Counter()
        return bool(self._rest)

    def _drop_oldest(self) -> None:
        kind = 'routine' if self._routine else 'notable'
        queue = self._routine or self._notable
        queue.popleft()
        self.dropped[kind] += 1
        self.dropped_since_start[kind] += 1

    def _is_ready(self) -> bool:
        return bool(select.select((), (self._descriptor,), (), 0)[1])


class DecisionLog:
    """Writes events of one process, each with its name and fields."""

    def __init__(self, process: str, instance: str, clock: Clock) -> None:
        """Bind the fields that every line of this process carries."""
        self._bound: dict[str, Any] = {
            'process': process,
            'instance': instance,
        }
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Write one line; field values are plain data, never a key."""
        line = {'time': self._clock.now().isoformat(), 'event': event}
        line |= self._bound | fields
        is_routine = fields.get('outcome') in ROUTINE_OUTCOMES
        level = ROUTINE if is_routine else NOTABLE
        logger.opt(raw=True).log(level, '{}\n', _encoder.encode(line).decode())


def write_error(where: str, error: Exception) -> None:
    """Write one line for an error that only its own task saw."""
    line = {'event': 'task_error', 'where': where, 'cause': repr(error)}
    logger.opt(raw=True).error('{}\n', _encoder.encode(line).decode())


def configure_logs() -> LineRing:
    """Send this process's log lines to standard output, never blocking.

    Returns the ring that holds them until they are written.
    """
    ring = LineRing(sys.stdout.fileno())

    def put(message: Any) -> None:
        is_routine = message.record['level'].name == ROUTINE
        ring.put(str(message).encode(), is_routine)

    logger.remove()
    logger.add(put, format='{message}', backtrace=False, catch=False)
    atexit.register(ring.flush)
    gevent.spawn(_flush_for_ever, ring)
    return ring


def _flush_for_ever(ring: LineRing) -> None:
    while True:
        gevent.sleep(FLUSH_PERIOD.total_seconds())
        ring.flush()
