"""The agent: its components, and the handlers of its messages."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import gevent

from verbenamux_agent.attempt_queue import AttemptQueue
from verbenamux_agent.holdings import Holdings
from verbenamux_agent.prefixes import PrefixFollower, Progress
from verbenamux_agent.settings import AgentSettings
from verbenamux_agent.subscribers import SubscriberTable
from verbenamux_agent.witness import Witness
from verbenamux_config.entities import TargetKind
from verbenamux_config.state import (
    Configuration,
    SnapshotDecodeError,
    decode_snapshot,
    view_for_target,
)
from verbenamux_contracts import messages as msg
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.errors import ErrorCode
from verbenamux_contracts.ids import InstanceId, new_attempt_id
from verbenamux_runtime.logs import DecisionLog
from verbenamux_runtime.peers import PeerLink, PeerServer

KEEP_REQUEST_TIMEOUT = timedelta(seconds=1)


@dataclass(slots=True)
class Agent:
    """The only sender of orders and attempts to its target."""

    settings: AgentSettings
    instance: InstanceId
    clock: Clock
    log: DecisionLog
    work: AttemptQueue
    holdings: Holdings
    prefixes: PrefixFollower
    witness: Witness
    subscribers: SubscriberTable
    server: PeerServer
    configuration: Configuration = field(default_factory=Configuration)
    link_by_address: dict[str, PeerLink] = field(default_factory=dict)
    published_target_up: bool = True

    @property
    def is_engine(self) -> bool:
        """Whether the target is a model engine."""
        return self.settings.target.kind is TargetKind.ENGINE

    @property
    def target_up(self) -> bool:
        """Whether the target reports; services do not report."""
        return not self.is_engine or self.holdings.target_up

    def heartbeat(self, published: Progress) -> msg.Heartbeat:
        """Return the heartbeat for a gateway with that progress."""
        report = self.holdings.report
        ledger = self.holdings.ledger
        return msg.Heartbeat(
            target=self.settings.name,
            instance=self.instance,
            version=self.configuration.version,
            leaving=self.work.leaving,
            target_up=self.target_up,
            resident=tuple(
                msg.ResidentModel(row.name, row.version)
                for row in self.holdings.ready_models()
            ),
            adapters=self.holdings.ready_adapters(),
            slots=self.work.speed.slots,
            running=self.work.running,
            queued_tokens=self.work.queued_tokens + self.work.running_tokens,
            free_mb=0 if ledger is None else ledger.free_mb,
            prefill_tokens_per_second=(
                0 if report is None else report.prefill_tokens_per_second
            ),
            decode_ms=self.work.speed.decode_ms,
            prefixes=self.prefixes.stored_since(published),
            prefixes_trusted=self.prefixes.has_no_gap_since(published),
        )

    def publish(self) -> None:
        """Send heartbeats that are due.

        All gateways get one when the target starts or stops reporting.
        """
        target_up = self.target_up
        changed = target_up != self.published_target_up
        self.published_target_up = target_up
        self.subscribers.publish(
            self.heartbeat,
            self.prefixes.progress,
            changed=changed,
        )

    def publish_change(self) -> None:
        """Send heartbeats to all subscribed gateways."""
        self.subscribers.publish(
            self.heartbeat,
            self.prefixes.progress,
            changed=True,
        )

    def poll_target(self) -> None:
        """Read the target's report and update the slots and decode time."""
        if not self.is_engine:
            return
        self.holdings.read_report()
        report = self.holdings.report
        if report is not None:
            self.work.speed.slots = report.slots
            self.work.speed.decode_ms = report.decode_ms
        self.prefixes.poll()

    def clean_up(self) -> None:
        """Evict old answers and cancel orphaned attempts."""
        self.work.table.evict_ended(self.clock.elapsed())
        self.work.cancel_orphans()
        self.work.forget_idle()

    def prepare(self, dispatch: msg.Dispatch) -> msg.Refused | None:
        """Load an attempt's adapter, or return why it cannot run."""
        if not dispatch.adapter:
            return None
        deadline = self.clock.elapsed() + timedelta(
            milliseconds=dispatch.budget_ms,
        )
        ready = self.holdings.ensure_adapter(
            dispatch.adapter,
            deadline,
            self.adapters_in_use,
        )
        if ready:
            return None
        return msg.Refused(
            dispatch.attempt_id,
            ErrorCode.NO_TARGET.value,
            f'adapter {dispatch.adapter} could not be loaded',
        )

    def adapters_in_use(self) -> set[str]:
        """Return the adapters that unfinished attempts use."""
        return {
            attempt.dispatch.adapter for attempt in self.work.table.unfinished()
        }

    def handle(self, gateway: bytes, message: msg.AnyMessage) -> None:
        """Dispatch a message; log types that agents do not handle."""
        handler = HANDLER_BY_MESSAGE.get(type(message))
        if handler is None:
            self.log.write('unexpected', kind=type(message).__name__)
            return
        handler(self, gateway, message)

    def start_draining(self) -> None:
        """Refuse new attempts and notify every gateway at once."""
        self.work.leaving = True
        self.publish_change()


def _on_hello(agent: Agent, gateway: bytes, hello: msg.Hello) -> None:
    agent.subscribers.record_hello(gateway, hello)
    if hello.version > agent.configuration.version:
        request = msg.ConfigurationAsk(
            agent.configuration.version,
            agent.settings.name,
        )
        agent.server.send(gateway, request)


def _on_configuration(
    agent: Agent,
    gateway: bytes,
    reply: msg.ConfigurationReply,
) -> None:
    try:
        configuration = decode_snapshot(reply.snapshot)
    except SnapshotDecodeError as error:
        agent.log.write('bad_snapshot', cause=str(error))
        return
    if configuration.version <= agent.configuration.version:
        return
    view = view_for_target(configuration, agent.settings.name)
    agent.configuration = view
    agent.holdings.configuration = view
    agent.log.write(
        'configuration',
        version=view.version,
        digest=view.digest,
    )


def _on_dispatch(agent: Agent, gateway: bytes, message: msg.Dispatch) -> None:
    agent.work.dispatch(gateway, message)


def _on_resume(agent: Agent, gateway: bytes, message: msg.Resume) -> None:
    agent.work.resume(gateway, message)


def _on_cancel(agent: Agent, gateway: bytes, message: msg.Cancel) -> None:
    agent.work.cancel(gateway, message)


def _on_place(agent: Agent, gateway: bytes, message: msg.PlaceModel) -> None:
    agent.holdings.place(message.model, message.version)


def _on_drop(agent: Agent, gateway: bytes, message: msg.DropModel) -> None:
    gevent.spawn(
        agent.holdings.drop,
        message.model,
        message.version,
        message.holders,
        lambda holder, model: _request_keep(agent, holder, model),
        lambda model: _is_idle(agent, model),
    )


def _on_keep_ask(agent: Agent, sender: bytes, message: msg.KeepAsk) -> None:
    granted = agent.holdings.consents_to_keep(message.model)
    reply = msg.KeepReply(message.ask_id, message.model, granted)
    agent.server.send(sender, reply)


def _on_lease(agent: Agent, holder: bytes, message: msg.LeaseAsk) -> None:
    agent.server.send(holder, agent.witness.promise(message))


def _on_consent(agent: Agent, sender: bytes, message: msg.ConsentAsk) -> None:
    agent.server.send(sender, agent.witness.consent(message))


def _on_drain(agent: Agent, sender: bytes, message: msg.Drain) -> None:
    agent.start_draining()


def _request_keep(agent: Agent, address: str, model: str) -> bool:
    link = agent.link_by_address.get(address)
    if link is None:
        link = PeerLink(address, agent.instance, _ignore_message)
        agent.link_by_address[address] = link
        gevent.sleep(KEEP_REQUEST_TIMEOUT.total_seconds() / 4)
    ask_id = new_attempt_id()
    request = msg.KeepAsk(ask_id, agent.settings.name, model)
    reply = link.ask(ask_id, request, KEEP_REQUEST_TIMEOUT)
    return isinstance(reply, msg.KeepReply) and reply.granted


def _is_idle(agent: Agent, model: str) -> bool:
    return not any(
        attempt.dispatch.model == model
        for attempt in agent.work.table.unfinished()
    )


def _ignore_message(message: msg.AnyMessage) -> None:
    """Ignore replies that arrive after their request timed out."""


HANDLER_BY_MESSAGE: dict[type, Callable[[Agent, bytes, Any], None]] = {
    msg.Hello: _on_hello,
    msg.ConfigurationReply: _on_configuration,
    msg.Dispatch: _on_dispatch,
    msg.Resume: _on_resume,
    msg.Cancel: _on_cancel,
    msg.PlaceModel: _on_place,
    msg.DropModel: _on_drop,
    msg.KeepAsk: _on_keep_ask,
    msg.LeaseAsk: _on_lease,
    msg.ConsentAsk: _on_consent,
    msg.Drain: _on_drain,
}
