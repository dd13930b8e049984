"""Chooses a target by the predicted time to its first event.

Load pattern: long shared prompts, a few busy models and many rare ones, and
targets that fill up unevenly. A prompt prefix cached at a target need not be
read again; queueing there costs time. Without exchanging messages, all
gateways send a prompt to the same target first, by rendezvous hashing, and to
the next one only when the wait exceeds the time to read the prompt again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.rendezvous import pick, weight

# Cost of a target whose failure rate is 1; scaled by the rate.
FAILURE_PENALTY = timedelta(seconds=3)
# Time to load an adapter, including the message to the keeper.
ADAPTER_LOAD_TIME = timedelta(milliseconds=25)
# Cost of loading an adapter at a target that is not its preferred one: it takes
# two orders and a slot, and the evicted adapter must be loaded again.
ADAPTER_PENALTY = timedelta(milliseconds=80)
# Cost of a target whose keeper is unresponsive.
UNRESPONSIVE_KEEPER_PENALTY = timedelta(milliseconds=150)
# Cost of sending to another data centre rather than to an equal local target,
# and per kilobyte transferred: traffic between data centres is expensive.
REMOTE_PENALTY = timedelta(milliseconds=15)
REMOTE_PENALTY_PER_KB = timedelta(milliseconds=7)
# While an engine reads prompts, its running streams slow down; this much
# reading time goes unnoticed between two events.
UNNOTICED_READ_TIME = timedelta(milliseconds=200)
# Fraction of the reading time beyond that which counts per stalled stream.
STALL_FRACTION = 0.15
# Wait per token that exceeds the token memory of a target.
FULL_MEMORY_WAIT_PER_TOKEN = timedelta(milliseconds=0.02)
BYTES_PER_KILOBYTE = 1000


@dataclass(frozen=True, slots=True)
class Option:
    """One target as a candidate for a request.

    `waiting_tokens` are prompt tokens to be read before this request's own
    `missing_tokens`; `tokens_per_second` is how fast it reads them.
    `is_preferred` marks the preferred target of the affinity key.
    `transferred_bytes` are those of the request and of its expected answer.
    `overflow_tokens` would not fit its memory. `order_time_left` is how long
    the engine still loads a model and accepts no order for an adapter.
    """

    target_id: str
    is_local: bool
    waiting_tokens: float
    missing_tokens: int
    tokens_per_second: float
    transferred_bytes: int = 0
    is_adapter_missing: bool = False
    is_preferred: bool = False
    order_time_left: timedelta = timedelta()
    is_keeper_unresponsive: bool = False
    overflow_tokens: int = 0
    failure_rate: float = 0
    busy_fraction: float = 0
    streams: int = 0


def reading_time(option: Option) -> timedelta:
    """Return the time until a target has read this prompt."""
    tokens = option.waiting_tokens + option.missing_tokens
    return timedelta(seconds=tokens / option.tokens_per_second)


def predict(option: Option) -> timedelta:
    """Return the predicted time to the first event."""
    predicted = reading_time(option)
    if option.is_adapter_missing:
        predicted += option.order_time_left + ADAPTER_LOAD_TIME
    return predicted + FULL_MEMORY_WAIT_PER_TOKEN * max(
        option.overflow_tokens, 0
    )


def cost(option: Option) -> timedelta:
    """Return the predicted time plus all penalties of a target."""
    total = predict(option) + FAILURE_PENALTY * option.failure_rate
    if not option.is_local:
        total += REMOTE_PENALTY + REMOTE_PENALTY_PER_KB * (
            option.transferred_bytes / BYTES_PER_KILOBYTE
        )
    if option.is_adapter_missing and not option.is_preferred:
        total += ADAPTER_PENALTY
    reading = reading_time(option) - UNNOTICED_READ_TIME
    total += max(reading, timedelta()) * STALL_FRACTION * option.streams
    if option.is_keeper_unresponsive:
        total += UNRESPONSIVE_KEEPER_PENALTY
    return total + REMOTE_PENALTY * option.busy_fraction


def choose(options: Iterable[Option], affinity_key: str) -> Option | None:
    """Return the cheapest option; rendezvous hashing breaks ties."""
    return min(
        options,
        key=lambda option: (
            cost(option),
            -weight(affinity_key, option.target_id),
        ),
        default=None,
    )


def preferred_target(
    affinity_key: str, target_ids: Iterable[str]
) -> str | None:
    """Return the target that all gateways prefer for an affinity key."""
    return next(iter(pick(affinity_key, target_ids, 1)), None)
