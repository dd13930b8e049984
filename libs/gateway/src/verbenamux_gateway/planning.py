"""The planner duty: one gateway of a group plans for its data centres."""

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

REPORT_BYTES = 16
REPORT_BYTES_PER_SECOND = 1000
REPORT_PATIENCE = 4
MOVE_PENDING = timedelta(seconds=15)
REPORTED_AFTER = timedelta(seconds=1)
ADAPTERS_ROOM = 4
MILLISECONDS = 1000
SHORTEST_SECONDS = 0.001

Decide = Callable[..., None]


@dataclass(frozen=True, slots=True)
class KnownReport:
    """The demand that another gateway last reported."""

    taken_at: timedelta
    rate_by_model: dict[str, float]


@dataclass(slots=True)
class PlannerDuty:
    """Counts demand, and plans when this gateway is the one to.

    Two gateways may plan at once while they see each other differently:
    that costs moves, but every drop still needs another holder's consent.
    """

    name: str
    settings: PlanningSettings
    clock: Clock
    fleet: Fleet
    peers: PeerTable
    decide: Decide
    demand: DemandTable = field(default_factory=DemandTable)
    seen_tokens: Counter[str] = field(default_factory=Counter)
    report_by_sender: dict[str, KnownReport] = field(default_factory=dict)
    reported_at: timedelta | None = None
    allowance: float = 1
    planned_at: timedelta | None = None
    memory_by_model: dict[str, int] = field(default_factory=dict)
    memory_by_adapter: dict[str, int] = field(default_factory=dict)
    pending: dict[tuple[str, str], tuple[timedelta, Move]] = field(
        default_factory=dict,
    )

    def note(self, model: str, tokens: int) -> None:
        """Count the tokens that a request asks of a model."""
        self.seen_tokens[model] += tokens

    def take_report(self, report: DemandReport) -> None:
        """Take what another gateway of the group saw, until its next report."""
        self.report_by_sender[report.sender] = KnownReport(
            self.clock.elapsed(),
            report.tokens_by_model,
        )

    def step(self, configuration: Configuration) -> None:
        """Report demand to the planner, or plan when that is this one."""
        planner = self._planner()
        if planner != self.name:
            self._report_to(planner)
            return
        elapsed = self._elapsed()
        self.demand.observe(self._rates(elapsed), elapsed)
        self._carry_out(configuration, elapsed)

    def report_period(self) -> timedelta:
        """Return how often a gateway reports its demand.

        It grows with the group and the models seen, so that what the
        planner takes in stays within a fixed number of bytes a second.
        """
        gateways = len(self.peers.by_name)
        size = gateways * len(self.seen_tokens) * REPORT_BYTES
        paced = timedelta(seconds=size / REPORT_BYTES_PER_SECOND)
        return max(self.settings.interval, paced)

    def _planner(self) -> str:
        names = [peer.name for peer in self.peers.alive()]
        group = ','.join(sorted(self.settings.data_centres))
        return pick(f'planner/{group}', [*names, self.name], 1)[0]

    def _rates(self, elapsed: timedelta) -> dict[str, float]:
        """Return tokens a second by model, of all gateways together."""
        seconds = max(elapsed.total_seconds(), SHORTEST_SECONDS)
        rates: defaultdict[str, float] = defaultdict(float)
        for model, tokens in self.seen_tokens.items():
            rates[model] += tokens / seconds
        patience = REPORT_PATIENCE * self.report_period()
        self.seen_tokens.clear()
        now = self.clock.elapsed()
        for sender, report in list(self.report_by_sender.items()):
            if now - report.taken_at > patience:
                del self.report_by_sender[sender]
                continue
            for model, rate in report.rate_by_model.items():
                rates[model] += rate
        return rates

    def _report_to(self, planner: str) -> None:
        now = self.clock.elapsed()
        reported_at = self.reported_at
        since = self.report_period()
        if reported_at is not None:
            since = now - reported_at
        if since < self.report_period():
            return
        self.reported_at = now
        self.report_by_sender.clear()
        seconds = max(since.total_seconds(), SHORTEST_SECONDS)
        report = DemandReport(
            self.name,
            {
                model: tokens / seconds
                for model, tokens in self.seen_tokens.items()
            },
        )
        self.seen_tokens.clear()
        peer = self.peers.by_name.get(planner)
        if peer is not None:
            peer.link.send(report)

    def _elapsed(self) -> timedelta:
        now = self.clock.elapsed()
        elapsed: timedelta = self.settings.interval
        if self.planned_at is not None:
            elapsed = now - self.planned_at
        self.planned_at = now
        return elapsed

    def _carry_out(
        self,
        configuration: Configuration,
        elapsed: timedelta,
    ) -> None:
        earned = self.settings.loads_per_second * elapsed.total_seconds()
        most = max(1.0, self.settings.loads_per_second * 2)
        self.allowance = min(most, self.allowance + earned)
        self._forget_pending()
        models = list(configuration.models_by_name.values())
        self.memory_by_model = {model.name: model.memory_mb for model in models}
        adapters = list(configuration.adapters_by_name.values())
        self.memory_by_adapter = {
            each.name: each.memory_mb for each in adapters
        }
        static = self.settings.policy is PlacementPolicy.STATIC
        moves = plan_moves(
            models,
            self._hosts(),
            DemandTable() if static else self.demand,
            int(self.allowance),
            ADAPTERS_ROOM * max(self.memory_by_adapter.values(), default=0),
            _largest_by_model(adapters),
        )
        for move in moves:
            self.allowance -= 1
            self._send(move)

    def _hosts(self) -> list[HostState]:
        views = self.fleet.views.by_name.values()
        return [self._host(view) for view in views if self._in_reach(view)]

    def _in_reach(self, view: TargetView) -> bool:
        if view.target.kind is not TargetKind.ENGINE or not view.usable:
            return False
        centres = self.settings.data_centres
        return not centres or view.target.data_centre in centres

    def _host(self, view: TargetView) -> HostState:
        held = dict(view.version_by_model)
        coming: set[str] = set()
        ordered_mb = 0
        for (target, model), (since, move) in self.pending.items():
            if target != view.target.name:
                continue
            if move.kind is MoveKind.PLACE:
                if model not in held:
                    coming.add(model)
                held[model] = move.version
                ordered_mb += self._unreported_mb(since, model)
            else:
                held.pop(model, None)
        load = view.load
        return HostState(
            view.target.name,
            view.free_mb - ordered_mb,
            load.slots * MILLISECONDS / load.decode_ms,
            held,
            frozenset(view.target.models),
            sum(self.memory_by_adapter.get(name, 0) for name in view.adapters),
            frozenset(coming),
        )

    def _unreported_mb(self, since: timedelta, model: str) -> int:
        """Return memory that a heartbeat may not show as taken yet."""
        if self.clock.elapsed() - since > REPORTED_AFTER:
            return 0
        return self.memory_by_model.get(model, 0)

    def _forget_pending(self) -> None:
        now = self.clock.elapsed()
        for key, (since, move) in list(self.pending.items()):
            view = self.fleet.views.by_name.get(move.target)
            shown = view is not None and _shows(view, move)
            if shown or now - since > MOVE_PENDING:
                del self.pending[key]

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
            self.pending[move.target, move.model] = (now, move)
        self.decide(
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
        known = largest.get(adapter.model, 0)
        largest[adapter.model] = max(known, adapter.memory_mb)
    return largest


def _shows(view: TargetView, move: Move) -> bool:
    version = view.version_by_model.get(move.model)
    if move.kind is MoveKind.PLACE:
        return version == move.version
    return version != move.version
