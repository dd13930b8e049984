"""Construction of an agent from its components."""

from collections.abc import Callable

from verbenamux_agent.agent import Agent
from verbenamux_agent.attempt_queue import AttemptQueue, TargetSpeed
from verbenamux_agent.attempts import AttemptTable
from verbenamux_agent.execution import Executor
from verbenamux_agent.holdings import Holdings
from verbenamux_agent.prefixes import PrefixFollower
from verbenamux_agent.settings import AgentSettings
from verbenamux_agent.subscribers import SubscriberTable
from verbenamux_agent.target import TargetClient
from verbenamux_agent.witness import Witness
from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.ids import new_instance_id
from verbenamux_contracts.messages import AnyMessage, Dispatch, Message, Refused
from verbenamux_runtime.logs import DecisionLog
from verbenamux_runtime.peers import PeerServer

SPARE_CONNECTIONS = 8


def build_agent(settings: AgentSettings) -> Agent:
    """Return an agent with all its components, not yet running."""
    clock = SystemClock()
    instance = new_instance_id(settings.name)
    log = DecisionLog('agent', instance, clock)
    client = TargetClient(
        settings.target.address,
        settings.target.slots + SPARE_CONNECTIONS,
    )
    agents: list[Agent] = []

    def handle(gateway: bytes, message: AnyMessage) -> None:
        agents[0].handle(gateway, message)

    def prepare(dispatch: Dispatch) -> Refused | None:
        return agents[0].prepare(dispatch)

    server = PeerServer(settings.address, handle)
    work = _build_attempt_queue(settings, instance, clock, server.send, prepare)
    work.executor = Executor(client, settings.target.kind, clock, work.emit)
    agent = Agent(
        settings=settings,
        instance=instance,
        clock=clock,
        log=log,
        work=work,
        holdings=Holdings(
            client,
            clock,
            settings.target.settle,
            settings.limits.adapter_loads,
            log.write,
        ),
        prefixes=PrefixFollower(client),
        witness=Witness(
            settings.known_as or settings.address,
            instance,
            settings.lease,
            clock,
        ),
        subscribers=SubscriberTable(clock, server.send),
        server=server,
    )
    agents.append(agent)
    return agent


def _build_attempt_queue(
    settings: AgentSettings,
    instance: str,
    clock: SystemClock,
    send: Callable[[bytes, Message], bool],
    prepare: Callable[[Dispatch], Refused | None],
) -> AttemptQueue:
    limits = settings.limits
    return AttemptQueue(
        instance,
        clock,
        AttemptTable(limits.answer_kept, limits.answers_size),
        TargetSpeed(settings.target.slots),
        limits.queue_requests,
        send,
        prepare,
    )
