"""Claiming Idempotency-Keys through the log, in batches."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
import msgspec
from gevent.event import AsyncResult, Event
from returns.pipeline import is_successful

from verbenamux_admission.claims import (
    Claim,
    ClaimBatch,
    ClaimTable,
    claim_digest,
)
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.errors import ErrorCode, RequestFailure, Run
from verbenamux_contracts.log import Log, LogFault

CLAIMS_STREAM = 'claims'
BATCH_PAUSE = timedelta(milliseconds=5)
READ_WAIT = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=250)
CLAIM_TIMEOUT = timedelta(seconds=3)

Decide = Callable[..., None]


@dataclass(slots=True)
class ClaimKeeper:
    """Appends claims in batches and reads who was first.

    One batch is under way at a time, so that a busy gateway makes larger
    batches and not more appends.
    """

    log: Log
    clock: Clock
    decide: Decide
    table: ClaimTable = field(default_factory=ClaimTable)
    caught_up: bool = False
    failing_since: timedelta | None = None
    _waiting_by_digest: dict[str, list[AsyncResult]] = field(
        default_factory=dict,
    )
    _claims: list[Claim] = field(default_factory=list)
    _releases: list[Claim] = field(default_factory=list)
    _filled: Event = field(default_factory=Event)

    def claim(
        self,
        workspace: str,
        idempotency_key: str,
        request_id: str,
    ) -> RequestFailure | None:
        """Own a key for a request, or say why not.

        When the log cannot be reached nothing is sent to a target: a key
        must never run twice, and the caller may come back.
        """
        digest = claim_digest(workspace, idempotency_key)
        if not self.caught_up or self._is_down():
            return _unavailable()
        owner = self.table.owner(digest)
        if owner is not None:
            return _used(owner)
        return self._wait(digest, request_id)

    def release(
        self,
        workspace: str,
        idempotency_key: str,
        request_id: str,
    ) -> None:
        """Free a key whose request surely did not run."""
        self._release(claim_digest(workspace, idempotency_key), request_id)

    def append_batches(self) -> None:
        """Append what was claimed and released, for ever."""
        while True:
            self._filled.wait()
            self.clock.sleep(BATCH_PAUSE)
            self._filled.clear()
            batch = ClaimBatch(tuple(self._claims), tuple(self._releases))
            self._claims.clear()
            self._releases.clear()
            appended = self.log.append(
                CLAIMS_STREAM,
                msgspec.json.encode(batch),
            )
            if not is_successful(appended):
                self._append_again(batch)
                self.clock.sleep(RETRY_PAUSE)

    def follow(self) -> None:
        """Read the claims stream for ever."""
        while True:
            batch = self.log.read(
                CLAIMS_STREAM,
                self.table.through_offset,
                wait=READ_WAIT,
            )
            if not is_successful(batch):
                failure = batch.failure()
                if failure.fault is LogFault.EXPIRED:
                    self.table.through_offset = failure.first_offset
                else:
                    self._note_failure()
                    self.clock.sleep(RETRY_PAUSE)
                continue
            self.failing_since = None
            read = batch.unwrap()
            self.table.fold(read.first_offset, read.bodies)
            self.caught_up = self.caught_up or not read.bodies
            self._wake()

    def _wait(self, digest: str, request_id: str) -> RequestFailure | None:
        waiting: AsyncResult = AsyncResult()
        self._waiting_by_digest.setdefault(digest, []).append(waiting)
        self._claims.append(Claim(digest, request_id))
        self._filled.set()
        try:
            owner = waiting.get(timeout=CLAIM_TIMEOUT.total_seconds())
        except gevent.Timeout:
            self._release(digest, request_id)
            return _unavailable()
        finally:
            self._stop_waiting(digest, waiting)
        return None if owner == request_id else _used(owner)

    def _append_again(self, batch: ClaimBatch) -> None:
        """Keep what is still wanted; a claim made twice does no harm."""
        self._claims.extend(
            claim
            for claim in batch.claims
            if claim.digest in self._waiting_by_digest
        )
        self._releases.extend(batch.releases)
        if self._claims or self._releases:
            self._filled.set()

    def _note_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock.elapsed()

    def _is_down(self) -> bool:
        """Tell whether the log has been away for longer than a claim waits."""
        since = self.failing_since
        return (
            since is not None and self.clock.elapsed() - since > CLAIM_TIMEOUT
        )

    def _release(self, digest: str, request_id: str) -> None:
        self._releases.append(Claim(digest, request_id))
        self._filled.set()

    def _stop_waiting(self, digest: str, waiting: AsyncResult) -> None:
        waiters = self._waiting_by_digest[digest]
        waiters.remove(waiting)
        if not waiters:
            del self._waiting_by_digest[digest]

    def _wake(self) -> None:
        for digest, waiters in list(self._waiting_by_digest.items()):
            owner = self.table.owner(digest)
            if owner is not None:
                for waiting in waiters:
                    waiting.set(owner)


def _unavailable() -> RequestFailure:
    return RequestFailure(
        ErrorCode.CLAIM_UNAVAILABLE,
        'the Idempotency-Key cannot be claimed while the log is away',
    )


def _used(owner: str) -> RequestFailure:
    return RequestFailure(
        ErrorCode.IDEMPOTENCY_KEY_USED,
        f'the Idempotency-Key belongs to request {owner}',
        Run.UNKNOWN,
    )
