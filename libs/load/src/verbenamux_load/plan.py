"""The load to send, read from a JSON file."""

import enum

from verbenamux_runtime.settings import (
    Address,
    Duration,
    Settings,
    default_duration,
)


class CallKind(enum.Enum):
    """The kinds of request that a load sends."""

    CHAT = 'chat'
    STREAM = 'stream'
    SERVICE = 'service'


class Caller(Settings, frozen=True):
    """A series of requests with one API key.

    `rate` is in requests per second, with exponentially distributed gaps.
    With `repeats` each request is sent that many times at once, under one
    Idempotency-Key, each through a randomly chosen gateway.
    """

    name: str
    key: str
    kind: CallKind
    rate: float
    models: tuple[str, ...] = ()
    path: str = ''
    method: str = 'POST'
    prompt_words: int = 32
    shared_words: int = 0
    output_tokens: int = 16
    idempotent: bool | None = None
    idempotency_keys: bool = False
    repeats: int = 1
    deadline_ms: int | None = None
    start: Duration = default_duration('0s')
    stop: Duration | None = None


class LoadPlan(Settings, frozen=True):
    """A load: the callers, the gateways and the duration."""

    gateways: tuple[Address, ...]
    duration: Duration
    callers: tuple[Caller, ...]
    seed: int = 0
    timeout: Duration = default_duration('90s')
    weights: tuple[float, ...] = ()
