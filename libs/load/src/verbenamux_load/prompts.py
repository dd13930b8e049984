"""Prompts whose answers can be verified: tokens carry a prompt digest."""

import hashlib
from random import Random

DIGEST_LENGTH = 8
PREFIX_WORD = 'waiver'


def make_prompt(
    call_id: str, shared_words: int, random_words: int, random: Random
) -> str:
    """Return a prompt with a shared prefix and random words after it."""
    prefix = [f'{PREFIX_WORD}{number}' for number in range(shared_words)]
    suffix = [f'w{random.randrange(10_000)}' for _ in range(random_words)]
    return ' '.join([*prefix, call_id, *suffix])


def digest_of(prompt: str) -> str:
    """Return the digest that an engine stand-in puts in each token."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_LENGTH]


def whole_answer(digest: str, tokens: int) -> str:
    """Return the text of a complete answer."""
    return ''.join(f'{digest}-{number} ' for number in range(tokens))
