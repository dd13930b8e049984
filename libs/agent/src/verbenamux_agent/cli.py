"""The command line of the agent."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import gevent
import typer
from verbenamux_contracts.clock import SystemClock
from verbenamux_contracts.ids import new_instance_id
from verbenamux_contracts.messages import AnyMessage, Dispatch, Message, Refused
from verbenamux_platform.http import parse_endpoint
from verbenamux_platform.log import LogClient
from verbenamux_runtime.logs import DecisionLog, configure_logs
from verbenamux_runtime.peers import PeerServer
from verbenamux_runtime.program import (
    every,
    load_or_exit,
    print_version,
    schema_printer,
    stop_on_signal,
)

from verbenamux_agent.agent import Agent
from verbenamux_agent.attempts import AttemptTable
from verbenamux_agent.execution import Executor
from verbenamux_agent.holdings import Holdings
from verbenamux_agent.prefixes import PrefixFollower
from verbenamux_agent.settings import AgentSettings
from verbenamux_agent.subscribers import SubscriberTable
from verbenamux_agent.target import TargetClient
from verbenamux_agent.witness import Witness
from verbenamux_agent.worklist import Pace, WorkList

HOUSEKEEPING = timedelta(seconds=1)
DRAIN_STEP = timedelta(milliseconds=50)
DRAIN_MOST = timedelta(minutes=10)
LAST_MESSAGES = timedelta(milliseconds=500)
SPARE_CONNECTIONS = 8

app = typer.Typer(
    help='The process beside a target: sends it all its work and orders.',
)


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help='JSON settings file')],
    check_settings: Annotated[
        bool,
        typer.Option('--check-settings', help='Check the file and exit'),
    ] = False,
    schema: Annotated[
        bool,
        typer.Option(
            '--schema',
            callback=schema_printer(AgentSettings),
            is_eager=True,
            help='Print the JSON schema of the settings and exit',
        ),
    ] = False,
    version: Annotated[
        bool,
        typer.Option('--version', callback=print_version, is_eager=True),
    ] = False,
) -> None:
    """Run the agent until SIGTERM.

    Example: verbenamux-agent --settings agent.json
    """
    checked = load_or_exit(settings, AgentSettings)
    if check_settings:
        typer.echo('settings are valid')
        return
    configure_logs()
    _serve(build_agent(checked))


def main() -> None:
    """Run the console script."""
    app()


def build_agent(settings: AgentSettings) -> Agent:
    """Return an agent with all its parts, not yet running."""
    clock = SystemClock()
    instance = new_instance_id(settings.name)
    log = DecisionLog('agent', instance, clock)
    client = TargetClient(
        settings.target.address,
        settings.target.slots + SPARE_CONNECTIONS,
    )
    parts: list[Agent] = []

    def handle(gateway: bytes, message: AnyMessage) -> None:
        parts[0].handle(gateway, message)

    def prepare(dispatch: Dispatch) -> Refused | None:
        return parts[0].prepare(dispatch)

    server = PeerServer(settings.address, handle)
    work = _build_work(settings, instance, clock, server.send, prepare)
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
    parts.append(agent)
    return agent


def _build_work(
    settings: AgentSettings,
    instance: str,
    clock: SystemClock,
    send: Callable[[bytes, Message], bool],
    prepare: Callable[[Dispatch], Refused | None],
) -> WorkList:
    limits = settings.limits
    return WorkList(
        instance,
        clock,
        AttemptTable(limits.answer_kept, limits.answers_size),
        Pace(settings.target.slots),
        limits.queue_requests,
        send,
        prepare,
    )


def _serve(agent: Agent) -> None:
    stop = stop_on_signal()
    log = LogClient(parse_endpoint(agent.settings.log))
    gevent.spawn(_announce, agent, log)

    def report_error(error: Exception) -> None:
        agent.log.write('loop_error', cause=repr(error))

    every(agent.settings.report, agent.watch_target, report_error)
    every(agent.settings.heartbeat, agent.publish, report_error)
    every(HOUSEKEEPING, agent.keep_house, report_error)
    gevent.spawn(_publish_changes, agent)
    gevent.spawn(agent.server.run)
    agent.log.write('started', address=agent.settings.address)
    stop.wait()
    _drain(agent)


def _announce(agent: Agent, log: LogClient) -> None:
    epoch = agent.witness.announce(log)
    agent.holdings.fence.epoch = epoch
    agent.log.write('epoch', epoch=epoch)


def _publish_changes(agent: Agent) -> None:
    while True:
        agent.holdings.changed.wait()
        agent.holdings.changed.clear()
        agent.publish_change()


def _drain(agent: Agent) -> None:
    agent.leave()
    agent.log.write('draining', unfinished=len(agent.work.table.unfinished()))
    left = DRAIN_MOST
    while agent.work.table.unfinished() and left > timedelta():
        agent.clock.sleep(DRAIN_STEP)
        left -= DRAIN_STEP
    agent.clock.sleep(LAST_MESSAGES)
    agent.server.close()
    agent.log.write('stopped')
