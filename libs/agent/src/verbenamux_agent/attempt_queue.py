"""Attempts of one target: a fair queue, and the slots they run in."""

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

ORPHAN_TIMEOUT = timedelta(seconds=10)

Send = Callable[[bytes, Message], bool]
Prepare = Callable[[Dispatch], Refused | None]


@dataclass(slots=True)
class TargetSpeed:
    """Slots and decode time from the target's last report."""

    slots: int
    decode_ms: int = 0


class AttemptQueue:
    """All attempts of one target, and the slots they run in."""

    def __init__(
        self,
        instance: str,
        clock: Clock,
        table: AttemptTable,
        speed: TargetSpeed,
        max_queue_length: int,
        send: Send,
        prepare: Prepare,
    ) -> None:
        """Start idle; `executor` must be set before the first dispatch."""
        self.table = table
        self.speed = speed
        self.executor: Executor
        self.leaving = False
        self.running = 0
        self.running_tokens = 0
        self._instance = instance
        self._clock = clock
        self._max_queue_length = max_queue_length
        self._queue: FairQueue[Attempt] = FairQueue()
        self._send = send
        self._prepare = prepare

    @property
    def queued_tokens(self) -> int:
        """Tokens waiting for a slot."""
        return self._queue.waiting_tokens

    def dispatch(self, gateway: bytes, dispatch: Dispatch) -> None:
        """Queue an attempt, or refuse it and guarantee that it never runs."""
        existing = self.table.by_id.get(dispatch.attempt_id)
        if existing is not None:
            existing.gateway = gateway
            self._send(gateway, Accepted(dispatch.attempt_id))
            return
        refusal = self._refusal(dispatch)
        if refusal is not None:
            self.table.add_tombstone(dispatch.attempt_id, Run.NOT_RUN)
            self._send(gateway, refusal)
            return
        deadline = self._clock.elapsed() + milliseconds(dispatch.budget_ms)
        attempt = Attempt(
            dispatch, gateway, deadline, first_index=dispatch.emitted
        )
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
        """Send what a gateway is missing, or resume an unknown attempt."""
        run = self.table.find_tombstone(resume.attempt_id)
        if run is not None:
            self._send(gateway, _cancelled_ending(resume.attempt_id, run))
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
        """Cancel an attempt permanently and report whether it ran."""
        gevent.spawn(self._cancel, gateway, cancel.attempt_id)

    def fill_slots(self) -> None:
        """Start queued attempts while slots are free."""
        while self.running < self.speed.slots:
            attempt = self._queue.pop()
            if attempt is None:
                return
            if attempt.state is AttemptState.QUEUED:
                self._start(attempt)

    def emit(self, attempt: Attempt, message: Message) -> None:
        """Send a message of an answer; record if the gateway disconnected."""
        if self._send(attempt.gateway, message):
            attempt.orphaned_at = None
        elif attempt.orphaned_at is None:
            attempt.orphaned_at = self._clock.elapsed()

    def cancel_orphans(self) -> None:
        """Cancel idempotent attempts without a gateway for ORPHAN_TIMEOUT."""
        now = self._clock.elapsed()
        for attempt in self.table.unfinished():
            orphaned_at = attempt.orphaned_at
            if orphaned_at is None or not attempt.dispatch.idempotent:
                continue
            if now - orphaned_at > ORPHAN_TIMEOUT:
                self._cancel(attempt.gateway, attempt.dispatch.attempt_id)

    def forget_idle(self) -> None:
        """Remove queue counters of idle workspaces level with the others."""
        self._queue.forget_idle()

    def estimate_wait(self) -> timedelta:
        """Return the estimated queueing time of a new attempt."""
        time_per_token = milliseconds(self.speed.decode_ms)
        busy = self.running >= self.speed.slots
        tokens_ahead = self._queue.waiting_tokens if busy else 0
        return time_per_token * tokens_ahead / self.speed.slots

    def _refusal(self, dispatch: Dispatch) -> Refused | None:
        attempt_id = dispatch.attempt_id
        if self.table.find_tombstone(attempt_id) is not None:
            return _refuse(attempt_id, ErrorCode.CANCELLED, 'was cancelled')
        if self.leaving:
            return _refuse(attempt_id, ErrorCode.SHUTTING_DOWN, 'is leaving')
        wait = self.estimate_wait()
        if len(self._queue) >= self._max_queue_length:
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
            return _cancelled_ending(attempt.dispatch.attempt_id, Run.NOT_RUN)
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
            self._queue.correct_usage(
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
        """Reply for an attempt that this agent instance does not know.

        If it was sent to this instance, it never arrived: a tombstone
        ensures that it will not run. Else an earlier instance may have it.
        """
        if resume.instance == self._instance:
            self.table.add_tombstone(resume.attempt_id, Run.NOT_RUN)
            self._send(
                gateway, _cancelled_ending(resume.attempt_id, Run.NOT_RUN)
            )
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
            first_index=resume.from_chunk,
        )
        self.table.by_id[resume.attempt_id] = attempt
        self._send(gateway, Accepted(resume.attempt_id))
        gevent.spawn(self._run_adopted, attempt)

    def _run_adopted(self, attempt: Attempt) -> None:
        self._finish(attempt, self.executor.resume(attempt))

    def _cancel(self, gateway: bytes, attempt_id: AttemptId) -> None:
        run = self._cancel_known(attempt_id)
        self.table.add_tombstone(attempt_id, run)
        self._send(gateway, Cancelled(attempt_id, run.value))

    def _cancel_known(self, attempt_id: AttemptId) -> Run:
        attempt = self.table.by_id.get(attempt_id)
        if attempt is None:
            return self.table.find_tombstone(
                attempt_id
            ) or self.executor.cancel(
                attempt_id,
            )
        if attempt.ending is not None:
            return _run_of(attempt.ending)
        queued = not attempt.sent
        attempt.state = AttemptState.CANCELLED
        if queued:
            attempt.ending = _cancelled_ending(attempt_id, Run.NOT_RUN)
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


def _cancelled_ending(attempt_id: AttemptId, run: Run) -> Broken:
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
