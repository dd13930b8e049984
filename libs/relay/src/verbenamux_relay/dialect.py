"""What a gateway asks of the protocol that callers and targets speak.

The gateway knows no header by name: a dialect reads and writes them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_http.headers import Headers
from verbenamux_http.parsing import ResponseHead


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller says of its request besides the request itself.

    `time_left` is how long the caller waits, None when it does not say.
    """

    request_id: str
    host: str
    key: str | None = None
    time_left: timedelta | None = None
    model: str | None = None
    adapter: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    names_tokens: bool = False
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None

    @property
    def model_key(self) -> str:
        """Name the model with its adapter, which own their kept prompts."""
        return f'{self.model or ""}/{self.adapter or ""}'


@dataclass(frozen=True, slots=True)
class Addressing:
    """What a gateway adds to a request for one target.

    `urgency` ranks from 0, the most urgent, to 9.
    """

    target_id: str
    workspace: str | None
    time_left: timedelta
    urgency: int | None = None
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """A target's own count of its requests."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What a target says of its answer besides the answer itself."""

    request_id: str | None
    target_id: str | None
    is_proven: bool
    was_not_run: bool
    is_misdirected: bool
    load: LoadNotice | None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A failure that the gateway answers by itself."""

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
    word_refusal: Callable[[Refusal], tuple[Headers, bytes]]
    kept_fields: frozenset[str]
