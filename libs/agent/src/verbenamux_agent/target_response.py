"""Responses of a target."""

from typing import Any

from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPSocketPoolResponse,
)


class TargetResponse(HTTPSocketPoolResponse):
    """A response that a lost connection does not complete."""

    def __init__(
        self,
        connection: Any,
        pool: ConnectionPool,
        method: str,
        *,
        is_connection_lost: bool,
    ) -> None:
        """Read the head.

        `is_connection_lost`: an error ended the connection. A socket reports
        it once, so its end then says nothing of the response.
        """
        self._is_connection_lost = is_connection_lost
        super().__init__(connection, pool, method=method)

    def feed(self, received: str | bytes) -> None:
        """Parse more bytes; no bytes are the end of the connection."""
        if self._is_connection_lost and not received:
            raise HTTPConnectionClosed('the connection was lost')
        super().feed(received)
