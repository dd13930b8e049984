"""The gateway: its components and the dispatch of peer messages."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec

from verbenamux_admission.escrow import Limits
from verbenamux_config.entities import Target
from verbenamux_config.state import (
    Configuration,
    affects_agents,
    encode_snapshot,
    view_for_target,
)
from verbenamux_contracts import messages as msg
from verbenamux_contracts.clock import Clock, milliseconds, to_milliseconds
from verbenamux_contracts.ids import InstanceId
from verbenamux_gateway.claims import ClaimManager
from verbenamux_gateway.delivery_context import DeliveryContext
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.following import ConfigurationFollower
from verbenamux_gateway.peering import PeerTable, PeerView
from verbenamux_gateway.planning import PlacementPlanner
from verbenamux_gateway.rates import EscrowGate, RateGate
from verbenamux_gateway.settings import GatewaySettings
from verbenamux_gateway.shares import ShareManager
from verbenamux_runtime.logs import DecisionLog
from verbenamux_runtime.metrics import Metrics
from verbenamux_runtime.peers import PeerLink, PeerServer, Traffic


@dataclass(slots=True)
class Gateway:
    """The components and state of one gateway process."""

    settings: GatewaySettings
    instance: InstanceId
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    fleet: Fleet
    peers: PeerTable
    follower: ConfigurationFollower
    gate: RateGate
    escrow_gate: EscrowGate
    shares: ShareManager
    claims: ClaimManager
    planner: PlacementPlanner
    delivery_context: DeliveryContext
    server: PeerServer
    agents_version: int = 0
    applied: Configuration = field(default_factory=Configuration)
    leaving: bool = False
    in_flight: int = 0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self.follower.configuration

    @property
    def ready(self) -> bool:
        """Whether this gateway should get requests from callers."""
        can_serve = self.configuration.version > 0 and self.gate.ready
        return can_serve and not self.leaving

    def hello(
        self,
        asked_ms: int = 0,
        *,
        reply_wanted: bool = False,
    ) -> msg.Hello:
        """Return a hello with the current state of this gateway."""
        configuration = self.configuration
        return msg.Hello(
            sender=self.settings.name,
            instance=self.instance,
            version=configuration.version,
            digest=configuration.digest,
            holder=self.escrow_gate.escrow.holder,
            data_centre=self.settings.data_centre,
            withdrawn=len(configuration.withdrawn),
            reply_wanted=reply_wanted,
            asked_ms=asked_ms,
            leaving=self.leaving,
        )

    def agent_hello(self) -> msg.Hello:
        """Return a hello with the version that agents should have.

        It leaves out versions that change nothing for agents.
        """
        return msgspec.structs.replace(
            self.hello(),
            version=self.agents_version,
        )

    def send_hello(self) -> None:
        """Send hellos to the agents and gateways whose turn it is."""
        self.fleet.send_hello_if_due(self.agent_hello())
        asked_ms = to_milliseconds(self.clock.elapsed())
        self.peers.send_hello(self.hello(asked_ms, reply_wanted=True))

    def is_fresh(self) -> bool:
        """Return whether the configuration is recent enough to act on.

        A gateway without known peers keeps serving through a log
        outage, since no other gateway can have a newer configuration.
        """
        confirmed_or_read_at = self.follower.confirmed_at
        if not self.peers.by_name:
            confirmed_or_read_at = self.follower.last_read_at
        if confirmed_or_read_at is None:
            return False
        return (
            self.clock.elapsed() - confirmed_or_read_at
            < self.settings.stale_after
        )

    def followed_targets(self) -> Iterator[Target]:
        """Yield the targets in the followed data centres."""
        followed_centres = self.settings.follow
        for target in self.configuration.targets_by_name.values():
            if not followed_centres or target.data_centre in followed_centres:
                yield target

    def wait_fresh(self, until: timedelta) -> bool:
        """Wait until the configuration is fresh; return whether it is."""
        while not self.is_fresh():
            remaining = until - self.clock.elapsed()
            if remaining <= timedelta():
                return False
            self.follower.refreshed.wait(remaining.total_seconds())
        return True

    def apply(self, configuration: Configuration) -> None:
        """Apply a configuration that has just come into force.

        Agents are notified at once if it changes what they need.
        """
        before = self.applied
        self.applied = configuration
        if configuration.targets_by_name is not before.targets_by_name:
            self.fleet.follow(self.followed_targets())
        if affects_agents(before, configuration):
            self.agents_version = configuration.version
            self.fleet.send_hello(self.agent_hello())
        self.peers.send_hello(self.hello())

    def traffic(self) -> Traffic:
        """Return the total traffic of all links and the own socket."""
        total = Traffic()
        links = [*self.fleet.links(), *self.peers.links()]
        for traffic in (self.server.traffic, *(link.traffic for link in links)):
            total.add(traffic)
        return total

    def limits_of(self, workspace: str) -> Limits | None:
        """Return a workspace's rate and burst."""
        declared = self.configuration.workspaces_by_name.get(workspace)
        if declared is None:
            return None
        return Limits(
            declared.rate_tokens_per_second,
            declared.burst_tokens,
        )

    def answer_configuration(
        self,
        link: PeerLink,
        query: msg.ConfigurationAsk,
    ) -> None:
        """Send an agent its part of the configuration."""
        link.send(self.configuration_reply(query))

    def receive_peer_message(
        self,
        sender: bytes,
        message: msg.AnyMessage,
    ) -> None:
        """Handle a message that a peer sent to this gateway's socket."""
        handler = HANDLER_BY_MESSAGE.get(type(message))
        if handler is None:
            self.log.write('unexpected', kind=type(message).__name__)
            return
        reply = handler(self, message)
        if reply is not None:
            self.server.send(sender, reply)

    def receive_reply(self, peer: PeerView, message: msg.AnyMessage) -> None:
        """Handle a message that a peer sent back over the link to it."""
        if isinstance(message, msg.Hello):
            if self.process_hello(message):
                self.follower.confirm(milliseconds(message.asked_ms))
        elif isinstance(message, msg.ConfigurationReply):
            self.follower.adopt(message.snapshot)
        elif isinstance(message, msg.WithdrawalDone):
            self.metrics.count('verbenamux_withdrawals_confirmed')

    def configuration_reply(
        self,
        query: msg.ConfigurationAsk,
    ) -> msg.ConfigurationReply:
        """Return the configuration, or only the part that one agent needs."""
        configuration = self.configuration
        if query.target:
            configuration = view_for_target(configuration, query.target)
        return msg.ConfigurationReply(encode_snapshot(configuration))

    def process_hello(self, hello: msg.Hello) -> bool:
        """Record a hello; return whether the peer has nothing newer.

        If it has, it is asked for its configuration.
        """
        self.peers.record_hello(hello)
        own = self.configuration
        is_peer_ahead = hello.version > own.version
        if not is_peer_ahead and hello.withdrawn <= len(own.withdrawn):
            return True
        peer = self.peers.by_name.get(hello.sender)
        if peer is not None:
            peer.link.send(msg.ConfigurationAsk(own.version))
        return False


def _on_hello(gateway: Gateway, hello: msg.Hello) -> msg.Message | None:
    gateway.process_hello(hello)
    if not hello.reply_wanted:
        return None
    return gateway.hello(hello.asked_ms)


def _on_configuration_ask(
    gateway: Gateway,
    query: msg.ConfigurationAsk,
) -> msg.Message:
    return gateway.configuration_reply(query)


def _on_withdrawal(
    gateway: Gateway,
    withdrawal: msg.Withdrawal,
) -> msg.Message:
    withdrawn_before = gateway.configuration.withdrawn
    gateway.follower.withdraw(withdrawal.key_hashes)
    if gateway.configuration.withdrawn != withdrawn_before:
        gateway.peers.broadcast(withdrawal)
    return msg.WithdrawalDone(
        gateway.settings.name,
        len(gateway.configuration.withdrawn),
    )


def _on_tokens_ask(gateway: Gateway, query: msg.TokensAsk) -> msg.Message:
    return gateway.escrow_gate.grant_loan(query)


def _on_demand(gateway: Gateway, report: msg.DemandReport) -> None:
    gateway.planner.receive_report(report)


HANDLER_BY_MESSAGE: dict[
    type,
    Callable[[Gateway, Any], msg.Message | None],
] = {
    msg.Hello: _on_hello,
    msg.ConfigurationAsk: _on_configuration_ask,
    msg.Withdrawal: _on_withdrawal,
    msg.TokensAsk: _on_tokens_ask,
    msg.DemandReport: _on_demand,
}
