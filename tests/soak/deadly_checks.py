"""Checks of what a prompt part that crashes targets may do to others."""

from collections.abc import Iterator

from soak.evidence import Attempt, Evidence
from soak.targets import DEADLY_PART

CRASHES_TO_LEARN = 5
STABLE_WINDOW_SECONDS = 3.0
MAX_LATE_DEADLY_REQUESTS = 3
# Fewer requests than this show nothing.
MIN_REQUESTS = 20
# Of the fraction of sound requests that begin at other times.
MIN_BEGUN_FRACTION = 0.5
OK = 200


def deadly_parts_stop_reaching_targets(evidence: Evidence) -> Iterator[str]:
    """From a stable window behind the fifth crash three requests go wrong."""
    crashes = sorted(evidence.book.deadly_crashes)
    if len(crashes) < CRASHES_TO_LEARN:
        return
    learned_at = crashes[CRASHES_TO_LEARN - 1] + STABLE_WINDOW_SECONDS
    gateway_by_request = {
        attempt.request_id: attempt.gateway for attempt in evidence.attempts
    }
    late = [
        (arrived_at, request_id)
        for arrived_at, request_id in evidence.book.deadly_arrivals
        if arrived_at > learned_at
        and not evidence.has_fault(
            {gateway_by_request[request_id]},
            arrived_at - STABLE_WINDOW_SECONDS,
            arrived_at,
        )
    ]
    if len(late) > MAX_LATE_DEADLY_REQUESTS:
        yield f'{len(late)} deadly requests after {learned_at:.2f} s: {late}'


def sound_requests_begin_beside_deadly_ones(
    evidence: Evidence,
) -> Iterator[str]:
    """Two stable windows behind the crashes sound requests begin again.

    At least half as often as before the first crash, while deadly ones come.
    """
    crashes = sorted(evidence.book.deadly_crashes)[:CRASHES_TO_LEARN]
    prompted = [attempt for attempt in evidence.attempts if attempt.prompt]
    if not crashes:
        return
    learned_at = crashes[-1] + 2 * STABLE_WINDOW_SECONDS
    last_at = max(
        attempt.sent_at for attempt in prompted if _is_deadly(attempt)
    )
    before = [
        attempt
        for attempt in prompted
        if (attempt.ended_at or crashes[0]) < crashes[0]
    ]
    beside = [
        attempt
        for attempt in prompted
        if learned_at < attempt.sent_at < last_at
        and not _is_deadly(attempt)
        and not _was_disturbed(evidence, attempt)
    ]
    if min(len(before), len(beside)) < MIN_REQUESTS:
        return
    if _begun(beside) < _begun(before) * MIN_BEGUN_FRACTION:
        yield (
            f'{_begun(beside):.2f} of {len(beside)} sound requests begun '
            f'after {learned_at:.2f} s, {_begun(before):.2f} before'
        )


def _is_deadly(attempt: Attempt) -> bool:
    return DEADLY_PART in attempt.prompt


def _was_disturbed(evidence: Evidence, attempt: Attempt) -> bool:
    begin = attempt.sent_at - STABLE_WINDOW_SECONDS
    end = attempt.ended_at or attempt.sent_at
    return attempt.has_disconnected or evidence.has_fault(
        {attempt.gateway}, begin, end
    )


def _begun(attempts: list[Attempt]) -> float:
    """Return the fraction of requests whose answers began."""
    return sum(attempt.status == OK for attempt in attempts) / len(attempts)
