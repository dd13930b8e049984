"""Completion requests: bodies, token counts and answers."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Annotated, Any

import msgspec

from verbenamux_routing.score import BLOCK_WORDS

HASH_BYTES = 4
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 16

Text = Annotated[str, msgspec.Meta(max_length=4_000_000)]
ModelText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class ContentPart(msgspec.Struct):
    """One part of a message's content; only text is counted."""

    type: str = 'text'
    text: Text = ''


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: Text | list[ContentPart] | None = None

    @property
    def text(self) -> str:
        """The message's text."""
        if isinstance(self.content, list):
            return ''.join(part.text for part in self.content)
        return self.content or ''


class ChatBody(msgspec.Struct):
    """The fields of a chat request that are read; others pass through."""

    model: ModelText
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The whole prompt."""
        return '\n'.join(message.text for message in self.messages)


class TextBody(msgspec.Struct):
    """The fields of a text completion request that the gateway reads."""

    model: ModelText
    prompt: Text
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The whole prompt."""
        return self.prompt


CompletionBody = ChatBody | TextBody


@dataclass(frozen=True, slots=True)
class MeasuredPrompt:
    """A prompt's size in tokens and the hashes of its blocks."""

    tokens: int
    blocks: tuple[int, ...]


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    text: str = ''
    finish_reason: str | None = None


class _Event(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    usage: dict[str, int] | None = None


_decode_event = msgspec.json.Decoder(_Event).decode


def measure_prompt(text: str) -> MeasuredPrompt:
    """Return a prompt's size and its block hashes.

    The engines' tokenizers are not available here: four bytes count as
    one token, and the usage that an engine reports corrects the estimate.
    """
    tokens = max(1, -(-len(text.encode()) // BYTES_PER_TOKEN))
    return MeasuredPrompt(tokens, tuple(_block_hashes(text)))


def output_tokens(body: CompletionBody, limit: int) -> int:
    """Return the output tokens to reserve for a request."""
    requested = body.max_completion_tokens or body.max_tokens
    return min(requested or DEFAULT_OUTPUT_TOKENS, limit)


def rewrite_body(
    encoded: bytes,
    model: str,
    adapter: str,
    tokens: int,
) -> bytes:
    """Return the body for the target: streamed, with usage included.

    Fields that the gateway does not know pass through unchanged.
    """
    fields: dict[str, Any] = msgspec.json.decode(encoded)
    fields.pop('max_completion_tokens', None)
    fields['model'] = model
    fields['stream'] = True
    fields['stream_options'] = {'include_usage': True}
    fields['max_tokens'] = tokens
    if adapter:
        fields['adapter'] = adapter
    return msgspec.json.encode(fields)


def assemble(
    events: Iterable[bytes],
    request_id: str,
    model: str,
    now: datetime,
    *,
    chat: bool,
) -> bytes:
    """Return the complete answer assembled from a stream's events."""
    decoded = [_decode_event(event) for event in events]
    text = ''.join(_texts(decoded))
    usages = [event.usage for event in decoded if event.usage]
    reasons = [
        choice.finish_reason
        for event in decoded
        for choice in event.choices
        if choice.finish_reason
    ]
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': reasons[-1] if reasons else None,
    }
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return msgspec.json.encode(
        {
            'id': request_id,
            'object': 'chat.completion' if chat else 'text_completion',
            'created': int(now.timestamp()),
            'model': model,
            'choices': [choice],
            'usage': usages[-1] if usages else None,
        },
    )


def _texts(events: Iterable[_Event]) -> Iterator[str]:
    for event in events:
        for choice in event.choices:
            yield choice.delta.content or choice.text


def _block_hashes(text: str) -> Iterator[int]:
    words = text.split()
    chain = hashlib.sha256()
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        chain.update(' '.join(words[start : start + BLOCK_WORDS]).encode())
        yield int.from_bytes(chain.digest()[:HASH_BYTES], 'big')
