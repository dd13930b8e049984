"""Detection of a caller that has closed its connection."""

import select
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from gevent import get_hub, socket

# A connection with unread bytes is polled this often: a fifth of the 500 ms
# within which a target has to learn that its caller disconnected.
POLL_INTERVAL = timedelta(milliseconds=100)
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
    """Return whether the peer has closed, also after bytes not read yet."""
    poller = select.poll()
    poller.register(opened.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class CloseWatch:
    """Reports once when the peer of a connection closes it."""

    def __init__(
        self,
        opened: socket.socket,
        on_close: Callable[[], None],
    ) -> None:
        """Start to watch; `stop` has to be called at the end."""
        self._opened = opened
        self._on_close = on_close
        self._watchers: list[Any] = []
        self._start(
            get_hub().loop.io(opened.fileno(), READ_EVENT), self._on_readable
        )

    def stop(self) -> None:
        """Watch no longer."""
        self._stop_watchers()
        for watcher in self._watchers:
            watcher.close()
        self._watchers.clear()

    def _start(self, watcher: Any, callback: Callable[[], object]) -> None:
        self._watchers.append(watcher)
        watcher.start(callback)

    def _stop_watchers(self) -> None:
        for watcher in self._watchers:
            watcher.stop()

    def _on_readable(self) -> None:
        if self._check_closed():
            return
        # The event loop would report unread bytes in each iteration.
        self._stop_watchers()
        seconds = POLL_INTERVAL.total_seconds()
        self._start(get_hub().loop.timer(seconds, seconds), self._check_closed)

    def _check_closed(self) -> bool:
        is_closed = has_closed(self._opened)
        if is_closed:
            self._stop_watchers()
            self._on_close()
        return is_closed
