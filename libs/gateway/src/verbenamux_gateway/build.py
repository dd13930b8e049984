"""Building a gateway from its components."""

from random import Random

from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_admission.lease import HolderLease
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.log import Log
from verbenamux_contracts.messages import AnyMessage, ConfigurationAsk
from verbenamux_gateway.claims import ClaimManager
from verbenamux_gateway.delivery_context import DeliveryContext
from verbenamux_gateway.fleet import Fleet
from verbenamux_gateway.following import ConfigurationFollower
from verbenamux_gateway.gateway import Gateway
from verbenamux_gateway.peering import PeerTable, PeerView
from verbenamux_gateway.planning import PlacementPlanner
from verbenamux_gateway.rates import EscrowGate, FixedGate, RateGate, SpendMeter
from verbenamux_gateway.settings import GatewaySettings, RatePolicy
from verbenamux_gateway.shares import ShareManager
from verbenamux_platform.store import open_store
from verbenamux_routing.breaker import BREAKER_BY_POLICY
from verbenamux_routing.choose import make_chooser
from verbenamux_routing.retry import RetryBudget
from verbenamux_runtime.logs import DecisionLog
from verbenamux_runtime.metrics import Metrics
from verbenamux_runtime.peers import PeerLink, PeerServer


def build_gateway(
    settings: GatewaySettings,
    instance: InstanceId,
    clock: Clock,
    log: DecisionLog,
) -> Gateway:
    """Return a gateway with all its components, not yet running."""

    def on_configuration_ask(link: PeerLink, query: ConfigurationAsk) -> None:
        gateway.answer_configuration(link, query)

    def on_change(configuration: Configuration) -> None:
        gateway.apply(configuration)

    def receive_reply(peer: PeerView, message: AnyMessage) -> None:
        gateway.receive_reply(peer, message)

    def receive_peer_message(sender: bytes, message: AnyMessage) -> None:
        gateway.receive_peer_message(sender, message)

    def limits_of(workspace: str) -> Limits | None:
        return gateway.limits_of(workspace)

    store = open_store(settings.platform.log, clock.elapsed)
    fleet = Fleet(
        instance,
        clock,
        on_configuration_ask,
        BREAKER_BY_POLICY[settings.breaker],
    )
    peers = PeerTable(settings.name, instance, clock, receive_reply)
    escrow = Escrow('', clock, limits_of, HolderLease())
    escrow_gate = EscrowGate(
        escrow,
        peers,
        clock,
        limits_of,
        SpendMeter(clock),
    )
    gateway = Gateway(
        settings=settings,
        instance=instance,
        clock=clock,
        log=log,
        metrics=Metrics(),
        fleet=fleet,
        peers=peers,
        follower=ConfigurationFollower(store, clock, on_change, log.write),
        gate=_choose_gate(settings, escrow_gate),
        escrow_gate=escrow_gate,
        shares=_build_shares(
            settings,
            instance,
            store,
            fleet,
            escrow_gate,
            log,
        ),
        claims=ClaimManager(store, clock, log.write),
        planner=PlacementPlanner(
            settings.name,
            settings.planning,
            clock,
            fleet,
            peers,
            log.write,
        ),
        delivery_context=_build_delivery_context(settings, fleet, clock, log),
        server=PeerServer(settings.peer_address, receive_peer_message),
    )
    return gateway


def _choose_gate(
    settings: GatewaySettings,
    escrow_gate: EscrowGate,
) -> RateGate:
    if settings.rates.policy is RatePolicy.ESCROW:
        return escrow_gate
    return FixedGate(
        settings.rates.gateways,
        escrow_gate.clock,
        escrow_gate.limits_of,
    )


def _build_shares(
    settings: GatewaySettings,
    instance: InstanceId,
    store: Log,
    fleet: Fleet,
    escrow_gate: EscrowGate,
    log: DecisionLog,
) -> ShareManager:
    return ShareManager(
        name=settings.name,
        instance=instance,
        clock=escrow_gate.clock,
        log=store,
        fleet=fleet,
        peers=escrow_gate.peers,
        gate=escrow_gate,
        lease_time=settings.rates.lease,
        log_decision=log.write,
    )


def _build_delivery_context(
    settings: GatewaySettings,
    fleet: Fleet,
    clock: Clock,
    log: DecisionLog,
) -> DeliveryContext:
    # The seed makes a run reproducible; the name makes gateways differ.
    random = Random(f'{settings.seed}/{settings.name}')
    return DeliveryContext(
        fleet=fleet,
        clock=clock,
        choose=make_chooser(settings.routing, settings.data_centre, random),
        budget=RetryBudget(),
        log_decision=log.write,
    )
