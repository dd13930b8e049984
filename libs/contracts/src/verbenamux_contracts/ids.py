"""Identifiers that travel between processes."""

import secrets
from typing import NewType

RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
InstanceId = NewType('InstanceId', str)

ID_BYTES = 9


def _token(prefix: str) -> str:
    return f'{prefix}-{secrets.token_hex(ID_BYTES)}'


def new_request_id() -> RequestId:
    """Return a fresh identifier for one caller's request."""
    return RequestId(_token('req'))


def new_attempt_id() -> AttemptId:
    """Return a fresh identifier for one attempt at one target."""
    return AttemptId(_token('att'))


def new_instance_id(host: str) -> InstanceId:
    """Return a fresh identifier for one run of a process on a host."""
    return InstanceId(_token(host))
