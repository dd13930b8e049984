"""Running a gateway: its periodic tasks and its shutdown."""

from collections.abc import Callable
from datetime import timedelta

from returns.pipeline import is_successful

from verbenamux_contracts.rendezvous import pick
from verbenamux_gateway.answers import encode_broken_request
from verbenamux_gateway.gateway import Gateway
from verbenamux_gateway.hosts import HostEntry, HostListClient, HostState
from verbenamux_gateway.server import make_application
from verbenamux_gateway.settings import RatePolicy
from verbenamux_gateway.shares import RENEWALS_PER_LEASE
from verbenamux_runtime.tasks import every, keep_running, stop_on_signal
from verbenamux_runtime.webserver import serve

HOSTS_INTERVAL = timedelta(seconds=1)
IDLE_CHECK_INTERVAL = timedelta(milliseconds=300)
HEARTBEAT_CHECK_INTERVAL = timedelta(milliseconds=500)
CLAIM_INTERVAL = timedelta(milliseconds=200)
SPREAD_INTERVAL = timedelta(seconds=1)
MOVE_INTERVAL = timedelta(seconds=5)
RECLAIM_INTERVAL = timedelta(seconds=1)
DRAIN_CHECK_INTERVAL = timedelta(milliseconds=50)
DRAIN_TIMEOUT = timedelta(minutes=10)
GATEWAY_ROLE = 'gateway'
AGENT_ROLE = 'agent'

Step = Callable[[], None]


def run_gateway(gateway: Gateway) -> None:
    """Serve until SIGTERM, then drain open requests and stop."""
    stop = stop_on_signal()
    for peer in gateway.settings.peers:
        gateway.peers.add_or_update(peer.name, peer.address)
    keep_running(gateway.server.run)
    keep_running(gateway.follower.run)
    _start_loops(gateway)
    if gateway.settings.rates.policy is RatePolicy.ESCROW:
        _start_share_loops(gateway)
    server = serve(
        gateway.settings.address,
        make_application(gateway),
        gateway.settings.limits.connections,
        encode_broken_request,
    )
    gateway.log.write('started', address=gateway.settings.address)
    stop.wait()
    _drain(gateway)
    server.stop()
    gateway.log.write('stopped')


def _start_loops(gateway: Gateway) -> None:
    settings = gateway.settings
    _start_loop(gateway, settings.hello, gateway.send_hello)
    _start_loop(
        gateway, HEARTBEAT_CHECK_INTERVAL, gateway.fleet.check_heartbeats
    )
    _start_loop(gateway, IDLE_CHECK_INTERVAL, gateway.fleet.wake_idle_attempts)
    _start_loop(
        gateway,
        settings.planning.interval,
        lambda: gateway.planner.step(gateway.configuration),
    )
    _start_loop(
        gateway,
        settings.snapshot_every,
        lambda: _write_snapshots(gateway),
    )
    keep_running(gateway.claims.follow)
    keep_running(gateway.claims.append_batches)
    if settings.platform.hosts is not None:
        client = HostListClient(settings.platform.hosts, gateway.clock)
        _start_loop(
            gateway, HOSTS_INTERVAL, lambda: _read_hosts(gateway, client)
        )


def _start_share_loops(gateway: Gateway) -> None:
    shares = gateway.shares
    keep_running(shares.follow)
    renewal = gateway.settings.rates.lease / RENEWALS_PER_LEASE
    _start_loop(
        gateway,
        min(renewal, timedelta(seconds=1)),
        lambda: shares.renew(_witness_addresses(gateway)),
    )
    _start_loop(
        gateway,
        CLAIM_INTERVAL,
        lambda: shares.claim(list(gateway.configuration.workspaces_by_name)),
    )
    _start_loop(gateway, MOVE_INTERVAL, shares.move_units)
    _start_loop(gateway, SPREAD_INTERVAL, shares.spread_units)
    _start_loop(gateway, RECLAIM_INTERVAL, shares.reclaim_abandoned)


def _start_loop(gateway: Gateway, interval: timedelta, step: Step) -> None:
    def log_error(error: Exception) -> None:
        gateway.log.write('loop_error', cause=repr(error))

    every(interval, step, log_error)


def _witness_addresses(gateway: Gateway) -> list[str]:
    # Only from followed data centres: a partitioned region keeps its leases.
    return sorted({target.agent for target in gateway.followed_targets()})


def _write_snapshots(gateway: Gateway) -> None:
    # A gateway without a holder name has not read the unit table yet: if
    # picked, it could wait for the very snapshot that it is to write.
    names = [
        peer.name
        for peer in gateway.peers.alive()
        if peer.hello is not None and peer.hello.holder
    ]
    own_name = gateway.settings.name
    if pick('snapshots', [*names, own_name], 1) == [own_name]:
        gateway.follower.write_snapshot()
        gateway.shares.write_snapshot()


def _read_hosts(gateway: Gateway, client: HostListClient) -> None:
    listed = client.read()
    if not is_successful(listed):
        return
    hosts = listed.unwrap()
    gateways = [host for host in hosts if _is_live(host, GATEWAY_ROLE)]
    for host in gateways:
        gateway.peers.add_or_update(host.name, host.address)
    known_names = {peer.name for peer in gateway.settings.peers}
    known_names.update(host.name for host in gateways)
    gateway.peers.remove_unlisted(known_names)
    gateway.fleet.mark_leaving(
        host.name
        for host in hosts
        if host.role == AGENT_ROLE and host.state is HostState.LEAVING
    )


def _is_live(host: HostEntry, role: str) -> bool:
    return host.role == role and host.state is HostState.LIVE


def _drain(gateway: Gateway) -> None:
    """Wait until the balancer has noticed and open requests have ended."""
    gateway.leaving = True
    gateway.peers.broadcast(gateway.hello())
    gateway.log.write('draining', in_flight=gateway.in_flight)
    gateway.clock.sleep(gateway.settings.limits.drain_linger)
    remaining = DRAIN_TIMEOUT
    while gateway.in_flight and remaining > timedelta():
        gateway.clock.sleep(DRAIN_CHECK_INTERVAL)
        remaining -= DRAIN_CHECK_INTERVAL
    if gateway.settings.rates.policy is RatePolicy.ESCROW:
        gateway.shares.grant_all_units()
