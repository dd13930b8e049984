"""Structured logs: one JSON object a line on standard error."""

import sys
from typing import Any

import msgspec
from loguru import logger

from verbenamux_contracts.clock import Clock

_encoder = msgspec.json.Encoder(enc_hook=str)


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
        logger.opt(raw=True).info('{}\n', _encoder.encode(line).decode())


def write_error(where: str, error: Exception) -> None:
    """Write one line for an error that only its own task saw."""
    line = {'event': 'task_error', 'where': where, 'cause': repr(error)}
    logger.opt(raw=True).error('{}\n', _encoder.encode(line).decode())


def configure_logs() -> None:
    """Send this process's log lines to standard error."""
    logger.remove()
    logger.add(sys.stderr, format='{message}', backtrace=False, catch=False)
