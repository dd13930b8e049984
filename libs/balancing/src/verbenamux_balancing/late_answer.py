"""Decides whether a late answer is given up for another send.

Load pattern: targets answer later than usual, one of them or all. A run that is
given up may go on and keep its place, and the next one needs a place as well.
So it is given up only for something better: another send that is allowed, at a
target that is no later than this one, with time left for its answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

# An answer is late after this many objectives, or usual times.
OBJECTIVE_FACTOR = 1.5
USUAL_FACTOR = 2
MIN_ANSWER_TIMEOUT = timedelta(milliseconds=700)
# One that took this much longer than another target's answer is late beside it.
LATE_FACTOR = 1.25
# How often a late answer that is waited for is decided on again.
REVIEW_INTERVAL = timedelta(milliseconds=300)
NO_RETRY_LEFT = 'no retry left in the budget'


@dataclass(frozen=True, slots=True)
class LateAnswer:
    """What is known of a send whose answer is late.

    `usual` is what answers of its route take now, None if that is unknown.
    `is_other_better` returns whether another target could take the request and
    is not late itself; it is asked last.
    """

    usual: timedelta | None
    time_left: timedelta
    may_send_again: bool
    retries_left: float
    is_other_better: Callable[[], bool]


def answer_timeout(
    objective: timedelta, usual: timedelta | None, allowed: timedelta
) -> timedelta:
    """Return after how long an answer is late, of the time `allowed` for it.

    While another target can still answer, if possible.
    """
    timeout = max(objective * OBJECTIVE_FACTOR, MIN_ANSWER_TIMEOUT)
    if usual is None:
        return timeout
    last_useful = allowed - usual * LATE_FACTOR
    return max(timeout, min(usual * USUAL_FACTOR, last_useful))


def reason_to_wait(late: LateAnswer) -> str | None:
    """Return why an answer is waited for, None if it is given up."""
    if not late.may_send_again:
        return 'may not be sent again'
    if late.retries_left < 1:
        return NO_RETRY_LEFT
    if late.time_left < (late.usual or timedelta()):
        return 'no time left for another answer'
    if not late.is_other_better():
        return 'no other target is better'
    return None
