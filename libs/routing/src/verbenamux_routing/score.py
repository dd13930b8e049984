"""Predicted time to first token of a request at a target."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_routing.views import TargetView, queue_wait

BLOCK_WORDS = 32
ADAPTER_LOAD = timedelta(milliseconds=10)
REPORT_AGE_FREE = timedelta(seconds=1)
REPORT_AGE_PENALTY = 0.05
OTHER_DATA_CENTRE = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of a target; tokens are counts, memory is MB."""

    model: str = ''
    adapter: str = ''
    adapter_mb: int = 0
    service: str = ''
    prompt_tokens: int = 1
    output_tokens: int = 1
    prefix_blocks: Sequence[int] = ()

    @property
    def tokens(self) -> int:
        """Prompt and reserved output together."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Score:
    """A prediction and its parts, for the decision log."""

    target: str
    total: timedelta
    queue: timedelta
    prefill: timedelta
    adapter: timedelta
    network: timedelta


def predict_first_token(
    view: TargetView,
    need: Need,
    now: timedelta,
    data_centre: str,
) -> Score:
    """Return the predicted time to first token.

    A report older than a second makes the queue count for more, up to
    the point where an unreported target looks busy.
    """
    queue = _queue_wait(view, now)
    prefill = _prefill_time(view, need)
    adapter = timedelta()
    if need.adapter and need.adapter not in view.adapters:
        adapter = ADAPTER_LOAD
    network = view.latency
    if view.target.data_centre != data_centre:
        network += OTHER_DATA_CENTRE
    total = queue + prefill + adapter + network
    return Score(view.target.name, total, queue, prefill, adapter, network)


def _queue_wait(view: TargetView, now: timedelta) -> timedelta:
    load = view.load
    wait = queue_wait(load)
    if load.reported_at is None:
        return wait
    age = now - load.reported_at - REPORT_AGE_FREE
    if age > timedelta():
        wait += age * REPORT_AGE_PENALTY
    return wait


def _prefill_time(view: TargetView, need: Need) -> timedelta:
    if need.service:
        return timedelta()
    cached = view.cached_blocks(need.prefix_blocks) * BLOCK_WORDS
    fresh = max(0, need.prompt_tokens - cached)
    return timedelta(seconds=fresh / view.load.prefill_rate)
