"""Placement planning: one gateway of a group plans for its centres."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_config.entities import Adapter, TargetKind
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import (
    DemandReport,
    DropModel,
    PlaceModel,
)
from verbenamux_contracts.rendezvous import pick
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.peering import PeerTable
from verbenamux_gateway.settings import PlanningSettings
from verbenamux_placement.planner import (
    DemandTable,
    HostState,
    Move,
    MoveKind,
    PlacementPolicy,
    plan_moves,
)
from verbenamux_routing.views import TargetView

REPORT_BYTES_PER_MODEL = 16
REPORT_BYTES_PER_SECOND = 1000
REPORT_MAX_AGE_INTERVALS = 4
MOVE_TIMEOUT = timedelta(seconds=15)
MAX_HEARTBEAT_DELAY = timedelta(seconds=1)
RESERVED_ADAPTERS = 4
MILLISECONDS_PER_SECOND = 1000
MIN_ELAPSED_SECONDS = 0.001

LogDecision = Callable[..., None]


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The demand that another gateway last reported."""

    received_at: timedelta
    rate_by_model: dict[str, float]


@dataclass(slots=True)
class PlacementPlanner:
    """Counts demand, and plans moves while this gateway is the planner.

    Two gateways may plan at once while their views of their peers differ:
    that costs moves, but every drop still needs another holder's consent.
    """

    name: str
    settings: PlanningSettings
    clock: Clock
    fleet: Fleet
    peers: PeerTable
    log_decision: LogDecision
    demand: DemandTable = field(default_factory=DemandTable)
    counted_tokens: Counter[str] = field(default_factory=Counter)
    report_by_sender: dict[str, ReceivedReport] = field(default_factory=dict)
    last_report_at: timedelta | None = None
    load_allowance: float = 1
    last_plan_at: timedelta | None = None
    memory_by_model: dict[str, int] = field(default_factory=dict)
    memory_by_adapter: dict[str, int] = field(default_factory=dict)
    pending_moves: dict[tuple[str, str], tuple[timedelta, Move]] = field(
        default_factory=dict,
    )

    def count_demand(self, model: str, tokens: int) -> None:
        """Count the tokens that a request needs of a model."""
        self.counted_tokens[model] += tokens

    def receive_report(self, report: DemandReport) -> None:
        """Store the demand of a gateway of the group until its next report."""
        self.report_by_sender[report.sender] = ReceivedReport(
            self.clock.elapsed(),
            report.tokens_by_model,
        )

    def step(self, configuration: Configuration) -> None:
        """Report demand to the planner, or plan if this gateway is it."""
        planner = self._elect_planner()
        if planner != self.name:
            self._report_to(planner)
            return
        elapsed = self._time_since_last_plan()
        self.demand.observe(self._rates(elapsed), elapsed)
        self._plan_and_send(configuration, elapsed)

    def report_interval(self) -> timedelta:
        """Return how often a gateway reports its demand.

        It grows with the group and the models in use, so that the planner
        receives at most a fixed number of bytes per second.
        """
        gateways = len(self.peers.by_name)
        report_bytes = (
            gateways * len(self.counted_tokens) * REPORT_BYTES_PER_MODEL
        )
        rate_limited_interval = timedelta(
            seconds=report_bytes / REPORT_BYTES_PER_SECOND
        )
        return max(self.settings.interval, rate_limited_interval)

    def _elect_planner(self) -> str:
        names = [peer.name for peer in self.peers.alive()]
        group = ','.join(sorted(self.settings.data_centres))
        return pick(f'planner/{group}', [*names, self.name], 1)[0]

    def _rates(self, elapsed: timedelta) -> dict[str, float]:
        """Return the tokens per second by model over all gateways."""
        seconds = max(elapsed.total_seconds(), MIN_ELAPSED_SECONDS)
        rates: defaultdict[str, float] = defaultdict(float)
        for model, tokens in self.counted_tokens.items():
            rates[model] += tokens / seconds
        max_age = REPORT_MAX_AGE_INTERVALS * self.report_interval()
        self.counted_tokens.clear()
        now = self.clock.elapsed()
        for sender, report in list(self.report_by_sender.items()):
            if now - report.received_at > max_age:
                del self.report_by_sender[sender]
                continue
            for model, rate in report.rate_by_model.items():
                rates[model] += rate
        return rates

    def _report_to(self, planner: str) -> None:
        now = self.clock.elapsed()
        last_report_at = self.last_report_at
        since_last_report = self.report_interval()
        if last_report_at is not None:
            since_last_report = now - last_report_at
        if since_last_report < self.report_interval():
            return
        self.last_report_at = now
        self.report_by_sender.clear()
        seconds = max(since_last_report.total_seconds(), MIN_ELAPSED_SECONDS)
        report = DemandReport(
            self.name,
            {
                model: tokens / seconds
                for model, tokens in self.counted_tokens.items()
            },
        )
        self.counted_tokens.clear()
        peer = self.peers.by_name.get(planner)
        if peer is not None:
            peer.link.send(report)

    def _time_since_last_plan(self) -> timedelta:
        now = self.clock.elapsed()
        elapsed: timedelta = self.settings.interval
        if self.last_plan_at is not None:
            elapsed = now - self.last_plan_at
        self.last_plan_at = now
        return elapsed

    def _plan_and_send(
        self,
        configuration: Configuration,
        elapsed: timedelta,
    ) -> None:
        earned = self.settings.loads_per_second * elapsed.total_seconds()
        max_allowance = max(1.0, self.settings.loads_per_second * 2)
        self.load_allowance = min(max_allowance, self.load_allowance + earned)
        self._remove_finished_moves()
        models = list(configuration.models_by_name.values())
        self.memory_by_model = {model.name: model.memory_mb for model in models}
        adapters = list(configuration.adapters_by_name.values())
        self.memory_by_adapter = {
            adapter.name: adapter.memory_mb for adapter in adapters
        }
        is_static = self.settings.policy is PlacementPolicy.STATIC
        moves = plan_moves(
            models,
            self._host_states(),
            DemandTable() if is_static else self.demand,
            int(self.load_allowance),
            RESERVED_ADAPTERS * max(self.memory_by_adapter.values(), default=0),
            _largest_by_model(adapters),
        )
        for move in moves:
            self.load_allowance -= 1
            self._send(move)

    def _host_states(self) -> list[HostState]:
        views = self.fleet.views.by_name.values()
        return [
            self._host_state(view) for view in views if self._is_plannable(view)
        ]

    def _is_plannable(self, view: TargetView) -> bool:
        if view.target.kind is not TargetKind.ENGINE or not view.is_usable:
            return False
        centres = self.settings.data_centres
        return not centres or view.target.data_centre in centres

    def _host_state(self, view: TargetView) -> HostState:
        held = dict(view.version_by_model)
        pending_models: set[str] = set()
        ordered_mb = 0
        for (target, model), (ordered_at, move) in self.pending_moves.items():
            if target != view.target.name:
                continue
            if move.kind is MoveKind.PLACE:
                if model not in held:
                    pending_models.add(model)
                held[model] = move.version
                ordered_mb += self._unreported_mb(ordered_at, model)
            else:
                held.pop(model, None)
        load = view.load
        return HostState(
            view.target.name,
            view.free_mb - ordered_mb,
            load.slots * MILLISECONDS_PER_SECOND / load.decode_ms,
            held,
            frozenset(view.target.models),
            sum(self.memory_by_adapter.get(name, 0) for name in view.adapters),
            frozenset(pending_models),
        )

    def _unreported_mb(self, ordered_at: timedelta, model: str) -> int:
        """Return the memory of a load that heartbeats may not show yet."""
        if self.clock.elapsed() - ordered_at > MAX_HEARTBEAT_DELAY:
            return 0
        return self.memory_by_model.get(model, 0)

    def _remove_finished_moves(self) -> None:
        now = self.clock.elapsed()
        for key, (ordered_at, move) in list(self.pending_moves.items()):
            view = self.fleet.views.by_name.get(move.target)
            is_done = view is not None and _is_reported(view, move)
            if is_done or now - ordered_at > MOVE_TIMEOUT:
                del self.pending_moves[key]

    def _send(self, move: Move) -> None:
        view = self.fleet.views.by_name[move.target]
        link = self.fleet.link_to(view.target.agent)
        if move.kind is MoveKind.PLACE:
            sent = link.send(PlaceModel(move.model, move.version))
        else:
            by_name = self.fleet.views.by_name
            holders = tuple(by_name[name].target.agent for name in move.holders)
            sent = link.send(DropModel(move.model, move.version, holders))
        if sent:
            now = self.clock.elapsed()
            self.pending_moves[move.target, move.model] = (now, move)
        self.log_decision(
            'move',
            kind=move.kind.value,
            model=move.model,
            version=move.version,
            target=move.target,
            reason=move.reason,
            sent=sent,
        )


def _largest_by_model(adapters: Iterable[Adapter]) -> dict[str, int]:
    """Return the memory of each model's largest adapter, in MB."""
    largest: dict[str, int] = {}
    for adapter in adapters:
        largest_mb = largest.get(adapter.model, 0)
        largest[adapter.model] = max(largest_mb, adapter.memory_mb)
    return largest


def _is_reported(view: TargetView, move: Move) -> bool:
    version = view.version_by_model.get(move.model)
    if move.kind is MoveKind.PLACE:
        return version == move.version
    return version != move.version
