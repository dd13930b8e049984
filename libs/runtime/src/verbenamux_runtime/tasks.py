"""Tasks that live as long as their process, and the signals that end it."""

import signal
from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_runtime.logs import write_error

# Pause before a task that an error ended begins anew.
TASK_PAUSE = timedelta(milliseconds=500)


def stop_on_signal() -> Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    return stop


def every(
    interval: timedelta,
    step: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> gevent.Greenlet:
    """Run a step for ever with pauses; an error in one is reported."""
    return gevent.spawn(_repeat, interval, step, on_error)


def keep_running(task: Callable[[], object]) -> gevent.Greenlet:
    """Run a task that never ends, and start it again if an error ends it."""
    return gevent.spawn(_keep_running, task)


def _keep_running(task: Callable[[], object]) -> None:
    while True:
        try:
            task()
        except Exception as error:
            write_error(repr(task), error)
        gevent.sleep(TASK_PAUSE.total_seconds())


def _repeat(
    interval: timedelta,
    step: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> None:
    while True:
        try:
            step()
        except Exception as error:
            on_error(error)
        gevent.sleep(interval.total_seconds())
