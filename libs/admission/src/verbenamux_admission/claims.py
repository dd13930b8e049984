"""Who may run a request with an Idempotency-Key: a fold of claims."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from verbenamux_contracts.decoding import DECODE_ERRORS

MAX_CLAIMS = 200_000


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One request's claim to a digest of workspace and key."""

    digest: str
    request_id: str


class ClaimBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Claims and releases that one gateway appended together.

    A release by the owner frees the digest: its request did not run.
    """

    claims: tuple[Claim, ...] = ()
    releases: tuple[Claim, ...] = ()


def claim_digest(workspace: str, idempotency_key: str) -> str:
    """Return the digest under which a key is claimed."""
    content = f'{workspace}\0{idempotency_key}'.encode()
    return hashlib.blake2b(content, digest_size=16).hexdigest()


@dataclass(slots=True)
class ClaimTable:
    """The first claim of each digest, in log order, wins."""

    through_offset: int = 0
    owner_by_digest: OrderedDict[str, str] = field(
        default_factory=OrderedDict,
    )

    def fold(self, first_offset: int, bodies: Iterable[bytes]) -> None:
        """Fold a run of batches; unreadable ones claim nothing."""
        for offset, body in enumerate(bodies, first_offset):
            if offset < self.through_offset:
                continue
            self._fold_one(body)
            self.through_offset = offset + 1

    def owner(self, digest: str) -> str | None:
        """Return the request that owns a digest, if one does."""
        return self.owner_by_digest.get(digest)

    def _fold_one(self, body: bytes) -> None:
        try:
            batch = msgspec.json.decode(body, type=ClaimBatch)
        except DECODE_ERRORS:
            return
        for claim in batch.claims:
            self.owner_by_digest.setdefault(claim.digest, claim.request_id)
        for release in batch.releases:
            if self.owner_by_digest.get(release.digest) == release.request_id:
                del self.owner_by_digest[release.digest]
        while len(self.owner_by_digest) > MAX_CLAIMS:
            self.owner_by_digest.popitem(last=False)
