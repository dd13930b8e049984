"""Noticing that a caller has closed its connection."""

import select
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from gevent import get_hub, socket

# A connection on which unread bytes lie is looked at this often: a fifth of
# the half second in which a target has to learn that its caller left.
LOOK_PERIOD = timedelta(milliseconds=100)
READ_EVENT = 1


def peek(opened: socket.socket) -> bytes | None:
    """Return what has arrived, None when nothing has.

    No bytes mean that the connection is closed or broken.
    """
    try:
        peeked: bytes = opened._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b''
    return peeked


def has_closed(opened: socket.socket) -> bool:
    """Tell whether the peer has closed, also behind bytes not read yet."""
    poller = select.poll()
    poller.register(opened.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class CloseWatch:
    """Tells once when the peer of a connection closes it."""

    def __init__(
        self,
        opened: socket.socket,
        on_close: Callable[[], None],
    ) -> None:
        """Start to watch; `stop` has to be called in the end."""
        self._opened = opened
        self._on_close = on_close
        self._watchers: list[Any] = []
        self._start(get_hub().loop.io(opened.fileno(), READ_EVENT), self._hear)

    def stop(self) -> None:
        """Watch no longer."""
        self._pause()
        for watcher in self._watchers:
            watcher.close()
        self._watchers.clear()

    def _start(self, watcher: Any, callback: Callable[[], object]) -> None:
        self._watchers.append(watcher)
        watcher.start(callback)

    def _pause(self) -> None:
        for watcher in self._watchers:
            watcher.stop()

    def _hear(self) -> None:
        if self._look():
            return
        # The loop would tell of unread bytes in each of its rounds.
        self._pause()
        seconds = LOOK_PERIOD.total_seconds()
        self._start(get_hub().loop.timer(seconds, seconds), self._look)

    def _look(self) -> bool:
        is_closed = has_closed(self._opened)
        if is_closed:
            self._pause()
            self._on_close()
        return is_closed
