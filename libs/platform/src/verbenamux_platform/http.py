"""One bounded HTTP exchange with the platform."""

from dataclasses import dataclass
from datetime import timedelta

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError
from returns.result import Failure, Result, Success

from verbenamux_platform.errors import PlatformFailure, PlatformFault

GONE = 410
FIRST_BAD_STATUS = 400
POOL_SIZE = 4


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a platform service listens, by IP number and port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Answer:
    """A status with its body."""

    status: int
    body: bytes


def parse_endpoint(address: str) -> Endpoint:
    """Return the endpoint of an `ip:port` text."""
    host, _, port = address.rpartition(':')
    return Endpoint(host, int(port))


def open_client(endpoint: Endpoint, timeout: timedelta) -> HTTPClient:
    """Return a client whose connects and reads are bounded in time."""
    seconds = timeout.total_seconds()
    return HTTPClient(
        endpoint.host,
        endpoint.port,
        connection_timeout=seconds,
        network_timeout=seconds,
        concurrency=POOL_SIZE,
    )


def exchange(
    client: HTTPClient,
    method: str,
    path: str,
    body: bytes = b'',
) -> Result[Answer, PlatformFailure]:
    """Send one request and read its whole answer."""
    try:
        response = client.request(method, path, body)
        answer = Answer(response.status_code, bytes(response.read()))
    except (OSError, HTTPConnectionClosed, HTTPParseError) as error:
        return Failure(
            PlatformFailure(PlatformFault.UNREACHABLE, repr(error)),
        )
    if answer.status >= FIRST_BAD_STATUS and answer.status != GONE:
        return Failure(
            PlatformFailure(
                PlatformFault.REFUSED,
                f'{method} {path}: status {answer.status}',
            ),
        )
    return Success(answer)
