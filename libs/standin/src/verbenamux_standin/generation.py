"""Output of the engine stand-in: each token carries a prompt digest."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from gevent.event import Event

DIGEST_LENGTH = 8
DEFAULT_TOKENS = 16
BLOCK_WORDS = 32
DONE = b'[DONE]'


class Message(msgspec.Struct):
    """One chat message."""

    role: str
    content: str


class CompletionBody(msgspec.Struct):
    """The fields of a completion request that the engine reads."""

    model: str
    messages: list[Message] = []
    prompt: str = ''
    max_tokens: int = DEFAULT_TOKENS
    adapter: str = ''

    @property
    def text(self) -> str:
        """The whole prompt."""
        if self.messages:
            return '\n'.join(message.content for message in self.messages)
        return self.prompt


@dataclass(slots=True)
class Attempt:
    """One generation; it continues while its reader is disconnected.

    Events are numbered from `first`, the index a continuation starts at.
    """

    attempt_id: str
    body: CompletionBody
    chat: bool
    first: int = 0
    events: list[bytes] = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    started: bool = False
    changed: Event = field(default_factory=Event)

    def publish(self, event: bytes) -> None:
        """Add one event and wake the readers."""
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed.clear()


def prompt_digest(text: str) -> str:
    """Return the short digest that every token of the answer carries."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def token_text(digest: str, index: int) -> str:
    """Return the text of one token."""
    return f'{digest}-{index} '


def count_words(text: str) -> int:
    """Return a prompt's token count: one per word, at least 1."""
    return max(1, len(text.split()))


def prefix_hashes(text: str) -> Iterator[int]:
    """Yield a chained hash for each whole block of a prompt's words."""
    words = text.split()
    chain = hashlib.sha256()
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        chain.update(' '.join(words[start : start + BLOCK_WORDS]).encode())
        yield int.from_bytes(chain.digest()[:4], 'big')


def token_event(attempt: Attempt, name: str, text: str) -> bytes:
    """Return one stream event in the OpenAI chunk format."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if attempt.chat:
        choice['delta'] = {'content': text}
        object_type = 'chat.completion.chunk'
    else:
        choice['text'] = text
        object_type = 'text_completion'
    return msgspec.json.encode(
        {
            'id': name,
            'object': object_type,
            'model': attempt.body.model,
            'choices': [choice],
        },
    )


def last_event(attempt: Attempt, name: str, tokens: int) -> bytes:
    """Return the last event of a stream, with its token usage."""
    prompt_tokens = count_words(attempt.body.text)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if attempt.chat:
        choice['delta'] = {}
    else:
        choice['text'] = ''
    return msgspec.json.encode(
        {
            'id': name,
            'object': 'chat.completion.chunk',
            'model': attempt.body.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': prompt_tokens,
                'completion_tokens': tokens,
                'total_tokens': prompt_tokens + tokens,
            },
        },
    )
