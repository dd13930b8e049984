"""Identifiers that are sent between processes."""

import secrets
from typing import NewType

RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
InstanceId = NewType('InstanceId', str)

ID_RANDOM_BYTES = 9


def _random_id(prefix: str) -> str:
    return f'{prefix}-{secrets.token_hex(ID_RANDOM_BYTES)}'


def new_request_id() -> RequestId:
    """Return a new identifier for a request of a caller."""
    return RequestId(_random_id('req'))


def new_attempt_id() -> AttemptId:
    """Return a new identifier for an attempt at a target."""
    return AttemptId(_random_id('att'))


def new_instance_id(host: str) -> InstanceId:
    """Return a new identifier for one lifetime of a process on a host."""
    return InstanceId(_random_id(host))
