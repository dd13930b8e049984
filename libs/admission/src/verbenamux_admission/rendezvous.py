"""Rendezvous hashing: the same few names for a key on every process."""

import hashlib
import heapq
from collections.abc import Iterable


def pick(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names with the greatest hashes for a key, best first."""
    return heapq.nlargest(count, names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    material = f'{key}\0{name}'.encode()
    return hashlib.blake2b(material, digest_size=8).digest()
