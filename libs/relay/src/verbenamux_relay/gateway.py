"""A relaying gateway: what it believes, whom it tells, and its tasks."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from hashlib import blake2b
from itertools import count

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import (
    AnyMessage,
    EngineNotice,
    KeeperHello,
    KeeperLoad,
    KeeperReport,
    Message,
    ModelSize,
    ReadAsk,
    UsageNotice,
    encode_message,
)
from verbenamux_http.client import parse_address
from verbenamux_relay.allowance import Allowance
from verbenamux_relay.catalog import Catalog, EngineTerms, Service
from verbenamux_relay.demand import DemandMeter
from verbenamux_relay.loading import Loader
from verbenamux_relay.peering import Member, Own, Peers
from verbenamux_relay.picking import Beliefs, holdings, is_serving
from verbenamux_relay.placing import Move, plan
from verbenamux_relay.repeats import RepeatBudget
from verbenamux_relay.settling import Knowledge
from verbenamux_relay.targets import Target, TargetEntry, TargetReport
from verbenamux_relay.usage import Usage
from verbenamux_runtime.metrics import Metrics
from verbenamux_runtime.peers import PeerLink, PeerServer

# The planner looks for better places this often.
PLAN_PERIOD = timedelta(milliseconds=400)
# Keepers are greeted this often while they are silent, and every so many
# times while they report.
ENGINE_PERIOD = timedelta(milliseconds=250)
GREETING_ROUNDS = 8
# Gateways but the first tell a keeper only what it lacked for this long.
INFORM_DELAY = timedelta(seconds=1)
# Bytes that name the terms of an engine.
TERMS_BYTES = 6
# So many removed targets are remembered by name.
REMOVED_MOST = 1000
# Removed targets are kept this long for answers still under way.
REMOVED_KEPT = timedelta(seconds=10)
# One in so many targets may be loading a model for the planner at once.
MOVES_PART = 2


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """Where a gateway stands, and the bounds that it keeps.

    `key_trust` is how long keys count without word from the store.
    """

    name: str
    instance: InstanceId
    peer_address: str
    keeper_port: int
    key_trust: timedelta
    repeat_window: timedelta
    repeat_ratio: float
    repeat_extra: float


class RelayGateway:
    """Beliefs of one gateway, fed by the platform, peers and keepers."""

    def __init__(
        self,
        setup: GatewaySetup,
        clock: Clock,
        beliefs: Beliefs,
        metrics: Metrics,
        log: Callable[..., None],
    ) -> None:
        """Start with nothing known."""
        self.setup = setup
        self.beliefs = beliefs
        self.metrics = metrics
        self.peers = Peers(
            Own(
                setup.name,
                setup.instance,
                Member(setup.peer_address, beliefs.data_centre),
            ),
            clock.elapsed,
        )
        self.allowance = Allowance(clock.elapsed, self.peers.silence_most)
        self.demand = DemandMeter(clock.elapsed)
        self.loader = Loader(
            book=beliefs.book,
            link_of=self._keeper_link,
            clock=clock,
            log=log,
            count=metrics.count,
            demand=self.demand.current,
        )
        self.server = PeerServer(setup.peer_address, self._hear)
        self.on_read_ask: Callable[[bytes, ReadAsk], None] | None = None
        self._clock = clock
        self._log = log
        self._catalog: Catalog | None = None
        self._confirmed_at: timedelta | None = None
        self._keepers_by_host: dict[str, PeerLink] = {}
        self._budget_by_service: dict[str, RepeatBudget] = {}
        self._uninformed_since: dict[str, timedelta] = {}
        self._moving: set[str] = set()
        self._removed_ids: OrderedDict[str, None] = OrderedDict()
        self._rounds = count()
        self.is_stopping = False

    def adopt(self, catalog: Catalog) -> None:
        """Take in a configuration, unless a newer one is known."""
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
        for target in tuple(self.beliefs.book.by_id.values()):
            self._follow_keeper(target)

    def confirm(self, asked_at: timedelta) -> None:
        """Note that the configuration was the newest at a moment."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def knowledge(self) -> Knowledge:
        """Return the configuration and how sure it is."""
        confirmed_for = (
            timedelta.max
            if self._confirmed_at is None
            else self._clock.elapsed() - self._confirmed_at
        )
        return Knowledge(
            self._catalog,
            confirmed_for,
            is_key_trusted=confirmed_for < self.setup.key_trust,
        )

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return (
            not self.is_stopping
            and self._catalog is not None
            and bool(self.beliefs.book.by_id)
        )

    def put_target(self, entry: TargetEntry) -> None:
        """Take in a registry entry."""
        is_new = self.beliefs.book.put(entry, self._clock.elapsed())
        target = self.beliefs.book.by_id[entry.target_id]
        if is_new:
            self._log(
                'target_found',
                target=entry.target_id,
                service=entry.service,
                draining=entry.is_draining,
            )
        if target.report is None:
            target.absent_models.clear()
        self._follow_keeper(target)
        self.loader.note_change()

    def remove_target(self, target_id: str) -> None:
        """Note that a target ended; no keeper's word brings it back."""
        self._removed_ids[target_id] = None
        if len(self._removed_ids) > REMOVED_MOST:
            self._removed_ids.popitem(last=False)
        self.beliefs.book.mark_removed(target_id, self._clock.elapsed())
        self._log('target_removed', target=target_id)

    def budget_of(self, service: str) -> RepeatBudget:
        """Return this gateway's budget of repeats for a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(
                self._clock.elapsed,
                self.setup.repeat_window,
                self.setup.repeat_ratio,
                0,
            )
            self._budget_by_service[service] = budget
        budget.extra = self.setup.repeat_extra / (self.peers.count() + 1)
        return budget

    def tell_usage(self) -> None:
        """Tell the other gateways what was spent and what waits."""
        usage = Usage(
            spent=dict(self.allowance.spent_by_workspace),
            left=self.allowance.levels(),
            waiting=self.demand.own_waiting(),
            asked=dict(self.demand.asked_by_model),
        )
        self.peers.tell(usage, is_leaving=self.is_stopping)
        self.allowance.note_told()

    def tell_keepers(self) -> None:
        """Greet keepers, and tell them what their engines may hold.

        A keeper that restarted knows neither, so a silent one is greeted
        with each call.
        """
        is_due = next(self._rounds) % GREETING_ROUNDS == 0
        notice_by_service = self._engine_notices()
        now = self._clock.elapsed()
        for target in tuple(self.beliefs.book.by_id.values()):
            is_silent = not target.report or target.has_silent_keeper(now)
            if is_due or is_silent:
                hello = KeeperHello(self.setup.instance, is_silent)
                self._tell_keeper(target, hello)
            notice = notice_by_service.get(target.entry.service)
            if notice is not None:
                self._inform(target, notice, now)

    def _inform(
        self,
        target: Target,
        notice: EngineNotice,
        now: timedelta,
    ) -> None:
        """Tell a keeper what its engine may hold, if that is news to it.

        Load pattern: configurations follow each other in many gateways. The
        first one tells; others only where that came to nothing.
        """
        target_id = target.entry.target_id
        if target.report is not None and target.report.terms == notice.terms:
            self._uninformed_since.pop(target_id, None)
            return
        since = self._uninformed_since.setdefault(target_id, now)
        if self.peers.is_first() or now - since >= INFORM_DELAY:
            self._tell_keeper(target, notice)

    def _tell_keeper(self, target: Target, message: Message) -> bool:
        link = self._keeper_link(target.entry.target_id)
        return link is not None and link.send(message)

    def plan_moves(self, run: Callable[[Callable[[], object]], object]) -> None:
        """Start the moves that bring models nearer to demand.

        Only the first living gateway by name plans; `run` starts a task.
        """
        if self.is_stopping or not self.peers.is_first():
            return
        if self._catalog is None:
            return
        for service in self._catalog.services_by_name.values():
            for move in self._planned(service):
                self._moving.add(move.target_id)
                run(partial(self._carry_out, move))

    def _planned(self, service: Service) -> Iterator[Move]:
        """Yield moves to targets that are not moving, a few at a time."""
        if service.engine is None:
            return
        now = self._clock.elapsed()
        places = tuple(holdings(self.beliefs.book, service.name, now))
        most = max(len(places) // MOVES_PART, 1)
        for move in plan(places, service.engine, self.demand.current()):
            is_full = len(self._moving) >= most and bool(move.evict)
            if not is_full and move.target_id not in self._moving:
                yield move

    def measure(self) -> None:
        """Set the gauges that tell what this gateway believes, and how old."""
        known = self.knowledge()
        gauge = self.metrics.gauge
        gauge('catalog_version', known.catalog.version if known.catalog else 0)
        gauge('catalog_age_seconds', known.confirmed_for.total_seconds())
        gauge('peers_silent', self.allowance.silent_peers())
        for name, level in self._target_levels():
            gauge(name, level)
        for service, budget in self._budget_by_service.items():
            gauge('repeats_left', budget.left(), service=service)
        for workspace, left in self.allowance.levels().items():
            gauge('allowance_left', left, workspace=workspace)

    def _target_levels(self) -> Iterator[tuple[str, int]]:
        now = self._clock.elapsed()
        targets = tuple(self.beliefs.book.by_id.values())
        yield 'targets', sum(is_serving(target, now) for target in targets)
        silent = sum(target.has_silent_keeper(now) for target in targets)
        yield 'keepers_silent', silent
        in_flight = sum(len(target.in_flight) for target in targets)
        yield 'requests_in_flight', in_flight

    def sweep(self) -> None:
        """Forget targets that ended and connections that idled out."""
        now = self._clock.elapsed()
        for target_id, target in tuple(self.beliefs.book.by_id.items()):
            removed_at = target.removed_at
            if removed_at is None or now - removed_at < REMOVED_KEPT:
                continue
            if not target.in_flight:
                self.beliefs.book.forget(target_id)
                self.beliefs.prompts.forget(target_id)
                self._uninformed_since.pop(target_id, None)
        hosts = {
            target.entry.address[0]
            for target in self.beliefs.book.by_id.values()
        }
        for host in self._keepers_by_host.keys() - hosts:
            self._keepers_by_host.pop(host).close()

    def _carry_out(self, move: Move) -> None:
        try:
            self.loader.carry_out(move)
        finally:
            self._moving.discard(move.target_id)

    def _engine_of(self, service: str) -> EngineTerms | None:
        if self._catalog is None:
            return None
        known = self._catalog.services_by_name.get(service)
        return known.engine if known else None

    def _engine_notices(self) -> dict[str, EngineNotice]:
        """Return what keepers must know, by service."""
        if self._catalog is None:
            return {}
        now = self._clock.elapsed()
        serving = Counter(
            target.entry.service
            for target in self.beliefs.book.by_id.values()
            if is_serving(target, now)
        )
        return {
            service.name: _engine_notice(
                self._catalog.version,
                service.engine,
                serving[service.name],
            )
            for service in self._catalog.services_by_name.values()
            if service.engine is not None
        }

    def _follow_keeper(self, target: Target) -> None:
        engine = self._engine_of(target.entry.service)
        host = target.entry.address[0]
        if engine is None or host in self._keepers_by_host:
            return
        link = PeerLink(
            f'{host}:{self.setup.keeper_port}',
            f'{self.setup.instance}>{host}',
            self._hear_keeper,
        )
        self._keepers_by_host[host] = link

    def _keeper_link(self, target_id: str) -> PeerLink | None:
        target = self.beliefs.book.by_id.get(target_id)
        if target is None:
            return None
        return self._keepers_by_host.get(target.entry.address[0])

    def _hear_keeper(self, message: AnyMessage) -> None:
        if isinstance(message, KeeperLoad):
            self._hear_load(message)
        if not isinstance(message, KeeperReport):
            return
        target = self.beliefs.book.by_id.get(message.target_id)
        if target is None:
            target = self._introduce(message)
        if target is None:
            return
        now = self._clock.elapsed()
        before = target.models
        target.report = _decode_report(message, now)
        target.heard_at = now
        for model in before - target.report.models:
            self.beliefs.prompts.forget_model(message.target_id, model)
        self.loader.note_change()

    def _hear_load(self, message: KeeperLoad) -> None:
        target = self.beliefs.book.by_id.get(message.target_id)
        if target is None or target.report is None:
            return
        if target.report.revision != message.revision:
            # Its last report was lost on the way.
            hello = KeeperHello(self.setup.instance, wants_report=True)
            self._tell_keeper(target, hello)
            return
        now = self._clock.elapsed()
        target.heard_at = now
        adapters = message.adapters
        target.report = replace(
            target.report,
            received_at=now,
            adapters=target.report.adapters
            if adapters is None
            else frozenset(adapters),
            unstarted=message.unstarted,
            active=message.active,
            used_tokens=message.used_tokens,
        )

    def _introduce(self, message: KeeperReport) -> Target | None:
        """Take in a target by its keeper's word, ahead of the registry.

        An engine that restarted has a new id at its old address.
        """
        engine = self._engine_of(message.service)
        if engine is None or message.target_id in self._removed_ids:
            return None
        address = parse_address(message.address)
        for other in tuple(self.beliefs.book.by_id.values()):
            if other.entry.address == address:
                self.remove_target(other.entry.target_id)
        self.put_target(
            TargetEntry(
                target_id=message.target_id,
                service=message.service,
                address=address,
                data_centre=message.data_centre,
                slots=engine.slots,
                models=frozenset(message.models),
                started_ms=message.started_ms,
            ),
        )
        return self.beliefs.book.by_id[message.target_id]

    def _hear(self, sender: bytes, message: AnyMessage) -> None:
        if isinstance(message, UsageNotice):
            self._hear_usage(message)
        elif isinstance(message, ReadAsk) and self.on_read_ask is not None:
            self.on_read_ask(sender, message)

    def _hear_usage(self, notice: UsageNotice) -> None:
        usage = self.peers.read(notice)
        if usage is None:
            return
        workspaces = self._catalog.workspaces() if self._catalog else {}
        self.allowance.hear(
            notice.instance,
            usage.spent,
            usage.left,
            workspaces,
            notice.leaving,
        )
        self.demand.hear(notice.instance, usage)


def _engine_notice(
    version: int,
    engine: EngineTerms,
    targets: int,
) -> EngineNotice:
    notice = EngineNotice(
        version=0,
        models=tuple(
            ModelSize(model.name, model.weights_mb)
            for model in engine.models_by_name.values()
        ),
        weights_mb=engine.weights_mb,
        adapter_places=engine.adapter_places,
        store_loads_per_second=engine.store_loads_per_second,
        targets=targets,
    )
    digest = blake2b(encode_message(notice), digest_size=TERMS_BYTES)
    return msgspec.structs.replace(
        notice,
        version=version,
        terms=digest.hexdigest(),
    )


def _decode_report(message: KeeperReport, now: timedelta) -> TargetReport:
    return TargetReport(
        target_id=message.target_id,
        received_at=now,
        models=frozenset(message.models),
        adapters=frozenset(message.adapters),
        pending=frozenset(message.pending),
        on_disk=frozenset(message.on_disk),
        in_memory=frozenset(message.in_memory),
        unstarted=message.unstarted,
        active=message.active,
        used_tokens=message.used_tokens,
        total_tokens=message.total_tokens,
        is_ordering=message.is_ordering,
        ordered_at=now - timedelta(milliseconds=message.ordered_ms),
        revision=message.revision,
        store_loads_ready=message.store_loads_ready,
        terms=message.terms,
    )
