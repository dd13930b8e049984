"""Tasks that run until the process ends, and the signals that end it."""

import signal
from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.event import Event

from verbenamux_runtime.logs import write_error

TASK_RESTART_DELAY = timedelta(milliseconds=500)


def stop_on_signal() -> Event:
    """Return an event that is set by SIGTERM or SIGINT."""
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    return stop


def every(
    interval: timedelta,
    step: Callable[[], None],
    on_error: Callable[[Exception], None],
) -> gevent.Greenlet:
    """Run a step forever with an interval between runs; report errors."""
    return gevent.spawn(_run_every, interval, step, on_error)


def keep_running(task: Callable[[], object]) -> gevent.Greenlet:
    """Run a task forever, and restart it after an error."""
    return gevent.spawn(_keep_running, task)


def _keep_running(task: Callable[[], object]) -> None:
    while True:
        try:
            task()
        except Exception as error:
            write_error(repr(task), error)
        gevent.sleep(TASK_RESTART_DELAY.total_seconds())


def _run_every(
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
