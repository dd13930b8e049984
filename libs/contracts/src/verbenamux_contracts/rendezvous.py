"""Rendezvous hashing: every process picks the same names for a key."""

import hashlib
import heapq
from collections.abc import Iterable
from functools import lru_cache

# Enough for some hundred keys with some dozen names.
WEIGHT_CACHE_ENTRIES = 8000


def pick(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names with the greatest weights for a key, best first."""
    return heapq.nlargest(count, names, key=lambda name: weight(key, name))


@lru_cache(maxsize=WEIGHT_CACHE_ENTRIES)
def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key, the same in every process."""
    material = f'{key}\0{name}'.encode()
    digest = hashlib.blake2b(material, digest_size=8).digest()
    return int.from_bytes(digest, 'big')
