"""Metadata of requests and answers, independent of the protocol."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """The metadata of a caller's request.

    `time_left` is how long the caller waits, None if it is not given.
    """

    request_id: str
    host: str
    key: str | None = None
    time_left: timedelta | None = None
    model: str | None = None
    adapter: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    has_token_counts: bool = False
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share.

        The last part of a prompt belongs to its request alone.
        """
        return self.parts[:-1]

    @property
    def model_key(self) -> str:
        """Return the model with its adapter, which have their own cache."""
        return f'{self.model or ""}/{self.adapter or ""}'


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """A target's own count of its requests.

    `pace` is how long work takes on its host now, as a factor on the usual
    time; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None
