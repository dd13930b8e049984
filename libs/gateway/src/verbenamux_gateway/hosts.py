"""Client of the platform's host list, which lags behind."""

import enum
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from verbenamux_contracts.clock import Clock
from verbenamux_http.client import (
    ConnectionPool,
    Outgoing,
    call,
    parse_address,
)
from verbenamux_http.errors import ExchangeFailure
from verbenamux_http.headers import Headers

DEFAULT_TIMEOUT = timedelta(seconds=2)
OK = 200


class HostState(enum.Enum):
    """The state of a host as the platform last listed it."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostEntry(msgspec.Struct, frozen=True):
    """A listed host; the role names the program that runs there."""

    name: str
    role: str
    address: str
    data_centre: str
    state: HostState


class HostAnswer(msgspec.Struct, frozen=True):
    """The list as the platform returns it."""

    hosts: tuple[HostEntry, ...]


class HostListClient:
    """Reads the list of live and leaving hosts, which may be late."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        timeout: timedelta = DEFAULT_TIMEOUT,
    ) -> None:
        """Prepare a client; nothing is sent yet."""
        self._host = address
        self._address = parse_address(address)
        self._pool = ConnectionPool(clock.elapsed)
        self._timeout = timeout

    def read(self) -> Result[tuple[HostEntry, ...], str]:
        """Return every listed host, or the reason of a failed read."""
        outgoing = Outgoing('GET', '/hosts', Headers((('Host', self._host),)))
        try:
            head, body = call(
                self._pool,
                self._address,
                outgoing,
                self._timeout,
            )
        except ExchangeFailure as failure:
            return Failure(failure.message)
        if head.status != OK:
            return Failure(f'the host list answered {head.status}')
        try:
            return Success(msgspec.json.decode(body, type=HostAnswer).hosts)
        except msgspec.MsgspecError as error:
            return Failure(str(error))
