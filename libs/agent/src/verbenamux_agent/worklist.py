"""What the agent was asked to do: queued fairly, run in slots."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import gevent
import msgspec

from verbenamux_admission.fairqueue import FairQueue
from verbenamux_agent.attempts import Attempt, AttemptState, AttemptTable
from verbenamux_agent.execution import Executor
from verbenamux_contracts.clock import Clock, milliseconds, to_milliseconds
from verbenamux_contracts.errors import ErrorCode, Run
from verbenamux_contracts.ids import AttemptId, RequestId
from verbenamux_contracts.messages import (
    Accepted,
    Broken,
    Cancel,
    Cancelled,
    Dispatch,
    End,
    Message,
    Refused,
    Resume,
)

ORPHAN_KEPT = timedelta(seconds=10)

Send = Callable[[bytes, Message], bool]
Prepare = Callable[[Dispatch], Refused | None]


@dataclass(slots=True)
class Pace:
    """What the target's last report said of its speed."""

    slots: int
    decode_ms: int = 0


class WorkList:
    """All attempts of one target, and the slots they run in."""

    def __init__(
        self,
        instance: str,
        clock: Clock,
        table: AttemptTable,
        pace: Pace,
        queue_most: int,
        send: Send,
        prepare: Prepare,
    ) -> None:
        """Start idle; `executor` must be set before work comes."""
        self.table = table
        self.pace = pace
        self.executor: Executor
        self.leaving = False
        self.running = 0
        self.running_tokens = 0
        self._instance = instance
        self._clock = clock
        self._queue_most = queue_most
        self._queue: FairQueue[Attempt] = FairQueue()
        self._send = send
        self._prepare = prepare

    @property
    def queued_tokens(self) -> int:
        """Tokens waiting for a slot."""
        return self._queue.waiting_tokens

    def dispatch(self, gateway: bytes, dispatch: Dispatch) -> None:
        """Queue an attempt, or refuse it with proof that it never runs."""
        known = self.table.by_id.get(dispatch.attempt_id)
        if known is not None:
            known.gateway = gateway
            self._send(gateway, Accepted(dispatch.attempt_id))
            return
        refusal = self._refusal(dispatch)
        if refusal is not None:
            self.table.bury(dispatch.attempt_id, Run.NOT_RUN)
            self._send(gateway, refusal)
            return
        deadline = self._clock.elapsed() + milliseconds(dispatch.budget_ms)
        attempt = Attempt(dispatch, gateway, deadline, first=dispatch.emitted)
        self.table.by_id[dispatch.attempt_id] = attempt
        self._queue.push(
            dispatch.workspace,
            attempt,
            dispatch.tokens,
            dispatch.priority,
            dispatch.weight,
        )
        self._send(gateway, Accepted(dispatch.attempt_id))
        self.fill_slots()

    def resume(self, gateway: bytes, resume: Resume) -> None:
        """Send again what a gateway lacks, or take an attempt up."""
        buried = self.table.buried(resume.attempt_id)
        if buried is not None:
            self._send(gateway, _gone(resume.attempt_id, buried))
            return
        attempt = self.table.by_id.get(resume.attempt_id)
        if attempt is None:
            self._resume_unknown(gateway, resume)
            return
        attempt.gateway = gateway
        attempt.orphaned_at = None
        self._send(gateway, Accepted(resume.attempt_id))
        for message in attempt.messages_from(resume.from_chunk):
            self._send(gateway, message)

    def cancel(self, gateway: bytes, cancel: Cancel) -> None:
        """Give an attempt up for good and say whether it ran."""
        gevent.spawn(self._cancel, gateway, cancel.attempt_id)

    def fill_slots(self) -> None:
        """Start queued attempts while slots are free."""
        while self.running < self.pace.slots:
            attempt = self._queue.pop()
            if attempt is None:
                return
            if attempt.state is AttemptState.QUEUED:
                self._start(attempt)

    def emit(self, attempt: Attempt, message: Message) -> None:
        """Send a piece of an answer; a gateway that is gone is noted."""
        if self._send(attempt.gateway, message):
            attempt.orphaned_at = None
        elif attempt.orphaned_at is None:
            attempt.orphaned_at = self._clock.elapsed()

    def cancel_orphans(self) -> None:
        """Stop idempotent attempts whose gateway has been gone for long."""
        now = self._clock.elapsed()
        for attempt in self.table.unfinished():
            orphaned_at = attempt.orphaned_at
            if orphaned_at is None or not attempt.dispatch.idempotent:
                continue
            if now - orphaned_at > ORPHAN_KEPT:
                self._cancel(attempt.gateway, attempt.dispatch.attempt_id)

    def forget_idle(self) -> None:
        """Drop the queue's counters of workspaces that are level again."""
        self._queue.forget_idle()

    def estimate_wait(self) -> timedelta:
        """Return how long the queue ahead of a new attempt takes."""
        step = milliseconds(self.pace.decode_ms)
        busy = self.running >= self.pace.slots
        ahead = self._queue.waiting_tokens if busy else 0
        return step * ahead / self.pace.slots

    def _refusal(self, dispatch: Dispatch) -> Refused | None:
        attempt_id = dispatch.attempt_id
        if self.table.buried(attempt_id) is not None:
            return _refuse(attempt_id, ErrorCode.CANCELLED, 'was cancelled')
        if self.leaving:
            return _refuse(attempt_id, ErrorCode.SHUTTING_DOWN, 'is leaving')
        wait = self.estimate_wait()
        if len(self._queue) >= self._queue_most:
            return _refuse(
                attempt_id,
                ErrorCode.QUEUE_FULL,
                'the queue is full',
                wait,
            )
        if wait > milliseconds(dispatch.budget_ms):
            return _refuse(
                attempt_id,
                ErrorCode.DEADLINE_UNREACHABLE,
                'the queue is longer than the deadline',
                wait,
            )
        return None

    def _start(self, attempt: Attempt) -> None:
        self.running += 1
        self.running_tokens += attempt.dispatch.tokens
        attempt.state = AttemptState.RUNNING
        gevent.spawn(self._run, attempt)

    def _run(self, attempt: Attempt) -> None:
        try:
            ending = self._run_prepared(attempt)
        except Exception as error:
            run = Run.UNKNOWN if attempt.sent else Run.NOT_RUN
            ending = Broken(
                attempt.dispatch.attempt_id,
                run.value,
                ErrorCode.TARGET_FAILED.value,
                repr(error),
            )
        self.running -= 1
        self.running_tokens -= attempt.dispatch.tokens
        self._finish(attempt, ending)
        self.fill_slots()

    def _run_prepared(self, attempt: Attempt) -> End | Broken:
        refusal = self._prepare(attempt.dispatch)
        if refusal is not None:
            return _as_broken(refusal)
        if attempt.state is AttemptState.CANCELLED:
            return _gone(attempt.dispatch.attempt_id, Run.NOT_RUN)
        if self._clock.elapsed() >= attempt.deadline:
            return Broken(
                attempt.dispatch.attempt_id,
                Run.NOT_RUN.value,
                ErrorCode.DEADLINE_EXCEEDED.value,
                'the deadline passed in the queue',
            )
        return self.executor.run(attempt)

    def _finish(self, attempt: Attempt, ending: End | Broken) -> None:
        attempt.ending = ending
        attempt.ended_at = self._clock.elapsed()
        if attempt.state is not AttemptState.CANCELLED:
            attempt.state = AttemptState.ENDED
        if isinstance(ending, End):
            self._queue.settle(
                attempt.dispatch.workspace,
                attempt.dispatch.tokens,
                ending.tokens,
            )
            ending = self._with_load(ending)
        self.emit(attempt, ending)

    def _with_load(self, end: End) -> End:
        return msgspec.structs.replace(
            end,
            running=self.running,
            queued_tokens=self.queued_tokens + self.running_tokens,
        )

    def _resume_unknown(self, gateway: bytes, resume: Resume) -> None:
        """Answer for an attempt that this run of the agent does not know.

        If it was sent to this very run, it never arrived: a tombstone
        makes sure that it runs no more. Else an earlier run may have it.
        """
        if resume.instance == self._instance:
            self.table.bury(resume.attempt_id, Run.NOT_RUN)
            self._send(gateway, _gone(resume.attempt_id, Run.NOT_RUN))
        else:
            self._adopt(gateway, resume)

    def _adopt(self, gateway: bytes, resume: Resume) -> None:
        dispatch = Dispatch(
            attempt_id=resume.attempt_id,
            request_id=RequestId(''),
            workspace='',
            target_path='',
            budget_ms=resume.budget_ms,
        )
        deadline = self._clock.elapsed() + milliseconds(resume.budget_ms)
        attempt = Attempt(
            dispatch,
            gateway,
            deadline,
            AttemptState.RUNNING,
            sent=True,
            first=resume.from_chunk,
        )
        self.table.by_id[resume.attempt_id] = attempt
        self._send(gateway, Accepted(resume.attempt_id))
        gevent.spawn(self._run_adopted, attempt)

    def _run_adopted(self, attempt: Attempt) -> None:
        self._finish(attempt, self.executor.resume(attempt))

    def _cancel(self, gateway: bytes, attempt_id: AttemptId) -> None:
        run = self._cancel_known(attempt_id)
        self.table.bury(attempt_id, run)
        self._send(gateway, Cancelled(attempt_id, run.value))

    def _cancel_known(self, attempt_id: AttemptId) -> Run:
        attempt = self.table.by_id.get(attempt_id)
        if attempt is None:
            return self.table.buried(attempt_id) or self.executor.cancel(
                attempt_id,
            )
        if attempt.ending is not None:
            return _run_of(attempt.ending)
        queued = not attempt.sent
        attempt.state = AttemptState.CANCELLED
        if queued:
            attempt.ending = _gone(attempt_id, Run.NOT_RUN)
            attempt.ended_at = self._clock.elapsed()
            return Run.NOT_RUN
        return self.executor.cancel(attempt_id)


def retry_after_ms(wait: timedelta) -> int:
    """Return a wait in milliseconds, at least one second."""
    return max(to_milliseconds(timedelta(seconds=1)), to_milliseconds(wait))


def _refuse(
    attempt_id: AttemptId,
    code: ErrorCode,
    message: str,
    wait: timedelta = timedelta(),
) -> Refused:
    return Refused(
        attempt_id,
        code.value,
        message,
        retry_after_ms(wait),
    )


def _as_broken(refusal: Refused) -> Broken:
    return Broken(
        refusal.attempt_id,
        Run.NOT_RUN.value,
        refusal.code,
        refusal.message,
        refusal.retry_after_ms,
    )


def _gone(attempt_id: AttemptId, run: Run) -> Broken:
    return Broken(
        attempt_id,
        run.value,
        ErrorCode.CANCELLED.value,
        'the attempt was given up',
    )


def _run_of(ending: End | Broken) -> Run:
    if isinstance(ending, End):
        return Run.RAN
    return Run(ending.run)
