"""Claims of Idempotency-Keys through the log, in batches."""

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
BATCH_DELAY = timedelta(milliseconds=5)
READ_TIMEOUT = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=250)
CLAIM_TIMEOUT = timedelta(seconds=3)

LogDecision = Callable[..., None]


@dataclass(slots=True)
class ClaimManager:
    """Appends claims in batches and reads back which request was first.

    One batch is in flight at a time, so that a busy gateway appends
    larger batches instead of more of them.
    """

    log: Log
    clock: Clock
    log_decision: LogDecision
    table: ClaimTable = field(default_factory=ClaimTable)
    caught_up: bool = False
    log_failing_since: timedelta | None = None
    _waiting_by_digest: dict[str, list[AsyncResult]] = field(
        default_factory=dict,
    )
    _claims: list[Claim] = field(default_factory=list)
    _releases: list[Claim] = field(default_factory=list)
    _batch_pending: Event = field(default_factory=Event)

    def claim(
        self,
        workspace: str,
        idempotency_key: str,
        request_id: str,
    ) -> RequestFailure | None:
        """Claim a key for a request; return the failure if that fails.

        While the log is unreachable nothing is sent to a target: a key
        must never run twice, and the caller can retry.
        """
        digest = claim_digest(workspace, idempotency_key)
        if not self.caught_up or self._is_log_down():
            return _unavailable()
        owner = self.table.owner(digest)
        if owner is not None:
            return _key_used(owner)
        return self._wait_for_owner(digest, request_id)

    def release(
        self,
        workspace: str,
        idempotency_key: str,
        request_id: str,
    ) -> None:
        """Release a key whose request is known not to have run."""
        self._queue_release(
            claim_digest(workspace, idempotency_key), request_id
        )

    def append_batches(self) -> None:
        """Append queued claims and releases in an endless loop."""
        while True:
            self._batch_pending.wait()
            self.clock.sleep(BATCH_DELAY)
            self._batch_pending.clear()
            batch = ClaimBatch(tuple(self._claims), tuple(self._releases))
            self._claims.clear()
            self._releases.clear()
            appended = self.log.append(
                CLAIMS_STREAM,
                msgspec.json.encode(batch),
            )
            if not is_successful(appended):
                self._requeue(batch)
                self.clock.sleep(RETRY_DELAY)

    def follow(self) -> None:
        """Follow the claims stream in an endless loop."""
        while True:
            batch = self.log.read(
                CLAIMS_STREAM,
                self.table.through_offset,
                wait=READ_TIMEOUT,
            )
            if not is_successful(batch):
                failure = batch.failure()
                if failure.fault is LogFault.EXPIRED:
                    self.table.through_offset = failure.first_offset
                else:
                    self._record_failure()
                    self.clock.sleep(RETRY_DELAY)
                continue
            self.log_failing_since = None
            read = batch.unwrap()
            self.table.fold(read.first_offset, read.bodies)
            self.caught_up = self.caught_up or not read.bodies
            self._notify_waiters()

    def _wait_for_owner(
        self, digest: str, request_id: str
    ) -> RequestFailure | None:
        waiting: AsyncResult = AsyncResult()
        self._waiting_by_digest.setdefault(digest, []).append(waiting)
        self._claims.append(Claim(digest, request_id))
        self._batch_pending.set()
        try:
            owner = waiting.get(timeout=CLAIM_TIMEOUT.total_seconds())
        except gevent.Timeout:
            self._queue_release(digest, request_id)
            return _unavailable()
        finally:
            self._remove_waiter(digest, waiting)
        return None if owner == request_id else _key_used(owner)

    def _requeue(self, batch: ClaimBatch) -> None:
        """Queue a failed batch again; appending a claim twice is harmless."""
        self._claims.extend(
            claim
            for claim in batch.claims
            if claim.digest in self._waiting_by_digest
        )
        self._releases.extend(batch.releases)
        if self._claims or self._releases:
            self._batch_pending.set()

    def _record_failure(self) -> None:
        if self.log_failing_since is None:
            self.log_failing_since = self.clock.elapsed()

    def _is_log_down(self) -> bool:
        """Return whether the log has failed for longer than CLAIM_TIMEOUT."""
        since = self.log_failing_since
        return (
            since is not None and self.clock.elapsed() - since > CLAIM_TIMEOUT
        )

    def _queue_release(self, digest: str, request_id: str) -> None:
        self._releases.append(Claim(digest, request_id))
        self._batch_pending.set()

    def _remove_waiter(self, digest: str, waiting: AsyncResult) -> None:
        waiters = self._waiting_by_digest[digest]
        waiters.remove(waiting)
        if not waiters:
            del self._waiting_by_digest[digest]

    def _notify_waiters(self) -> None:
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


def _key_used(owner: str) -> RequestFailure:
    return RequestFailure(
        ErrorCode.IDEMPOTENCY_KEY_USED,
        f'the Idempotency-Key belongs to request {owner}',
        Run.UNKNOWN,
    )
