"""Execution of an attempt at the target, from the send to its end."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from returns.pipeline import is_successful

from verbenamux_agent.attempts import Attempt
from verbenamux_agent.target import (
    CONFLICT,
    NETWORK_ERRORS,
    NOT_FOUND,
    OK,
    Call,
    CancelAnswer,
    TargetClient,
    read_chunks,
    read_events,
    response_headers,
)
from verbenamux_config.entities import TargetKind
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.decoding import DECODE_ERRORS
from verbenamux_contracts.errors import ErrorCode, Run
from verbenamux_contracts.messages import (
    Broken,
    Chunk,
    End,
    Message,
    Started,
)

DONE = b'[DONE]'
RESUME_DELAY = timedelta(milliseconds=100)
MAX_RESUME_TRIES = 20
FORWARDED_HEADERS = ('content-type', 'cache-control', 'location', 'retry-after')
NOT_RUN_STATUSES = frozenset((NOT_FOUND, CONFLICT))

Emit = Callable[[Attempt, Message], None]


class WrongAttemptError(Exception):
    """The stream has an event of another attempt."""


class _Usage(msgspec.Struct, frozen=True):
    total_tokens: int


class _LastEvent(msgspec.Struct, frozen=True):
    usage: _Usage


@dataclass(frozen=True, slots=True)
class Executor:
    """Runs attempts at one target and emits their numbered answers."""

    client: TargetClient
    kind: TargetKind
    clock: Clock
    emit: Emit

    def run(self, attempt: Attempt) -> End | Broken:
        """Run an attempt that was not sent yet; return its ending."""
        attempt.sent = True
        if self.kind is TargetKind.SERVICE:
            return self._call_service(attempt)
        opened = self.client.open(_completion_call(attempt))
        if is_successful(opened):
            ending = self._relay_response(attempt, opened.unwrap())
            return ending or self._reconnect(attempt)
        failure = opened.failure()
        if failure.run is Run.NOT_RUN:
            return _broken(
                attempt,
                Run.NOT_RUN,
                ErrorCode.TARGET_FAILED,
                failure.message,
            )
        return self._reconnect(attempt)

    def resume(self, attempt: Attempt) -> End | Broken:
        """Resume an attempt that an earlier agent instance may have sent."""
        if self.kind is TargetKind.SERVICE:
            return _broken(
                attempt,
                Run.UNKNOWN,
                ErrorCode.OUTCOME_UNKNOWN,
                'the agent restarted and a service cannot be asked',
            )
        return self._reconnect(attempt)

    def cancel(self, attempt_id: str) -> Run:
        """Cancel an attempt at an engine permanently; return whether it ran."""
        if self.kind is TargetKind.SERVICE:
            return Run.UNKNOWN
        call = Call('POST', f'/v1/attempts/{attempt_id}/cancel')
        answer = self.client.exchange(call)
        if not is_successful(answer):
            return Run.UNKNOWN
        try:
            decoded = msgspec.json.decode(answer.unwrap(), type=CancelAnswer)
        except DECODE_ERRORS:
            return Run.UNKNOWN
        return Run(decoded.run)

    def _call_service(self, attempt: Attempt) -> End | Broken:
        opened = self.client.open(_service_call(attempt))
        if not is_successful(opened):
            failure = opened.failure()
            return _broken(
                attempt,
                failure.run,
                ErrorCode.TARGET_FAILED,
                failure.message,
            )
        response = opened.unwrap()
        self._start(attempt, response)
        try:
            for piece in read_chunks(response):
                self._add_chunk(attempt, piece)
        except NETWORK_ERRORS as error:
            return _incomplete(attempt, repr(error))
        if not _is_complete(attempt, response):
            return _incomplete(attempt, 'shorter than its Content-Length')
        return End(
            attempt.dispatch.attempt_id,
            attempt.next_index,
            attempt.dispatch.tokens,
        )

    def _relay_response(
        self, attempt: Attempt, response: Any
    ) -> End | Broken | None:
        """Relay an open answer; return None if it was cut off."""
        if response.status_code != OK:
            return self._refused(attempt, response)
        if attempt.started is None:
            self._start(attempt, response)
        try:
            return self._relay_events(attempt, response)
        except (*NETWORK_ERRORS, WrongAttemptError):
            response.release()
            return None

    def _relay_events(self, attempt: Attempt, response: Any) -> End | None:
        own_id = b'"id":"%s"' % attempt.dispatch.attempt_id.encode()
        for payload in read_events(response):
            if payload == DONE:
                return _end(attempt)
            if own_id not in payload:
                raise WrongAttemptError
            self._add_chunk(attempt, payload)
        return None

    def _reconnect(self, attempt: Attempt) -> End | Broken:
        tries_left = MAX_RESUME_TRIES
        while tries_left and self.clock.elapsed() < attempt.deadline:
            before = attempt.next_index
            ending = self._resume_once(attempt)
            if ending is not None:
                return ending
            progressed = attempt.next_index > before
            tries_left = MAX_RESUME_TRIES if progressed else tries_left - 1
            self.clock.sleep(RESUME_DELAY)
        return self._abandon(attempt, 'the engine did not come back')

    def _resume_once(self, attempt: Attempt) -> End | Broken | None:
        opened = self.client.open(_resume_call(attempt))
        if not is_successful(opened):
            return None
        response = opened.unwrap()
        if response.status_code == NOT_FOUND:
            response.read()
            return self._abandon(attempt, 'the engine knows no such attempt')
        return self._relay_response(attempt, response)

    def _abandon(self, attempt: Attempt, message: str) -> Broken:
        run = self.cancel(attempt.dispatch.attempt_id)
        return _broken(attempt, run, ErrorCode.TARGET_FAILED, message)

    def _refused(self, attempt: Attempt, response: Any) -> Broken:
        status = response.status_code
        text = bytes(response.read()).decode(errors='replace')
        run = Run.NOT_RUN if status in NOT_RUN_STATUSES else Run.UNKNOWN
        return _broken(
            attempt,
            run,
            ErrorCode.TARGET_REFUSED,
            f'status {status}: {text}',
        )

    def _start(self, attempt: Attempt, response: Any) -> None:
        attempt.started = Started(
            attempt.dispatch.attempt_id,
            response.status_code,
            response_headers(response, FORWARDED_HEADERS),
        )
        self.emit(attempt, attempt.started)

    def _add_chunk(self, attempt: Attempt, payload: bytes) -> None:
        index = attempt.next_index
        attempt.chunks.append(payload)
        self.emit(attempt, Chunk(attempt.dispatch.attempt_id, index, payload))


def _completion_call(attempt: Attempt) -> Call:
    dispatch = attempt.dispatch
    headers = [
        ('content-type', 'application/json'),
        ('x-request-id', dispatch.attempt_id),
        ('x-priority', str(dispatch.priority)),
    ]
    if dispatch.emitted:
        headers.append(('x-continue-from', str(dispatch.emitted)))
    return Call('POST', dispatch.target_path, dispatch.body, tuple(headers))


def _service_call(attempt: Attempt) -> Call:
    dispatch = attempt.dispatch
    headers = (*dispatch.headers, ('x-request-id', dispatch.attempt_id))
    return Call(
        dispatch.method,
        dispatch.target_path,
        dispatch.body,
        headers,
        no_retry=not dispatch.idempotent,
    )


def _resume_call(attempt: Attempt) -> Call:
    name = attempt.dispatch.attempt_id
    path = f'/v1/attempts/{name}/stream?from={attempt.next_index}'
    return Call('GET', path)


def _end(attempt: Attempt) -> End:
    used = attempt.dispatch.tokens
    if attempt.chunks:
        try:
            last = msgspec.json.decode(attempt.chunks[-1], type=_LastEvent)
        except DECODE_ERRORS:
            used = attempt.dispatch.tokens
        else:
            used = last.usage.total_tokens
    return End(attempt.dispatch.attempt_id, attempt.next_index, used)


def _is_complete(attempt: Attempt, response: Any) -> bool:
    content_length = response.get('content-length')
    if content_length is None or attempt.dispatch.method == 'HEAD':
        return True
    return attempt.size == int(content_length)


def _incomplete(attempt: Attempt, message: str) -> Broken:
    return _broken(attempt, Run.RAN, ErrorCode.ANSWER_INCOMPLETE, message)


def _broken(
    attempt: Attempt,
    run: Run,
    code: ErrorCode,
    message: str,
) -> Broken:
    return Broken(attempt.dispatch.attempt_id, run.value, code.value, message)
