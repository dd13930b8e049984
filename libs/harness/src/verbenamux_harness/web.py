"""Blocking HTTP calls to a fleet's processes."""

import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

CALL_TIMEOUT_SECONDS = 10
POLL_INTERVAL_SECONDS = 0.05
WAIT_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class ConditionTimeoutError(Exception):
    """A condition was not met in time."""


def call(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    seconds: float = CALL_TIMEOUT_SECONDS,
) -> Response:
    """Send a request; an error status is returned, not raised."""
    request = urllib.request.Request(
        url,
        data=body,
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return Response(
                response.status,
                _lower_names(dict(response.headers)),
                response.read(),
            )
    except urllib.error.HTTPError as error:
        return Response(
            error.code, _lower_names(dict(error.headers)), error.read()
        )


def wait_until(
    condition: Callable[[], bool],
    description: str,
    seconds: float = WAIT_TIMEOUT_SECONDS,
) -> None:
    """Wait for a condition, or raise ConditionTimeoutError."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass  # A process that does not listen yet is not ready.
        time.sleep(POLL_INTERVAL_SECONDS)
    raise ConditionTimeoutError(description)


def _lower_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.lower(): text for name, text in headers.items()}
