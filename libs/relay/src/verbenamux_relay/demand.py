"""Measures the demand for each model over all gateways."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import exp

from verbenamux_relay.model_placement import Demand
from verbenamux_relay.usage import Usage

# Time constant of the decay of past requests: a request weighs less than half
# after this time.
DECAY_TIME = timedelta(seconds=6)
# Waiting requests of a gateway without a notice are counted for at least this
# long.
MIN_PEER_TIMEOUT = timedelta(seconds=2)


@dataclass(slots=True)
class _Peer:
    last_received_at: timedelta
    waiting: Mapping[str, int]
    asked: Mapping[str, int]


class DemandMeter:
    """Counts requests by model, of this gateway and as reported by others."""

    def __init__(
        self,
        elapsed: Callable[[], timedelta],
        peer_timeout: Callable[[], timedelta] = lambda: MIN_PEER_TIMEOUT,
    ) -> None:
        """Start with no demand.

        A gateway without a notice for longer than `peer_timeout` is
        unresponsive.
        """
        self.requests_by_model: Counter[str] = Counter()
        self.waiting_by_model: Counter[str] = Counter()
        self._elapsed = elapsed
        self._peer_timeout = peer_timeout
        self._recent_by_model: dict[str, float] = {}
        self._decayed_at = elapsed()
        self._peers_by_instance: dict[str, _Peer] = {}

    def begin(self, model: str) -> None:
        """Count a new request that waits for its first event."""
        self.requests_by_model[model] += 1
        self._decay()
        self._add(model, 1)
        self.waiting_by_model[model] += 1

    def end(self, model: str) -> None:
        """Count a request as no longer waiting."""
        self.waiting_by_model[model] -= 1

    def own_waiting(self) -> dict[str, int]:
        """Return this gateway's waiting requests, by model."""
        return {
            model: waiting
            for model, waiting in self.waiting_by_model.items()
            if waiting > 0
        }

    def handle_usage(self, instance: str, usage: Usage) -> None:
        """Add the counts of another gateway instance."""
        previous = self._peers_by_instance.get(instance)
        previously_asked = previous.asked if previous else usage.asked
        self._decay()
        for model, asked in usage.asked.items():
            self._add(model, asked - previously_asked.get(model, 0))
        self._peers_by_instance[instance] = _Peer(
            self._elapsed(),
            usage.waiting,
            usage.asked,
        )

    def current(self) -> Demand:
        """Return the demand of all gateways that reported recently."""
        now = self._elapsed()
        peer_timeout = max(self._peer_timeout(), MIN_PEER_TIMEOUT)
        waiting = Counter(self.own_waiting())
        for instance, peer in tuple(self._peers_by_instance.items()):
            if now - peer.last_received_at < peer_timeout:
                waiting.update(peer.waiting)
            elif now - peer.last_received_at > DECAY_TIME:
                self._peers_by_instance.pop(instance)
        self._decay()
        seconds = DECAY_TIME.total_seconds()
        return Demand(
            waiting_by_model=dict(waiting),
            recent_by_model={
                model: recent / seconds
                for model, recent in self._recent_by_model.items()
            },
        )

    def _add(self, model: str, asked: int) -> None:
        if asked:
            recent = self._recent_by_model.get(model, 0)
            self._recent_by_model[model] = recent + asked

    def _decay(self) -> None:
        now = self._elapsed()
        passed = now - self._decayed_at
        self._decayed_at = now
        decay_factor = exp(-(passed / DECAY_TIME))
        for model in self._recent_by_model:
            self._recent_by_model[model] *= decay_factor
