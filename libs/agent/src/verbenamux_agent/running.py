"""Running an agent: its loops, and how it leaves."""

from datetime import timedelta

import gevent

from verbenamux_agent.agent import Agent
from verbenamux_contracts.log import Log
from verbenamux_platform.store import open_store
from verbenamux_runtime.tasks import every, keep_running, stop_on_signal

HOUSEKEEPING = timedelta(seconds=1)
DRAIN_STEP = timedelta(milliseconds=50)
DRAIN_MOST = timedelta(minutes=10)
LAST_MESSAGES = timedelta(milliseconds=500)


def run_agent(agent: Agent) -> None:
    """Serve until SIGTERM, then leave without cutting off an attempt."""
    stop = stop_on_signal()
    log = open_store(agent.settings.log, agent.clock.elapsed)
    gevent.spawn(_announce, agent, log)

    def report_error(error: Exception) -> None:
        agent.log.write('loop_error', cause=repr(error))

    every(agent.settings.report, agent.watch_target, report_error)
    every(agent.settings.heartbeat, agent.publish, report_error)
    every(HOUSEKEEPING, agent.keep_house, report_error)
    keep_running(lambda: _publish_changes(agent))
    keep_running(agent.server.run)
    agent.log.write('started', address=agent.settings.address)
    stop.wait()
    _drain(agent)


def _announce(agent: Agent, log: Log) -> None:
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
