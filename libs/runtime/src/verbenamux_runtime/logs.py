"""Structured logs: one JSON object a line on standard output.

Lines are buffered in a bounded ring and written without blocking, so a
stalled reader of standard output delays no request. When the ring is full,
routine lines are dropped first, and a log line reports how many were dropped.
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

# Some seconds of a busy gateway, under 2 MB.
MAX_LINES = 4000
FLUSH_INTERVAL = timedelta(milliseconds=100)
# A writable pipe takes this many bytes without blocking (PIPE_BUF).
ATOMIC_WRITE_BYTES = 4096
# Values of `outcome` that mark a line as routine.
ROUTINE_OUTCOMES = frozenset(('delivered', 'whole'))
ROUTINE_LEVEL = 'INFO'
NOTABLE_LEVEL = 'WARNING'

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineRing:
    """A bounded buffer of lines to be written to a file descriptor."""

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES) -> None:
        """Start empty."""
        self.dropped: Counter[str] = Counter()
        self.dropped_since_start: Counter[str] = Counter()
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._routine: deque[bytes] = deque()
        self._notable: deque[bytes] = deque()
        self._write_buffer = b''

    def put(self, line: bytes, is_routine: bool) -> None:
        """Add a line; drop an older one when the ring is full."""
        if len(self._routine) + len(self._notable) >= self._max_lines:
            self._drop_oldest()
        queue = self._routine if is_routine else self._notable
        queue.append(line)

    def flush(self) -> None:
        """Write as much as the descriptor takes without blocking."""
        while self._refill_buffer() and self._is_writable():
            written = os.write(
                self._descriptor, self._write_buffer[:ATOMIC_WRITE_BYTES]
            )
            self._write_buffer = self._write_buffer[written:]

    def _refill_buffer(self) -> bool:
        """Refill the write buffer; return whether it has any bytes."""
        while len(self._write_buffer) < ATOMIC_WRITE_BYTES and self._notable:
            self._write_buffer += self._notable.popleft()
        while len(self._write_buffer) < ATOMIC_WRITE_BYTES and self._routine:
            self._write_buffer += self._routine.popleft()
        if not self._write_buffer and self.dropped:
            self._write_buffer = _encoder.encode(
                {'event': 'log_lines_dropped', 'by_kind': self.dropped},
            )
            self._write_buffer += b'\n'
            self.dropped = Counter()
        return bool(self._write_buffer)

    def _drop_oldest(self) -> None:
        kind = 'routine' if self._routine else 'notable'
        queue = self._routine or self._notable
        queue.popleft()
        self.dropped[kind] += 1
        self.dropped_since_start[kind] += 1

    def _is_writable(self) -> bool:
        return bool(select.select((), (self._descriptor,), (), 0)[1])


class DecisionLog:
    """Writes the decisions of a process as named events with fields."""

    def __init__(self, process: str, instance: str, clock: Clock) -> None:
        """Set the fields that every line of this process has."""
        self._bound: dict[str, Any] = {
            'process': process,
            'instance': instance,
        }
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Write one line; field values must be plain data, never a key."""
        line = {'time': self._clock.now().isoformat(), 'event': event}
        line |= self._bound | fields
        is_routine = fields.get('outcome') in ROUTINE_OUTCOMES
        level = ROUTINE_LEVEL if is_routine else NOTABLE_LEVEL
        logger.opt(raw=True).log(level, '{}\n', _encoder.encode(line).decode())


def write_error(where: str, error: Exception) -> None:
    """Write one line for an error that nothing else reports."""
    line = {'event': 'task_error', 'where': where, 'cause': repr(error)}
    logger.opt(raw=True).error('{}\n', _encoder.encode(line).decode())


def configure_logs() -> LineRing:
    """Send the log lines of this process to standard output, non-blocking.

    Returns the ring that buffers them until they are written.
    """
    ring = LineRing(sys.stdout.fileno())

    def put(message: Any) -> None:
        is_routine = message.record['level'].name == ROUTINE_LEVEL
        ring.put(str(message).encode(), is_routine)

    logger.remove()
    logger.add(put, format='{message}', backtrace=False, catch=False)
    atexit.register(ring.flush)
    gevent.spawn(_flush_periodically, ring)
    return ring


def _flush_periodically(ring: LineRing) -> None:
    while True:
        gevent.sleep(FLUSH_INTERVAL.total_seconds())
        ring.flush()
