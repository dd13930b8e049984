"""Messages over ZeroMQ: a server socket, and one link for each peer."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import gevent
import zmq.green as zmq
from gevent.event import AsyncResult

from verbenamux_contracts.messages import (
    AnyMessage,
    Message,
    MessageDecodeError,
    decode_message,
    encode_message,
)
from verbenamux_runtime.logs import write_error

HIGH_WATER_MESSAGES = 100_000
RECONNECT_LEAST_MS = 50
RECONNECT_MOST_MS = 500
KEEPALIVE_MS = 2000
LISTEN_BACKLOG = 4096
HIGHEST_FRAME_BYTES = 32_000_000

PeerHandler = Callable[[bytes, AnyMessage], None]
LinkHandler = Callable[[AnyMessage], None]
GarbageHandler = Callable[[MessageDecodeError], None]

_context = zmq.Context()


@dataclass(slots=True)
class Traffic:
    """Bytes and messages that passed a socket."""

    received_bytes: int = 0
    received_messages: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0

    def add(self, other: 'Traffic') -> None:
        """Add another socket's traffic."""
        self.received_bytes += other.received_bytes
        self.received_messages += other.received_messages
        self.sent_bytes += other.sent_bytes
        self.sent_messages += other.sent_messages


def _ignore_garbage(error: MessageDecodeError) -> None:
    """Drop a frame that is no message of ours."""


class PeerServer:
    """Takes messages from any number of peers and answers them."""

    def __init__(
        self,
        address: str,
        handler: PeerHandler,
        on_garbage: GarbageHandler = _ignore_garbage,
    ) -> None:
        """Bind the address; `run` starts to receive."""
        self.traffic = Traffic()
        self._handler = handler
        self._on_garbage = on_garbage
        self._socket = _context.socket(zmq.ROUTER)
        _limit(self._socket)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.setsockopt(zmq.BACKLOG, LISTEN_BACKLOG)
        self._socket.bind(f'tcp://{address}')

    def run(self) -> None:
        """Receive for ever, one message after the other."""
        while True:
            identity, frame = self._socket.recv_multipart()
            self.traffic.received_bytes += len(frame)
            self.traffic.received_messages += 1
            try:
                message = decode_message(frame)
            except MessageDecodeError as error:
                self._on_garbage(error)
                continue
            self._handle(identity, message)

    def _handle(self, identity: bytes, message: AnyMessage) -> None:
        """Pass a message on; an error in it must not stop the others."""
        try:
            self._handler(identity, message)
        except Exception as error:
            write_error(type(message).__name__, error)

    def send(self, identity: bytes, message: Message) -> bool:
        """Send to one peer; False when it is gone or its queue is full."""
        frame = encode_message(message)
        try:
            self._socket.send_multipart((identity, frame), zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.traffic.sent_bytes += len(frame)
        self.traffic.sent_messages += 1
        return True

    def close(self) -> None:
        """Stop listening; messages still queued are sent first."""
        self._socket.close(KEEPALIVE_MS)


class PeerLink:
    """A connection to one peer, with a task that reads it."""

    def __init__(
        self,
        address: str,
        identity: str,
        handler: LinkHandler,
    ) -> None:
        """Connect in the background and start reading."""
        self.address = address
        self.traffic = Traffic()
        self._handler = handler
        self._waiting_by_ask: dict[str, AsyncResult] = {}
        self._socket = _context.socket(zmq.DEALER)
        _limit(self._socket)
        self._socket.setsockopt(zmq.IDENTITY, identity.encode())
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_LEAST_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MOST_MS)
        self._socket.connect(f'tcp://{address}')
        self._reader = gevent.spawn(self._read)

    def send(self, message: Message) -> bool:
        """Send without waiting; False proves that nothing was sent."""
        frame = encode_message(message)
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.traffic.sent_bytes += len(frame)
        self.traffic.sent_messages += 1
        return True

    def ask(
        self,
        ask_id: str,
        message: Message,
        timeout: timedelta,
    ) -> AnyMessage | None:
        """Send and wait for the answer with that ask_id, or None."""
        waiting: AsyncResult = AsyncResult()
        self._waiting_by_ask[ask_id] = waiting
        try:
            if not self.send(message):
                return None
            return waiting.get(timeout=timeout.total_seconds())
        except gevent.Timeout:
            return None
        finally:
            self._waiting_by_ask.pop(ask_id, None)

    def close(self) -> None:
        """Drop the connection and whatever is queued on it."""
        self._reader.kill()
        self._socket.close(0)

    def _read(self) -> None:
        while True:
            frame = self._socket.recv()
            self.traffic.received_bytes += len(frame)
            self.traffic.received_messages += 1
            try:
                message = decode_message(frame)
            except MessageDecodeError:
                continue
            self._deliver(message)

    def _deliver(self, message: AnyMessage) -> None:
        ask_id = getattr(message, 'ask_id', '')
        waiting = self._waiting_by_ask.get(ask_id)
        if waiting is not None:
            waiting.set(message)
            return
        try:
            self._handler(message)
        except Exception as error:
            write_error(type(message).__name__, error)


def _limit(socket: Any) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, HIGHEST_FRAME_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, KEEPALIVE_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 2 * KEEPALIVE_MS)
