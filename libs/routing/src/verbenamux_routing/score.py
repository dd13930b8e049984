"""Predicted time to first token of a request at a target."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_routing.views import TargetView, queue_wait

BLOCK_WORDS = 32
ADAPTER_LOAD_TIME = timedelta(milliseconds=10)
MAX_FRESH_REPORT_AGE = timedelta(seconds=1)
REPORT_AGE_PENALTY_RATIO = 0.05
CROSS_DATA_CENTRE_LATENCY = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class RequestNeeds:
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
    """A prediction and its components, for the decision log."""

    target: str
    total: timedelta
    queue: timedelta
    prefill: timedelta
    adapter: timedelta
    network: timedelta


def predict_first_token(
    view: TargetView,
    need: RequestNeeds,
    now: timedelta,
    data_centre: str,
) -> Score:
    """Return the predicted time to first token.

    The queue wait grows with the age of a report older than 1 s, until a
    target without reports looks busy.
    """
    queue = _age_adjusted_queue_wait(view, now)
    prefill = _prefill_time(view, need)
    adapter = timedelta()
    if need.adapter and need.adapter not in view.adapters:
        adapter = ADAPTER_LOAD_TIME
    network = view.latency
    if view.target.data_centre != data_centre:
        network += CROSS_DATA_CENTRE_LATENCY
    total = queue + prefill + adapter + network
    return Score(view.target.name, total, queue, prefill, adapter, network)


def _age_adjusted_queue_wait(view: TargetView, now: timedelta) -> timedelta:
    load = view.load
    wait = queue_wait(load)
    if load.reported_at is None:
        return wait
    age = now - load.reported_at - MAX_FRESH_REPORT_AGE
    if age > timedelta():
        wait += age * REPORT_AGE_PENALTY_RATIO
    return wait


def _prefill_time(view: TargetView, need: RequestNeeds) -> timedelta:
    if need.service:
        return timedelta()
    cached_tokens = view.cached_blocks(need.prefix_blocks) * BLOCK_WORDS
    uncached_tokens = max(0, need.prompt_tokens - cached_tokens)
    return timedelta(seconds=uncached_tokens / view.load.prefill_rate)
