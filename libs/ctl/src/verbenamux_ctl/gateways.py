"""Calls to gateways: status over HTTP, withdrawals and drains by message."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from verbenamux_contracts.clock import Clock, SystemClock
from verbenamux_contracts.ids import new_instance_id
from verbenamux_contracts.messages import (
    AnyMessage,
    Drain,
    Message,
    Withdrawal,
    WithdrawalDone,
)
from verbenamux_http.client import (
    ConnectionPool,
    Outgoing,
    call,
    parse_address,
)
from verbenamux_http.errors import ExchangeFailure
from verbenamux_http.headers import Headers
from verbenamux_runtime.peers import PeerLink

HTTP_TIMEOUT = timedelta(seconds=2)
CONFIRM_TIMEOUT = timedelta(seconds=3)
SEND_RETRY_INTERVAL = timedelta(milliseconds=100)
POLL_INTERVAL = timedelta(milliseconds=100)


def read_status(address: str) -> dict[str, Any] | None:
    """Return the status of a gateway, or None if the call fails."""
    request = Outgoing('GET', '/readyz?verbose', Headers((('Host', address),)))
    pool = ConnectionPool(SystemClock().elapsed)
    endpoint = parse_address(address)
    try:
        _, body = call(pool, endpoint, request, HTTP_TIMEOUT)
    except ExchangeFailure:
        return None
    finally:
        pool.drop(endpoint)
    status: dict[str, Any] = msgspec.json.decode(body)
    return status


def wait_in_force(
    addresses: Iterable[str],
    version: int,
    clock: Clock,
    timeout: timedelta,
) -> list[str]:
    """Return the gateways that do not reach a version within the timeout."""
    waiting = list(addresses)
    deadline = clock.elapsed() + timeout
    while waiting and clock.elapsed() < deadline:
        waiting = [
            address for address in waiting if not _has_version(address, version)
        ]
        if waiting:
            clock.sleep(POLL_INTERVAL)
    return waiting


def withdraw_directly(
    addresses: Iterable[str],
    key_hashes: tuple[str, ...],
) -> list[str]:
    """Send a withdrawal to gateways; return those that did not confirm."""
    gateway_addresses = list(addresses)
    jobs = [
        gevent.spawn(_withdraw_at, address, key_hashes)
        for address in gateway_addresses
    ]
    gevent.joinall(jobs)
    return [
        address
        for address, job in zip(gateway_addresses, jobs, strict=True)
        if not job.value
    ]


def drain_agent(address: str, target: str) -> bool:
    """Make an agent refuse new attempts; return False if unreachable."""
    link = _open_link(address, Event())
    try:
        return _send_until_connected(link, Drain(target))
    finally:
        gevent.sleep(SEND_RETRY_INTERVAL.total_seconds())
        link.close()


def _has_version(address: str, version: int) -> bool:
    status = read_status(address)
    return status is not None and status['version'] >= version


def _withdraw_at(address: str, key_hashes: tuple[str, ...]) -> bool:
    confirmed = Event()
    link = _open_link(address, confirmed)
    try:
        if not _send_until_connected(link, Withdrawal(key_hashes)):
            return False
        return bool(confirmed.wait(CONFIRM_TIMEOUT.total_seconds()))
    finally:
        link.close()


def _open_link(address: str, confirmed: Event) -> PeerLink:
    def receive(message: AnyMessage) -> None:
        if isinstance(message, WithdrawalDone):
            confirmed.set()

    return PeerLink(address, new_instance_id('ctl'), receive)


def _send_until_connected(link: PeerLink, message: Message) -> bool:
    time_left = CONFIRM_TIMEOUT
    while time_left > timedelta():
        if link.send(message):
            return True
        gevent.sleep(SEND_RETRY_INTERVAL.total_seconds())
        time_left -= SEND_RETRY_INTERVAL
    return False
