"""Responses of a target, checked as they are parsed."""

from typing import Any

from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from verbenamux_http.parsing import FIRST_FINAL_STATUS, start_line_fault

PROTOCOL_PREFIX = 'HTTP/'


class TargetResponse(HTTPSocketPoolResponse):
    """A response that raises HTTPParseError where it is not valid.

    Beyond what the parser checks, that is a status code or a version that
    does not exist, and the body of an interim response.
    """

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

    def _on_headers_complete(self) -> Any:
        version = self.get_http_version().removeprefix(PROTOCOL_PREFIX)
        fault = start_line_fault(version, self.status_code)
        if fault is not None:
            raise HTTPParseError(fault)
        is_bodiless = super()._on_headers_complete()
        if self.status_code < FIRST_FINAL_STATUS:
            # The base class drops what follows a head that answers a HEAD.
            self._message_ended_in_skip_body = False
        return is_bodiless

    def _on_body(self, piece: bytearray) -> None:
        if self.status_code < FIRST_FINAL_STATUS:
            raise HTTPParseError('an interim response with a body')
        super()._on_body(piece)
