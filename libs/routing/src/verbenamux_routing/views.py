"""A gateway's view of each target, from late and partial reports."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_config.entities import Target, TargetKind
from verbenamux_contracts.messages import Heartbeat
from verbenamux_routing.breaker import Breaker

MAX_PREFIXES = 4096
DEFAULT_PREFILL_RATE = 4000
DEFAULT_DECODE_MS = 20


@dataclass(slots=True)
class Load:
    """The last load report of a target, and the load sent since.

    Tokens are prompt plus reserved output; rates are tokens a second.
    """

    reported_at: timedelta | None = None
    queued_tokens: int = 0
    running: int = 0
    slots: int = 1
    prefill_rate: int = DEFAULT_PREFILL_RATE
    decode_ms: int = DEFAULT_DECODE_MS
    sent_tokens: int = 0
    outstanding: int = 0


@dataclass(slots=True)
class TargetView:
    """One target as known to this gateway."""

    target: Target
    breaker: Breaker
    instance: str = ''
    leaving_instance: str | None = None
    is_alive: bool = False
    target_up: bool = True
    last_received_at: timedelta | None = None
    free_mb: int = 0
    version_by_model: dict[str, str] = field(default_factory=dict)
    adapters: frozenset[str] = frozenset()
    load: Load = field(default_factory=Load)
    latency: timedelta = timedelta()
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    prefixes_trusted: bool = True

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to the target at all."""
        return self.is_alive and self.target_up and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether the current instance was marked as leaving."""
        return self.leaving_instance == self.instance

    def can_take_adapter(self, memory_mb: int) -> bool:
        """Return whether an adapter is loaded there or may fit.

        Loaded adapters are evicted for others, unless running attempts use
        them, which only the agent knows.
        """
        return bool(self.adapters) or self.free_mb >= memory_mb

    def record_prefixes(self, blocks: Iterable[int]) -> None:
        """Record blocks that the target has probably cached."""
        for block in blocks:
            self.prefixes[block] = None
            self.prefixes.move_to_end(block)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def cached_blocks(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are probably cached."""
        hits = 0
        for block in blocks:
            if block not in self.prefixes:
                break
            hits += 1
        return hits


def queue_wait(load: Load) -> timedelta:
    """Return how long the known queued and sent tokens take to serve."""
    queued_ahead = load.queued_tokens + load.sent_tokens
    return timedelta(milliseconds=load.decode_ms) * queued_ahead / load.slots


class ViewTable:
    """All targets, indexed so that a choice never scans the whole fleet."""

    def __init__(self, new_breaker: type[Breaker] = Breaker) -> None:
        """Start with no targets."""
        self._new_breaker = new_breaker
        self.by_name: dict[str, TargetView] = {}
        self._names_by_model: dict[str, list[str]] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def replace_targets(self, targets: Iterable[Target]) -> None:
        """Apply a configuration; targets that remain keep their state."""
        previous_views = self.by_name
        self.by_name = {}
        for target in targets:
            view = previous_views.get(target.name)
            if view is None:
                view = TargetView(target, self._new_breaker())
            view.target = target
            self.by_name[target.name] = view
        self._reindex()

    def apply_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Apply an agent's report; unknown targets are ignored."""
        view = self.by_name.get(heartbeat.target)
        if view is None:
            return
        models = {row.name: row.version for row in heartbeat.resident}
        _update(view, heartbeat, now)
        self._update_model_index(
            heartbeat.target, view.version_by_model, models
        )
        view.version_by_model = models

    def apply_load(
        self,
        view: TargetView,
        running: int,
        queued_tokens: int,
        now: timedelta,
    ) -> None:
        """Apply the load that came with an answer."""
        view.last_received_at = now
        view.load.running = running
        view.load.queued_tokens = queued_tokens
        view.load.reported_at = now
        view.load.sent_tokens = 0
        view.breaker.observe(queue_wait(view.load), now)

    def serving_model(self, model: str) -> list[str]:
        """Return the names of targets that have a model ready."""
        return self._names_by_model.get(model, [])

    def serving_service(self, service: str) -> list[str]:
        """Return the names of targets of a plain service."""
        return self._names_by_service.get(service, [])

    def _update_model_index(
        self,
        name: str,
        before: dict[str, str],
        after: dict[str, str],
    ) -> None:
        """Update the index with one target's resident models."""
        for removed_model in before.keys() - after.keys():
            self._names_by_model[removed_model].remove(name)
        for added_model in after.keys() - before.keys():
            self._names_by_model.setdefault(added_model, []).append(name)

    def _reindex(self) -> None:
        """Rebuild the indexes after the set of targets changed."""
        self._names_by_model = {}
        self._names_by_service = {}
        for name, view in self.by_name.items():
            for model in view.version_by_model:
                self._names_by_model.setdefault(model, []).append(name)
            if view.target.kind is TargetKind.SERVICE:
                self._names_by_service.setdefault(
                    view.target.service,
                    [],
                ).append(name)


def _update(view: TargetView, heartbeat: Heartbeat, now: timedelta) -> None:
    if heartbeat.instance != view.instance:
        view.instance = heartbeat.instance
        view.load = Load()
        view.prefixes.clear()
    if heartbeat.leaving:
        view.leaving_instance = heartbeat.instance
    view.is_alive = True
    view.target_up = heartbeat.target_up
    view.last_received_at = now
    view.free_mb = heartbeat.free_mb
    view.adapters = frozenset(heartbeat.adapters)
    view.prefixes_trusted = heartbeat.prefixes_trusted
    if not heartbeat.prefixes_trusted:
        view.prefixes.clear()
    view.record_prefixes(heartbeat.prefixes)
    load = view.load
    load.reported_at = now
    load.queued_tokens = heartbeat.queued_tokens
    load.running = heartbeat.running
    load.slots = max(1, heartbeat.slots)
    load.prefill_rate = (
        heartbeat.prefill_tokens_per_second or DEFAULT_PREFILL_RATE
    )
    load.decode_ms = heartbeat.decode_ms or DEFAULT_DECODE_MS
    load.sent_tokens = 0
    view.breaker.observe(queue_wait(load), now)
