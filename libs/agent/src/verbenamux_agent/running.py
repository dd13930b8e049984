"""The main loops of an agent, and its shutdown."""

from datetime import timedelta

import gevent

from verbenamux_agent.agent import Agent
from verbenamux_contracts.log import Log
from verbenamux_platform.store import open_store
from verbenamux_runtime.tasks import every, keep_running, stop_on_signal

CLEANUP_INTERVAL = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
DRAIN_TIMEOUT = timedelta(minutes=10)
SHUTDOWN_LINGER = timedelta(milliseconds=500)


def run_agent(agent: Agent) -> None:
    """Serve until SIGTERM, then drain without cutting off an attempt."""
    stop = stop_on_signal()
    log = open_store(agent.settings.log, agent.clock.elapsed)
    gevent.spawn(_record_start, agent, log)

    def report_error(error: Exception) -> None:
        agent.log.write('loop_error', cause=repr(error))

    every(agent.settings.report, agent.poll_target, report_error)
    every(agent.settings.heartbeat, agent.publish, report_error)
    every(CLEANUP_INTERVAL, agent.clean_up, report_error)
    keep_running(lambda: _publish_changes(agent))
    keep_running(agent.server.run)
    agent.log.write('started', address=agent.settings.address)
    stop.wait()
    _drain(agent)


def _record_start(agent: Agent, log: Log) -> None:
    epoch = agent.witness.record_start(log)
    agent.holdings.fence.epoch = epoch
    agent.log.write('epoch', epoch=epoch)


def _publish_changes(agent: Agent) -> None:
    while True:
        agent.holdings.changed.wait()
        agent.holdings.changed.clear()
        agent.publish_change()


def _drain(agent: Agent) -> None:
    agent.start_draining()
    agent.log.write('draining', unfinished=len(agent.work.table.unfinished()))
    time_left = DRAIN_TIMEOUT
    while agent.work.table.unfinished() and time_left > timedelta():
        agent.clock.sleep(DRAIN_POLL_INTERVAL)
        time_left -= DRAIN_POLL_INTERVAL
    agent.clock.sleep(SHUTDOWN_LINGER)
    agent.server.close()
    agent.log.write('stopped')
