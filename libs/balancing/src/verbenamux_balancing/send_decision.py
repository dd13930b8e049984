"""Decides whether a request is sent or refused at once.

Load pattern: prompts arrive faster than engines read them. A request whose
first event is predicted after its deadline would run in vain and delay others:
it is refused while its caller can still retry. One that would miss its
objective only slightly is still sent; beyond that, accepting it would make
later requests late too.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta
from random import Random

# Fraction of the time left that the predicted first event may take.
MAX_DEADLINE_FRACTION = 0.6
# A request predicted to take longer than this many objectives is refused: fewer
# answers in time are worth more than many late ones.
MAX_OBJECTIVE_RATIO = 1.25
# Retry-After is extended randomly by up to this fraction, so that callers that
# were refused together do not retry together.
RETRY_JITTER_FRACTION = 0.5
MIN_RETRY_AFTER = timedelta(milliseconds=150)
MAX_RETRY_AFTER = timedelta(seconds=3)
# Maximum Retry-After as a fraction of the caller's time left.
MAX_RETRY_FRACTION = 1 / 3


class SendDecision(enum.Enum):
    """Whether a request that has a target is sent to it."""

    SEND = 'send'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class WaitForecast:
    """Forecast for a request at its best target.

    `predicted` is the time to its first event.
    """

    predicted: timedelta
    time_left: timedelta
    objective: timedelta


def decide(forecast: WaitForecast) -> SendDecision:
    """Return whether a request is worth sending now."""
    if forecast.predicted > forecast.time_left * MAX_DEADLINE_FRACTION:
        return SendDecision.REFUSE
    if forecast.predicted > forecast.objective * MAX_OBJECTIVE_RATIO:
        return SendDecision.REFUSE
    return SendDecision.SEND


def retry_after(
    expected: timedelta,
    time_left: timedelta,
    random: Random,
) -> timedelta:
    """Return the delay until capacity is expected, with jitter."""
    base = min(max(expected, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    jittered = base * (1 + RETRY_JITTER_FRACTION * random.random())
    return max(min(jittered, time_left * MAX_RETRY_FRACTION), MIN_RETRY_AFTER)


def urgency(
    workspace_priority: int | None,
    route_priority: int,
) -> int:
    """Return the rank at an engine, 0 to 9; a workspace's takes precedence."""
    if workspace_priority is None:
        return min(route_priority, 9)
    return min(workspace_priority * 2 + min(route_priority, 1), 9)
