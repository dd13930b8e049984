"""HTTP client for the target of the agent."""

from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from geventhttpclient.client import IDEMPOTENT_METHODS
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError
from returns.result import Failure, Result, Success

from verbenamux_agent.target_response import TargetResponse
from verbenamux_contracts.errors import Run

OK = 200
ACCEPTED = 202
NOT_FOUND = 404
CONFLICT = 409
CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=60)
READ_CHUNK_BYTES = 65536
EVENT_END = b'\n\n'
NETWORK_ERRORS = (OSError, HTTPConnectionClosed, HTTPParseError)

HeaderPairs = tuple[tuple[str, str], ...]


class ReportedResident(msgspec.Struct, frozen=True):
    """One row of an engine's memory report."""

    name: str
    version: str
    memory_mb: int
    state: str
    adapter: bool = False


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its state, which lags behind."""

    residents: tuple[ReportedResident, ...]
    capacity_mb: int
    slots: int
    prefill_tokens_per_second: int
    decode_ms: int
    running: int


class OrderAnswer(msgspec.Struct, frozen=True):
    """The result of an order at an engine: `done` or `began`."""

    state: str = 'began'


class CancelAnswer(msgspec.Struct, frozen=True):
    """An engine's report whether a cancelled attempt ran."""

    run: str


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache."""

    sequence: int
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A call to the target that failed.

    `run` is whether the target may have executed it; `status` is zero if
    there was no response.
    """

    message: str
    run: Run
    status: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call to the target; `no_retry` forbids sending it again."""

    method: str
    path: str
    body: bytes = b''
    headers: HeaderPairs = ()
    no_retry: bool = False


class TargetClient:
    """HTTP client of one target with a small connection pool."""

    def __init__(self, address: str, connections: int) -> None:
        """Create the pool; nothing is sent yet."""
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._pool = self._make_pool(connections)

    def open(self, call: Call) -> Result[Any, TargetFailure]:
        """Send a call and return its response with the body unread.

        A refused connection proves that nothing ran.
        """
        try:
            response = self._send(call)
        except ConnectionRefusedError as error:
            return Failure(TargetFailure(repr(error), Run.NOT_RUN))
        except NETWORK_ERRORS as error:
            return Failure(TargetFailure(repr(error), Run.UNKNOWN))
        return Success(response)

    def _send(self, call: Call) -> TargetResponse:
        if call.no_retry:
            return self._send_once(call, self._make_pool(1))
        # A kept connection may close as a call is sent.
        is_repeatable = call.method in IDEMPOTENT_METHODS
        for _ in range(self._pool.size + 1 if is_repeatable else 0):
            with suppress(HTTPConnectionClosed):
                return self._send_once(call, self._pool)
        return self._send_once(call, self._pool)

    def _send_once(self, call: Call, pool: ConnectionPool) -> TargetResponse:
        """Send a call; the response may have come before all was sent."""
        connection = pool.get_socket()
        try:
            is_connection_lost = self._send_bytes(connection, call)
        except BaseException:
            pool.release_socket(connection)
            raise
        return TargetResponse(
            connection,
            pool,
            call.method,
            is_connection_lost=is_connection_lost,
        )

    def _send_bytes(self, connection: Any, call: Call) -> bool:
        """Return whether an error ended the connection meanwhile."""
        try:
            connection.sendall(self._encode(call))
        except BrokenPipeError:
            # Linux reports a reset this way if an orderly end precedes it:
            # the response may be complete.
            return False
        except ConnectionResetError:
            return True
        return False

    def _make_pool(self, size: int) -> ConnectionPool:
        return ConnectionPool(
            self._host,
            self._port,
            self._host,
            self._port,
            size=size,
            connection_timeout=CONNECT_TIMEOUT.total_seconds(),
            network_timeout=READ_TIMEOUT.total_seconds(),
        )

    def _encode(self, call: Call) -> bytes:
        lines = [f'{call.method} {call.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in call.headers)
        lines.append(f'host: {self._host}:{self._port}')
        lines.append(f'content-length: {len(call.body)}')
        if call.no_retry:
            lines.append('connection: close')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode('latin-1') + call.body

    def exchange(self, call: Call) -> Result[bytes, TargetFailure]:
        """Send a call and return the complete body of a successful response."""
        return self.open(call).bind(_read_body)


def read_events(response: Any) -> Iterator[bytes]:
    """Yield the payload of each server-sent event.

    Raises one of NETWORK_ERRORS when the connection breaks.
    """
    while True:
        frame = bytes(response.readline(EVENT_END))
        if not frame:
            return
        _, _, payload = frame.rstrip(b'\n').partition(b'data: ')
        yield payload


def read_chunks(response: Any) -> Iterator[bytes]:
    """Yield the body of a response in chunks."""
    while chunk := response.read(READ_CHUNK_BYTES):
        yield bytes(chunk)


def response_headers(
    response: Any,
    wanted: Iterable[str],
) -> HeaderPairs:
    """Return those of the wanted headers that a response has."""
    return tuple(
        (name, response.get(name)) for name in wanted if response.get(name)
    )


def _read_body(response: Any) -> Result[bytes, TargetFailure]:
    try:
        body = bytes(response.read())
    except NETWORK_ERRORS as error:
        return Failure(TargetFailure(repr(error), Run.UNKNOWN))
    if response.status_code in {OK, ACCEPTED}:
        return Success(body)
    return Failure(
        TargetFailure(
            f'status {response.status_code}',
            Run.NOT_RUN,
            response.status_code,
        ),
    )
