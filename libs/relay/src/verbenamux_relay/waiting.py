"""Deciding whether a request is sent, waits, or is refused at once.

Load pattern: prompts arrive faster than engines read them. A request whose
first event is predicted behind its deadline would run in vain and hold up
others: it is refused while it can still come back. One that would only miss
its objective by little is still worth its answer; beyond that, taking it
would make those behind it late too.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta
from random import Random

# The part of the time left that a predicted first event may take.
DEADLINE_PART = 0.6
# Beyond so many objectives of predicted wait a request is refused: answers
# that are all late are worth less than fewer in time.
OVERLOAD = 1.25
# Retry-After is spread over this part of itself, so that callers who were
# refused together do not return together.
SPREAD = 0.5
RETRY_LEAST = timedelta(milliseconds=150)
RETRY_MOST = timedelta(seconds=3)
# Part of its time left that a caller waits at most before it returns.
RETRY_PART = 1 / 3


class Verdict(enum.Enum):
    """What becomes of a request that has a target."""

    SEND = 'send'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a request may expect at its best target.

    `predicted` is the time to its first event there.
    """

    predicted: timedelta
    time_left: timedelta
    objective: timedelta


def judge(outlook: Outlook) -> Verdict:
    """Return whether a request is worth sending now."""
    if outlook.predicted > outlook.time_left * DEADLINE_PART:
        return Verdict.REFUSE
    if outlook.predicted > outlook.objective * OVERLOAD:
        return Verdict.REFUSE
    return Verdict.SEND


def retry_after(
    expected: timedelta,
    time_left: timedelta,
    random: Random,
) -> timedelta:
    """Return when to come back: when room is expected, and spread."""
    base = min(max(expected, RETRY_LEAST), RETRY_MOST)
    spread = base * (1 + SPREAD * random.random())
    return max(min(spread, time_left * RETRY_PART), RETRY_LEAST)


def urgency(
    workspace_priority: int | None,
    route_priority: int,
) -> int:
    """Return the rank at an engine, from 0 to 9; a workspace's goes first."""
    if workspace_priority is None:
        return min(route_priority, 9)
    return min(workspace_priority * 2 + min(route_priority, 1), 9)
