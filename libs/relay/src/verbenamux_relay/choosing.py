"""Choosing a target by the predicted time to its first event.

Load pattern: long shared prompts, a few busy models and many rare ones, and
targets that fill up unevenly. A prompt part that a target keeps saves its
reading; waiting there costs. Without word of each other, all gateways send
a prompt to the same target first, by rendezvous hashing, and to the next
one only when the wait outweighs reading the prompt anew.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.rendezvous import pick, weight

# Cost of a target's rate of failures: at a rate of one, this long.
FAILURE_PENALTY = timedelta(seconds=3)
# An adapter that must be loaded first, with the message to the keeper.
ADAPTER_LOAD = timedelta(milliseconds=25)
# What loading an adapter anywhere but where its requests meet counts: two
# orders and a place, and the adapter that was there must come back.
ADAPTER_PENALTY = timedelta(milliseconds=80)
# What a silent keeper counts against its target.
UNWATCHED_PENALTY = timedelta(milliseconds=150)
# What sending to another data centre costs against an equal local target,
# and for each kilobyte to and from there: such bytes are dear.
REMOTE_PENALTY = timedelta(milliseconds=15)
REMOTE_KILOBYTE = timedelta(milliseconds=7)
# While an engine reads prompts, the streams that it answers go on slowly; so
# much of it goes unnoticed between two events.
READ_UNNOTICED = timedelta(milliseconds=200)
# Part of the reading beyond that which counts for each stream held up.
STALL_PART = 0.15
# Wait at a target whose memory of tokens is full, a token over.
FULL_MEMORY_WAIT = timedelta(milliseconds=0.02)
KILOBYTE = 1000


@dataclass(frozen=True, slots=True)
class Option:
    """One target as a candidate for a request.

    `waiting_tokens` are prompt tokens to be read before this request's own
    `missing_tokens`; `tokens_per_second` is how fast it reads them.
    `is_preferred` marks the target where requests of its kind meet.
    `carried_bytes` are those of the request and of its answer, as expected.
    `overflow_tokens` is what would not fit its memory. `order_left` is how
    long the engine still loads a model and takes no order for an adapter.
    """

    target_id: str
    is_local: bool
    waiting_tokens: float
    missing_tokens: int
    tokens_per_second: float
    carried_bytes: int = 0
    lacks_adapter: bool = False
    is_preferred: bool = False
    order_left: timedelta = timedelta()
    is_unwatched: bool = False
    overflow_tokens: int = 0
    failure_rate: float = 0
    busy_share: float = 0
    streams: int = 0


def reading_time(option: Option) -> timedelta:
    """Return how long a target reads prompts until this one is read."""
    tokens = option.waiting_tokens + option.missing_tokens
    return timedelta(seconds=tokens / option.tokens_per_second)


def predict(option: Option) -> timedelta:
    """Return the predicted time to the first event."""
    predicted = reading_time(option)
    if option.lacks_adapter:
        predicted += option.order_left + ADAPTER_LOAD
    return predicted + FULL_MEMORY_WAIT * max(option.overflow_tokens, 0)


def cost(option: Option) -> timedelta:
    """Return the prediction with what else speaks against a target."""
    total = predict(option) + FAILURE_PENALTY * option.failure_rate
    if not option.is_local:
        total += REMOTE_PENALTY + REMOTE_KILOBYTE * (
            option.carried_bytes / KILOBYTE
        )
    if option.lacks_adapter and not option.is_preferred:
        total += ADAPTER_PENALTY
    reading = reading_time(option) - READ_UNNOTICED
    total += max(reading, timedelta()) * STALL_PART * option.streams
    if option.is_unwatched:
        total += UNWATCHED_PENALTY
    return total + REMOTE_PENALTY * option.busy_share


def choose(options: Iterable[Option], affinity: str) -> Option | None:
    """Return the cheapest option; equal ones go by rendezvous hashing."""
    return min(
        options,
        key=lambda option: (
            cost(option),
            -weight(affinity, option.target_id),
        ),
        default=None,
    )


def preferred(affinity: str, target_ids: Iterable[str]) -> str | None:
    """Return the target that all gateways send an affinity to first."""
    return next(iter(pick(affinity, target_ids, 1)), None)
