"""Interface to the protocol that callers and targets speak.

The gateway knows no header by name: a dialect reads and writes them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_http.headers import Headers
from verbenamux_http.parsing import ResponseHead
from verbenamux_relay.terms import LoadNotice, RequestTerms


@dataclass(frozen=True, slots=True)
class Addressing:
    """The fields a gateway adds to a request for one target.

    `urgency` ranks from 0, the most urgent, to 9.
    """

    target_id: str
    workspace: str | None
    time_left: timedelta
    urgency: int | None = None
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerTerms:
    """The metadata of a target's answer.

    `is_leaving` is whether the target says that it leaves, `retry_after` how
    long it wants no requests of this gateway.
    """

    request_id: str | None
    target_id: str | None
    is_signed: bool
    was_not_run: bool
    is_misdirected: bool
    load: LoadNotice | None
    is_leaving: bool = False
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A failure that the gateway answers itself."""

    status: int
    cause: str
    request_id: str | None = None
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Dialect:
    """The functions that read and write a protocol's headers.

    `read_terms` raises RequestError when a header can't be read.
    """

    read_terms: Callable[[Headers], RequestTerms]
    address: Callable[[Headers, Addressing], Headers]
    read_answer: Callable[[ResponseHead], AnswerTerms]
    encode_refusal: Callable[[Refusal], tuple[Headers, bytes]]
    protected_fields: frozenset[str]
