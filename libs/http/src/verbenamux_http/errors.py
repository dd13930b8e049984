"""Failures of an HTTP exchange, by what is known of its effect."""

import enum
from dataclasses import dataclass


class Fault(enum.Enum):
    """The kinds of failure of one exchange with a peer.

    UNSENT: no byte of the request reached the peer.
    TIMED_OUT: the peer did not answer in time.
    BROKEN: the connection ended before the answer did.
    MALFORMED: the peer sent bytes that are not a valid answer.
    TOO_LARGE: the peer sent more bytes than an answer may need.
    """

    UNSENT = 'unsent'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class ExchangeFailure(Exception):
    """An exchange that gave no complete answer."""

    fault: Fault
    message: str


class AnswerStartedError(Exception):
    """A second head for a request whose answer has begun: a bug."""


@dataclass(frozen=True, slots=True)
class RequestError(Exception):
    """A caller's bytes that are refused, with the status to refuse them.

    `status` is None when the caller has disconnected or sent nothing between
    requests, and no answer is due.
    """

    status: int | None
    message: str


class CallerDisconnected(Exception):
    """The caller closed its connection while its request was handled."""


class ListenerStopping(Exception):
    """The listener is stopping: open requests need their final answer now."""
