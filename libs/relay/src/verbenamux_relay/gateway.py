"""A relaying gateway: its routing state, notices to peers, and tasks."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from verbenamux_balancing.retry_budget import RetryBudget
from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import (
    AnyMessage,
    KeeperLeaving,
    KeeperLoad,
    KeeperReport,
    ReadAsk,
    UsageDigest,
    UsageNotice,
    UsageWanted,
)
from verbenamux_relay.allowance import Allowance, LimitBounds
from verbenamux_relay.catalog import Catalog, Service
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.drain_bounds import (
    DrainBounds,
    RegistryUpdate,
    lapse_until,
)
from verbenamux_relay.evacuations import Evacuations
from verbenamux_relay.keepers import Keepers, decode_report, reported_entry
from verbenamux_relay.loading import Loader
from verbenamux_relay.model_placement import Move, plan
from verbenamux_relay.outcomes import ConfigurationState
from verbenamux_relay.peering import Identity, Member, Peers
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.stopping import StopPlan
from verbenamux_relay.target_selection import RoutingState, holdings, is_serving
from verbenamux_relay.targets import (
    RELISTED_COOLDOWN,
    Target,
    TargetEntry,
    TargetReport,
)
from verbenamux_relay.usage import Usage
from verbenamux_runtime.metrics import Metrics
from verbenamux_runtime.peers import PeerServer

# Interval at which the planner looks for better placements.
PLAN_INTERVAL = timedelta(milliseconds=400)
# Removed targets are kept this long for answers still in progress.
REMOVED_RETENTION = timedelta(seconds=10)
# One in this many targets may be loading a model for the planner at a time.
TARGETS_PER_MOVE = 2


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """Identity, addresses and bounds of a gateway.

    `key_trust` is how long keys are accepted without confirmation from the
    store, `leaving` bounds how soon a leaving target gets no more requests,
    `evacuation` how soon those of an evacuated data centre get none.
    `restarted_at` is when this process took over from an earlier one, which may
    just have spent what is limited, None at the first start; `limits` are the
    bounds of workspaces' limits.
    """

    name: str
    instance: InstanceId
    peer_address: str
    keeper_port: int
    key_trust: timedelta
    retry_window: timedelta
    retry_ratio: float
    extra_retries: float
    restarted_at: timedelta | None
    leaving: DrainBounds
    evacuation: timedelta = timedelta()
    limits: LimitBounds | None = None


class RelayGateway:
    """State of one gateway, updated by the platform, peers and keepers."""

    def __init__(
        self,
        setup: GatewaySetup,
        clock: Clock,
        routing_state: RoutingState,
        metrics: Metrics,
        log: Callable[..., None],
    ) -> None:
        """Start without a configuration, targets or peers."""
        self.setup = setup
        self.routing_state = routing_state
        self.metrics = metrics
        self.peers = Peers(
            Identity(
                setup.name,
                setup.instance,
                Member(setup.peer_address, routing_state.data_centre),
            ),
            clock.elapsed,
        )
        self.keepers = Keepers(
            setup.instance,
            setup.keeper_port,
            routing_state.target_table,
            clock.elapsed,
            rank=self.peers.rank,
            on_message=self._handle_keeper_message,
        )
        self.allowance = Allowance(
            clock.elapsed,
            self.peers.peer_timeout,
            is_restart=setup.restarted_at is not None,
            bounds=setup.limits,
            unheard=self.peers.unheard,
        )
        self.quarantine = Quarantine(
            clock.elapsed, self.peers.peer_timeout, self.peers.is_first, log
        )
        self.demand = DemandMeter(clock.elapsed, self.peers.peer_timeout)
        self.loader = Loader(
            target_table=routing_state.target_table,
            link_of=self.keepers.link_of,
            clock=clock,
            log=log,
            count=metrics.count,
            demand=self.demand.current,
        )
        self.server = PeerServer(setup.peer_address, self._handle_message)
        self.on_read_ask: Callable[[bytes, ReadAsk], None] | None = None
        self.evacuations = Evacuations(
            routing_state.target_table,
            setup.evacuation,
            clock.elapsed,
            lambda: self._confirmed_at,
            self.loader.notify_change,
            log,
        )
        self._clock = clock
        self._log = log
        self._catalog: Catalog | None = None
        self._confirmed_at: timedelta | None = None
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._moving_target_ids: set[str] = set()
        self._reporter_rank: int | None = None
        self.stop = StopPlan()

    def adopt(self, catalog: Catalog) -> None:
        """Adopt a configuration unless it is older than the current one."""
        if self._catalog is not None and (
            catalog.version <= self._catalog.version
        ):
            return
        self._catalog = catalog
        self._log(
            'catalog_adopted',
            version=catalog.version,
            routes=sum(map(len, catalog.routes_by_host.values())),
            keys=len(catalog.workspaces_by_key),
        )
        self.keepers.adopt(catalog)

    def confirm(self, asked_at: timedelta) -> None:
        """Record that the configuration was the newest at `asked_at`."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def set_members(self, members_by_name: Mapping[str, Member]) -> None:
        """Adopt the gateways that the store lists."""
        self.peers.set_members(members_by_name)
        cold_sends = self.routing_state.cold_sends
        if cold_sends is not None:
            cold_sends.set_gateways(self.peers.names())

    def configuration_state(self) -> ConfigurationState:
        """Return the configuration and whether it is confirmed."""
        confirmed_for = (
            timedelta.max
            if self._confirmed_at is None
            else self._clock.elapsed() - self._confirmed_at
        )
        return ConfigurationState(
            self._catalog,
            confirmed_for,
            is_key_trusted=confirmed_for < self.setup.key_trust,
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return (
            not self.stop.is_under_way
            and self._catalog is not None
            and bool(self.routing_state.target_table.by_id)
        )

    def begin_stop(self, allowed: timedelta, streams_for: timedelta) -> None:
        """Become not ready, and accept streams only for `streams_for`.

        `allowed` is the time until the process must have ended. Requests that
        wait for a model decide again whether it is expected in time.
        """
        self.stop.begin(self._clock.elapsed(), allowed, streams_for)
        self.loader.notify_change()

    def put_target(
        self,
        entry: TargetEntry,
        update: RegistryUpdate | None = None,
    ) -> None:
        """Add or update an entry; `update` is how the change became known.

        One that left rests first if an older list has it again.
        """
        table = self.routing_state.target_table
        is_restored = update is not None and update.is_restored
        had_left = is_restored and table.has_left(entry.target_id)
        previous = table.by_id.get(entry.target_id)
        if (
            previous is not None
            and entry.is_draining > previous.entry.is_draining
        ):
            self._log_leaving('target_draining', entry.target_id, update)
        held_off_until = previous.held_off_until if previous else timedelta()
        is_new = table.add_or_update(entry, self._clock.elapsed())
        target = table.by_id[entry.target_id]
        if had_left:
            target.record_relisted(self._clock.elapsed())
            self._log(
                'target_relisted',
                target=entry.target_id,
                rest_ms=to_milliseconds(RELISTED_COOLDOWN),
            )
        if held_off_until > max(self._clock.elapsed(), target.held_off_until):
            self._log(
                'target_hold_ended',
                target=entry.target_id,
                cause='a newer start of the target',
                started_ms=entry.started_ms,
            )
        if is_new:
            self._confirm_ends_at(target)
            self._log(
                'target_found',
                target=entry.target_id,
                service=entry.service,
                draining=entry.is_draining,
            )
        if entry.cold_left and (
            previous is None or not previous.entry.cold_left
        ):
            self._log(
                'target_cold',
                target=entry.target_id,
                left_ms=to_milliseconds(entry.cold_left),
            )
        if target.report is None:
            target.missing_models.clear()
        self.keepers.follow(target)
        self.loader.notify_change()

    def _confirm_ends_at(self, added: Target) -> None:
        """Record that what listened at the address of a new target ended."""
        for target in self.routing_state.target_table.by_id.values():
            if target is not added and (
                target.entry.address == added.entry.address
            ):
                self.quarantine.confirm_end(target.entry.target_id)

    def remove_target(
        self, target_id: str, update: RegistryUpdate | None = None
    ) -> None:
        """Record that a target ended; keeper reports do not add it again.

        `update` is how the registry change became known; without it, an engine
        with another id answers at its address.
        """
        now = self._clock.elapsed()
        until = lapse_until(update, now, self.setup.leaving) if update else now
        self.routing_state.target_table.mark_removed(target_id, now, until)
        self.quarantine.confirm_end(target_id)
        self._log_leaving('target_removed', target_id, update)

    def _log_leaving(
        self,
        event: str,
        target_id: str,
        update: RegistryUpdate | None,
    ) -> None:
        """Log who read the change of a leaving target, and its maximum age."""
        now = self._clock.elapsed()
        logged_update = update or RegistryUpdate('keeper')
        self._log(
            event,
            target=target_id,
            reader=logged_update.reader,
            age_most_ms=_milliseconds_since(logged_update.current_at, now),
            failed_ms=_milliseconds_since(logged_update.failed_at, now),
            drain_ms=to_milliseconds(self.setup.leaving.drain),
        )

    def budget_of(self, service: str) -> RetryBudget:
        """Return this gateway's retry budget for a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                self._clock.elapsed,
                self.setup.retry_window,
                self.setup.retry_ratio,
                0,
                self.setup.restarted_at,
            )
            self._budget_by_service[service] = budget
        fleet_size = self.peers.fleet_size()
        budget.extra = (
            self.setup.extra_retries / fleet_size if fleet_size else 0
        )
        return budget

    def report_usage(self) -> None:
        """Report what the other gateways need to know of this one."""
        self.quarantine.review()
        usage = Usage(
            spent=dict(self.allowance.spent_by_workspace),
            left=self.allowance.levels(),
            waiting=self.demand.own_waiting(),
            asked=dict(self.demand.requests_by_model),
            age=self.allowance.age(),
            evidence=self.quarantine.evidence(),
        )
        self.peers.send_usage(
            usage,
            is_leaving=self.stop.is_under_way,
            is_urgent=self.should_report_now(),
        )
        self.allowance.mark_reported()
        self.quarantine.has_news = False

    def should_report_now(self) -> bool:
        """Return whether the other gateways need a report at once."""
        return self.allowance.should_report_now() or self.quarantine.has_news

    def pass_on_usage(self) -> None:
        """Pass on the usage of other gateways, if this one is to."""
        if not self.peers.send_digests():
            return
        rank = self.peers.reporter_rank()
        if rank != self._reporter_rank:
            self._log(
                'usage_reporter_changed',
                rank=rank,
                peers=self.peers.count(),
                is_mesh=self.peers.is_mesh(),
            )
            self._reporter_rank = rank

    def plan_moves(self, run: Callable[[Callable[[], object]], object]) -> None:
        """Start the moves that adapt model copies to demand.

        Only the first responsive gateway by name plans; `run` starts a task.
        """
        if self.stop.is_under_way or not self.peers.is_first():
            return
        if self._catalog is None:
            return
        for service in self._catalog.services_by_name.values():
            for move in self._next_moves(service):
                self._moving_target_ids.add(move.target_id)
                run(partial(self._carry_out, move))

    def _next_moves(self, service: Service) -> Iterator[Move]:
        """Yield moves to targets without one in progress, a few at a time."""
        if service.engine is None:
            return
        now = self._clock.elapsed()
        candidates = tuple(
            holdings(self.routing_state.target_table, service.name, now)
        )
        max_moves = max(len(candidates) // TARGETS_PER_MOVE, 1)
        for move in plan(candidates, service.engine, self.demand.current()):
            is_at_limit = len(self._moving_target_ids) >= max_moves and bool(
                move.evict
            )
            if (
                not is_at_limit
                and move.target_id not in self._moving_target_ids
            ):
                yield move

    def measure(self) -> None:
        """Set the gauges of this gateway's state and of its age."""
        configuration = self.configuration_state()
        gauge = self.metrics.gauge
        gauge(
            'catalog_version',
            configuration.catalog.version if configuration.catalog else 0,
        )
        gauge(
            'catalog_age_seconds', configuration.confirmed_for.total_seconds()
        )
        gauge('peers_silent', self.allowance.unresponsive_peers())
        rank = self.peers.reporter_rank()
        gauge('usage_reporter_rank', -1 if rank is None else rank)
        for name, level in self._target_gauges():
            gauge(name, level)
        for service, budget in self._budget_by_service.items():
            state = budget.state()
            gauge('repeats_left', state.left, service=service)
            gauge('repeats_spent', state.retries, service=service)
            gauge('repeats_extra', state.extra, service=service)
        for workspace, left in self.allowance.levels().items():
            gauge('allowance_left', left, workspace=workspace)

    def _target_gauges(self) -> Iterator[tuple[str, int]]:
        now = self._clock.elapsed()
        targets = tuple(self.routing_state.target_table.by_id.values())
        yield 'targets', sum(is_serving(target, now) for target in targets)
        yield 'targets_cold', sum(target.cold_until > now for target in targets)
        closing = self.routing_state.target_table.closing_data_centres
        yield 'data_centres_evacuated', len(closing)
        unresponsive = sum(
            target.has_unresponsive_keeper(now) for target in targets
        )
        yield 'keepers_silent', unresponsive
        in_flight = sum(len(target.in_flight) for target in targets)
        yield 'requests_in_flight', in_flight
        parts, prompts = self.quarantine.convicted_counts()
        yield 'parts_convicted', parts
        yield 'prompts_convicted', prompts

    def sweep(self) -> None:
        """Forget targets that ended and close links to unused keepers."""
        now = self._clock.elapsed()
        for target_id, target in tuple(
            self.routing_state.target_table.by_id.items()
        ):
            removed_at = target.removed_at
            if removed_at is None or now - removed_at < REMOVED_RETENTION:
                continue
            if not target.in_flight:
                self.routing_state.target_table.forget(target_id)
                self.routing_state.prompts.forget(target_id)
                self.routing_state.read_rates.forget(target_id)
                if self.routing_state.cold_sends is not None:
                    self.routing_state.cold_sends.forget(target_id)
        self.keepers.sweep()

    def _carry_out(self, move: Move) -> None:
        try:
            self.loader.carry_out(move)
        finally:
            self._moving_target_ids.discard(move.target_id)

    def _handle_keeper_message(self, message: AnyMessage) -> None:
        if isinstance(message, KeeperLoad):
            report = self.keepers.with_changes(message)
        elif isinstance(message, KeeperReport):
            report = decode_report(message, self._clock.elapsed())
            if report.target_id not in self.routing_state.target_table.by_id:
                self._add_reported_target(message)
        else:
            if isinstance(message, KeeperLeaving):
                self._record_keeper_leaving(message.target_id)
            return
        if report is not None:
            self._apply_report(report)

    def _record_keeper_leaving(self, target_id: str) -> None:
        """Send a stopping keeper no orders until another one reports."""
        target = self.routing_state.target_table.by_id.get(target_id)
        if target is not None and target.report is not None:
            target.report = replace(target.report, is_keeper_leaving=True)

    def _apply_report(self, report: TargetReport) -> None:
        target = self.routing_state.target_table.by_id.get(report.target_id)
        if target is None:
            return
        previous_report = target.report
        previous_models = target.models
        target.report = report
        target.last_received_at = report.received_at
        for model in previous_models - report.models:
            self.routing_state.prompts.forget_model(report.target_id, model)
        if (
            previous_report is None
            or previous_report.revision != report.revision
        ):
            self.loader.notify_change()

    def _add_reported_target(self, message: KeeperReport) -> None:
        """Add a target from its keeper's report, before the registry has it.

        An engine that restarted has a new id at its old address.
        """
        catalog = self._catalog
        service = (
            catalog.services_by_name.get(message.service) if catalog else None
        )
        entry = reported_entry(message, service) if service else None
        target_table = self.routing_state.target_table
        if entry is None or target_table.was_removed(message.target_id):
            return
        for other in tuple(target_table.by_id.values()):
            if other.entry.address == entry.address:
                self.remove_target(other.entry.target_id)
        self.put_target(entry)

    def _handle_message(self, sender: bytes, message: AnyMessage) -> None:
        if isinstance(message, UsageNotice):
            usage = self.peers.read(message)
            if usage is not None:
                self._apply_usage(message.instance, usage, message.leaving)
        elif isinstance(message, UsageDigest):
            self._handle_digest(sender, message)
        elif isinstance(message, ReadAsk) and self.on_read_ask is not None:
            self.on_read_ask(sender, message)

    def _handle_digest(self, sender: bytes, digest: UsageDigest) -> None:
        newer, missed = self.peers.read_digest(digest)
        for known in newer:
            self._apply_usage(known.instance, known.usage, known.is_leaving)
        if missed:
            self.server.send(sender, UsageWanted(missed))

    def _apply_usage(
        self, instance: str, usage: Usage, is_leaving: bool
    ) -> None:
        workspaces = self._catalog.workspaces() if self._catalog else {}
        self.allowance.handle_notice(
            instance,
            usage.spent,
            usage.left,
            workspaces,
            is_leaving,
            usage.age,
        )
        self.demand.handle_usage(instance, usage)
        self.quarantine.handle_evidence(instance, usage.evidence)


def _milliseconds_since(
    moment: timedelta | None,
    now: timedelta,
) -> int | None:
    return None if moment is None else to_milliseconds(now - moment)
