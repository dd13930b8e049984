"""Prompts whose answers can be checked: each token names its prompt."""

import hashlib
from random import Random

DIGEST_LETTERS = 8
SHARED_WORD = 'waiver'


def make_prompt(call_id: str, shared: int, words: int, random: Random) -> str:
    """Return a prompt with a shared beginning and words of its own."""
    prefix = [f'{SHARED_WORD}{number}' for number in range(shared)]
    own = [f'w{random.randrange(10_000)}' for _ in range(words)]
    return ' '.join([*prefix, call_id, *own])


def digest_of(prompt: str) -> str:
    """Return the digest that an engine stand-in puts in each token."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_LETTERS]


def whole_answer(digest: str, tokens: int) -> str:
    """Return the text of a whole answer."""
    return ''.join(f'{digest}-{number} ' for number in range(tokens))
