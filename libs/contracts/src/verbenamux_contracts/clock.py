"""Clocks, injected into everything that reads the time or sleeps."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import gevent


class Clock(Protocol):
    """Source of the time and of delays."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for display only."""

    def elapsed(self) -> timedelta:
        """Return monotonic time since an arbitrary start."""

    def sleep(self, duration: timedelta) -> None:
        """Let other greenlets run for the duration."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the time since the host booted.

        It advances while the host is suspended, so that the age of state
        from before a suspension is correct afterwards.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def sleep(self, duration: timedelta) -> None:
        """Yield to the event loop for the duration."""
        gevent.sleep(duration.total_seconds())


class ManualClock:
    """A clock for tests; only `advance` and `sleep` move it."""

    def __init__(self) -> None:
        """Start at a fixed time."""
        self._start = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus the sum of all advances."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def sleep(self, duration: timedelta) -> None:
        """Advance by the duration instead of waiting."""
        self.advance(duration)

    def advance(self, duration: timedelta) -> None:
        """Advance the time by the duration."""
        self._elapsed += duration


def milliseconds(count: float) -> timedelta:
    """Return a duration of `count` milliseconds."""
    return timedelta(milliseconds=count)


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)


def to_milliseconds_up(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, rounded up."""
    return -(-duration // timedelta(milliseconds=1))
