"""Client of the lagging host list."""

import enum
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from verbenamux_platform.errors import PlatformFailure, PlatformFault
from verbenamux_platform.http import Answer, Endpoint, exchange, open_client

DEFAULT_TIMEOUT = timedelta(seconds=2)


class HostState(enum.Enum):
    """What the platform last knew of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostEntry(msgspec.Struct, frozen=True):
    """One host; the role tells which of our programs runs there."""

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
        endpoint: Endpoint,
        timeout: timedelta = DEFAULT_TIMEOUT,
    ) -> None:
        """Prepare a client; nothing is sent yet."""
        self._client = open_client(endpoint, timeout)

    def read(self) -> Result[tuple[HostEntry, ...], PlatformFailure]:
        """Return every host on the list."""
        return exchange(self._client, 'GET', '/hosts').bind(_decode)


def _decode(
    answer: Answer,
) -> Result[tuple[HostEntry, ...], PlatformFailure]:
    try:
        decoded = msgspec.json.decode(answer.body, type=HostAnswer)
    except msgspec.MsgspecError as error:
        return Failure(
            PlatformFailure(PlatformFault.UNREADABLE, str(error)),
        )
    return Success(decoded.hosts)
