"""The keepers beside engines: links, greetings, notices and reports."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from hashlib import blake2b
from itertools import count

import msgspec

from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import (
    AnyMessage,
    EngineNotice,
    KeeperHello,
    KeeperLoad,
    KeeperReport,
    Message,
    ModelSize,
    encode_message,
)
from verbenamux_contracts.report_timing import GREETING_INTERVAL
from verbenamux_http.client import parse_address
from verbenamux_relay.catalog import Catalog, EngineTerms, Service
from verbenamux_relay.target_selection import is_serving
from verbenamux_relay.targets import (
    Target,
    TargetEntry,
    TargetReport,
    TargetTable,
)
from verbenamux_runtime.peers import PeerLink

# Unresponsive keepers are greeted at this interval, reporting ones every
# GREETING_ROUNDS intervals.
KEEPER_GREETING_INTERVAL = timedelta(milliseconds=250)
GREETING_ROUNDS = GREETING_INTERVAL // KEEPER_GREETING_INTERVAL
# A gateway informs a keeper after this delay for each gateway before it.
INFORM_DELAY = timedelta(seconds=1)
# A keeper that was informed is not informed again before this time.
INFORM_INTERVAL = timedelta(seconds=1)
# Length of the digest that identifies the terms of an engine.
TERMS_DIGEST_BYTES = 6


class Keepers:
    """Links to the keepers of all engines, by the engine's host."""

    def __init__(
        self,
        instance: InstanceId,
        port: int,
        target_table: TargetTable,
        elapsed: Callable[[], timedelta],
        *,
        rank: Callable[[], int],
        on_message: Callable[[AnyMessage], None],
    ) -> None:
        """Start without links to keepers.

        `instance` identifies this run of the gateway, `port` is where keepers
        listen; `on_message` receives their messages. `rank` returns how many
        gateways come before this one.
        """
        self._instance = instance
        self._port = port
        self._target_table = target_table
        self._elapsed = elapsed
        self._rank = rank
        self._handle_message = on_message
        self._catalog: Catalog | None = None
        self._links_by_host: dict[str, PeerLink] = {}
        self._uninformed_since: dict[str, timedelta] = {}
        self._informed_at: dict[str, timedelta] = {}
        self._notice_by_service: dict[str, EngineNotice] = {}
        self._rounds = count()

    def adopt(self, catalog: Catalog) -> None:
        """Adopt a configuration and link the keepers of its engines."""
        self._catalog = catalog
        self._notice_by_service.clear()
        for target in tuple(self._target_table.by_id.values()):
            self.follow(target)

    def follow(self, target: Target) -> None:
        """Keep a link to the keeper beside an engine."""
        host = target.entry.address[0]
        engine = (
            self._catalog.engine_of(target.entry.service)
            if self._catalog
            else None
        )
        if engine is not None and host not in self._links_by_host:
            self._links_by_host[host] = PeerLink(
                f'{host}:{self._port}',
                f'{self._instance}>{host}',
                self._handle_message,
            )

    def link_of(self, target_id: str) -> PeerLink | None:
        """Return the link to the keeper of a target."""
        target = self._target_table.by_id.get(target_id)
        if target is None:
            return None
        return self._links_by_host.get(target.entry.address[0])

    def sweep(self) -> None:
        """Close the links to hosts that no longer have a target."""
        targets = self._target_table.by_id
        hosts = {target.entry.address[0] for target in targets.values()}
        for host in self._links_by_host.keys() - hosts:
            self._links_by_host.pop(host).close()
        for target_id in self._uninformed_since.keys() - targets.keys():
            self._forget_uninformed(target_id)

    def notify(self) -> None:
        """Greet keepers, and send them the limits of their engines.

        A keeper that restarted knows neither, so an unresponsive one is greeted
        with each call.
        """
        is_due = next(self._rounds) % GREETING_ROUNDS == 0
        notice_by_service = self._notices()
        now = self._elapsed()
        for target in tuple(self._target_table.by_id.values()):
            is_unresponsive = (
                not target.report or target.has_unresponsive_keeper(now)
            )
            if is_due or is_unresponsive:
                self._greet(target, wants_report=target.report is None)
            notice = notice_by_service.get(target.entry.service)
            if notice is not None:
                self._inform(target, notice, now)

    def with_changes(self, message: KeeperLoad) -> TargetReport | None:
        """Return the current report with changes applied.

        None if a change before this one was lost: a whole report is requested
        then.
        """
        target = self._target_table.by_id.get(message.target_id)
        if target is None or target.report is None:
            return None
        if target.report.revision != message.follows:
            self._greet(target, wants_report=True)
            return None
        return _with_changes(target.report, message, self._elapsed())

    def _greet(self, target: Target, *, wants_report: bool) -> None:
        report = target.report
        hello = (
            KeeperHello(self._instance, wants_report)
            if report is None
            else KeeperHello(
                self._instance, wants_report, report.target_id, report.revision
            )
        )
        self._send(target, hello)

    def _inform(
        self,
        target: Target,
        notice: EngineNotice,
        now: timedelta,
    ) -> None:
        """Send a keeper the limits of its engine, if it lacks them.

        Load pattern: many gateways adopt configurations in quick succession,
        or all start at once. The first one informs keepers; each other one only
        if that had no effect.
        """
        target_id = target.entry.target_id
        if target.report is not None and target.report.terms == notice.terms:
            self._forget_uninformed(target_id)
            return
        since = self._uninformed_since.setdefault(target_id, now)
        next_at = max(
            since + INFORM_DELAY * self._rank(),
            self._informed_at.get(target_id, since - INFORM_INTERVAL)
            + INFORM_INTERVAL,
        )
        if now >= next_at and self._send(target, notice):
            self._informed_at[target_id] = now

    def _forget_uninformed(self, target_id: str) -> None:
        self._uninformed_since.pop(target_id, None)
        self._informed_at.pop(target_id, None)

    def _send(self, target: Target, message: Message) -> bool:
        link = self.link_of(target.entry.target_id)
        return link is not None and link.send(message)

    def _notices(self) -> dict[str, EngineNotice]:
        """Return the notice for keepers, by service."""
        if self._catalog is None:
            return {}
        now = self._elapsed()
        serving = Counter(
            target.entry.service
            for target in self._target_table.by_id.values()
            if is_serving(target, now)
        )
        for service in self._catalog.services_by_name.values():
            notice = self._notice_by_service.get(service.name)
            targets = serving[service.name]
            if service.engine is not None and (
                notice is None or notice.targets != targets
            ):
                self._notice_by_service[service.name] = _engine_notice(
                    self._catalog.version, service.engine, targets
                )
        return self._notice_by_service


def decode_report(message: KeeperReport, now: timedelta) -> TargetReport:
    """Return a keeper's report as a gateway stores it."""
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
        keeper=message.keeper,
        interval=timedelta(milliseconds=message.interval_ms),
    )


def reported_entry(
    message: KeeperReport, service: Service
) -> TargetEntry | None:
    """Return the entry of a target that the registry does not list yet.

    None if the service has no engines. The target has just started, and counts
    as cold until its own entry tells how long it is.
    """
    if service.engine is None:
        return None
    return TargetEntry(
        target_id=message.target_id,
        service=message.service,
        address=parse_address(message.address),
        data_centre=message.data_centre,
        slots=service.engine.slots,
        models=frozenset(message.models),
        started_ms=message.started_ms,
        cold_left=service.cold_start,
    )


def _with_changes(
    report: TargetReport,
    message: KeeperLoad,
    now: timedelta,
) -> TargetReport:
    ordered_at = report.ordered_at
    if message.revision != message.follows:
        ordered_at = now - timedelta(milliseconds=message.ordered_ms)
    return replace(
        report,
        received_at=now,
        revision=message.revision,
        unstarted=message.unstarted,
        active=message.active,
        used_tokens=message.used_tokens,
        interval=timedelta(milliseconds=message.interval_ms),
        ordered_at=ordered_at,
        adapters=_updated_names(message.adapters, report.adapters),
        models=_updated_names(message.models, report.models),
        pending=_updated_names(message.pending, report.pending),
        on_disk=_updated_names(message.on_disk, report.on_disk),
        in_memory=_updated_names(message.in_memory, report.in_memory),
        terms=report.terms if message.terms is None else message.terms,
        is_ordering=_updated_flag(
            message.is_ordering, current=report.is_ordering
        ),
        store_loads_ready=_updated_flag(
            message.store_loads_ready,
            current=report.store_loads_ready,
        ),
    )


def _updated_names(
    names: tuple[str, ...] | None,
    current: frozenset[str],
) -> frozenset[str]:
    return current if names is None else frozenset(names)


def _updated_flag(flag: bool | None, *, current: bool) -> bool:
    return current if flag is None else flag


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
    digest = blake2b(encode_message(notice), digest_size=TERMS_DIGEST_BYTES)
    return msgspec.structs.replace(
        notice,
        version=version,
        terms=digest.hexdigest(),
    )
