"""Small blocking HTTP calls to a fleet's processes."""

import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

TIMEOUT_SECONDS = 10
POLL_SECONDS = 0.05
WAIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer in whole."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class ConditionTimeoutError(Exception):
    """Something awaited did not come about in time."""


def call(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    seconds: float = TIMEOUT_SECONDS,
) -> Answer:
    """Send a request; a bad status is an answer like any other."""
    request = urllib.request.Request(
        url,
        data=body,
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return Answer(
                response.status,
                _lower(dict(response.headers)),
                response.read(),
            )
    except urllib.error.HTTPError as error:
        return Answer(error.code, _lower(dict(error.headers)), error.read())


def wait_until(
    condition: Callable[[], bool],
    what: str,
    seconds: float = WAIT_SECONDS,
) -> None:
    """Wait for a condition, or raise ConditionTimeoutError."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass  # Not listening yet is one way of not being there yet.
        time.sleep(POLL_SECONDS)
    raise ConditionTimeoutError(what)


def _lower(headers: dict[str, str]) -> dict[str, str]:
    return {name.lower(): text for name, text in headers.items()}
