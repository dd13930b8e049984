"""Messages over ZeroMQ: a server socket, and one link to each peer."""

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
MIN_RECONNECT_DELAY_MS = 50
MAX_RECONNECT_DELAY_MS = 500
# The side that connects probes the connection at this interval and reconnects
# when nothing comes back.
KEEPALIVE_INTERVAL_MS = 2000
# The side that listens learns of most ends by the probes; its own ones find
# connections whose other end vanished in silence.
SERVER_KEEPALIVE_INTERVAL_MS = 15_000
KEEPALIVE_TIMEOUT_MS = 4000
CLOSE_LINGER_MS = 2000
LISTEN_BACKLOG = 4096
MAX_FRAME_BYTES = 32_000_000

PeerHandler = Callable[[bytes, AnyMessage], None]
LinkHandler = Callable[[AnyMessage], None]
DecodeErrorHandler = Callable[[MessageDecodeError], None]

_context = zmq.Context()


@dataclass(slots=True)
class Traffic:
    """Bytes and messages received and sent on a socket."""

    received_bytes: int = 0
    received_messages: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0

    def add(self, other: 'Traffic') -> None:
        """Add the traffic of another socket."""
        self.received_bytes += other.received_bytes
        self.received_messages += other.received_messages
        self.sent_bytes += other.sent_bytes
        self.sent_messages += other.sent_messages


def _ignore_decode_error(error: MessageDecodeError) -> None:
    """Ignore a frame that is not a valid message."""


class PeerServer:
    """Receives messages from any number of peers and replies to them."""

    def __init__(
        self,
        address: str,
        handler: PeerHandler,
        on_decode_error: DecodeErrorHandler = _ignore_decode_error,
    ) -> None:
        """Bind the address; `run` receives messages."""
        self.traffic = Traffic()
        self._handler = handler
        self._on_decode_error = on_decode_error
        self._socket = _context.socket(zmq.ROUTER)
        _configure_socket(self._socket, SERVER_KEEPALIVE_INTERVAL_MS)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.setsockopt(zmq.BACKLOG, LISTEN_BACKLOG)
        self._socket.bind(f'tcp://{address}')

    def run(self) -> None:
        """Receive messages one at a time, forever."""
        while True:
            identity, frame = self._socket.recv_multipart()
            self.traffic.received_bytes += len(frame)
            self.traffic.received_messages += 1
            try:
                message = decode_message(frame)
            except MessageDecodeError as error:
                self._on_decode_error(error)
                continue
            self._handle(identity, message)

    def _handle(self, identity: bytes, message: AnyMessage) -> None:
        """Handle a message; an error must not stop the receive loop."""
        try:
            self._handler(identity, message)
        except Exception as error:
            write_error(type(message).__name__, error)

    def send(self, identity: bytes, message: Message) -> bool:
        """Send to a peer; False if it is disconnected or its queue is full."""
        frame = encode_message(message)
        try:
            self._socket.send_multipart((identity, frame), zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.traffic.sent_bytes += len(frame)
        self.traffic.sent_messages += 1
        return True

    def close(self) -> None:
        """Stop listening; queued messages may still be sent for 2 s."""
        self._socket.close(CLOSE_LINGER_MS)


class PeerLink:
    """A connection to one peer and the task that reads from it."""

    def __init__(
        self,
        address: str,
        identity: str,
        handler: LinkHandler,
    ) -> None:
        """Connect in the background and start to read."""
        self.address = address
        self.traffic = Traffic()
        self._handler = handler
        self._reply_by_ask_id: dict[str, AsyncResult] = {}
        self._socket = _context.socket(zmq.DEALER)
        _configure_socket(self._socket, KEEPALIVE_INTERVAL_MS)
        self._socket.setsockopt(zmq.IDENTITY, identity.encode())
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_DELAY_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_DELAY_MS)
        self._socket.connect(f'tcp://{address}')
        self._reader = gevent.spawn(self._read)

    def send(self, message: Message) -> bool:
        """Send without blocking; False proves that nothing was sent."""
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
        """Send and return the reply with that ask_id, or None."""
        reply: AsyncResult = AsyncResult()
        self._reply_by_ask_id[ask_id] = reply
        try:
            if not self.send(message):
                return None
            return reply.get(timeout=timeout.total_seconds())
        except gevent.Timeout:
            return None
        finally:
            self._reply_by_ask_id.pop(ask_id, None)

    def close(self) -> None:
        """Close the connection and discard its queued messages."""
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
        reply = self._reply_by_ask_id.get(ask_id)
        if reply is not None:
            reply.set(message)
            return
        try:
            self._handler(message)
        except Exception as error:
            write_error(type(message).__name__, error)


def _configure_socket(socket: Any, keepalive_interval_ms: int) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, keepalive_interval_ms)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, KEEPALIVE_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, KEEPALIVE_TIMEOUT_MS)
