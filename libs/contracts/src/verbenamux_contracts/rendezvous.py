"""Rendezvous hashing: the same few names for a key on every process."""

import hashlib
import heapq
from collections.abc import Iterable
from functools import lru_cache

# Weights remembered: some hundred keys with some dozen names.
WEIGHTS_KEPT = 8000


def pick(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names with the greatest weights for a key, best first."""
    return heapq.nlargest(count, names, key=lambda name: weight(key, name))


@lru_cache(maxsize=WEIGHTS_KEPT)
def weight(key: str, name: str) -> int:
    """Return the same rank of a name for a key on every process."""
    material = f'{key}\0{name}'.encode()
    digest = hashlib.blake2b(material, digest_size=8).digest()
    return int.from_bytes(digest, 'big')
