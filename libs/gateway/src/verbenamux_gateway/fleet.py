"""The gateway's links to agents and the state of their targets."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
from gevent.event import Event
from gevent.queue import SimpleQueue

from verbenamux_config.entities import Target
from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.ids import AttemptId, new_attempt_id
from verbenamux_contracts.messages import (
    AnyMessage,
    Cancel,
    ConfigurationAsk,
    End,
    Heartbeat,
    Hello,
    Message,
)
from verbenamux_routing.breaker import Breaker
from verbenamux_routing.views import TargetView, ViewTable
from verbenamux_runtime.peers import PeerLink

MIN_HEARTBEAT_TIMEOUT = timedelta(seconds=3)
HEARTBEAT_TIMEOUT_INTERVALS = 3
MIN_HELLO_INTERVAL = timedelta(milliseconds=200)
HELLO_BYTES = 420
HELLO_BYTES_PER_SECOND = 4000

OnConfigurationAsk = Callable[[PeerLink, ConfigurationAsk], None]


@dataclass(slots=True)
class PendingAttempt:
    """An attempt that this gateway waits for.

    None in the inbox means that no message arrived between two idle checks.
    """

    attempt_id: AttemptId
    view: TargetView
    link: PeerLink
    instance: str
    next_index: int = 0
    inbox: SimpleQueue[Message | None] = field(default_factory=SimpleQueue)
    received_since_check: bool = True


class Fleet:
    """Follows the configured targets, one link and one task for each."""

    def __init__(
        self,
        identity: str,
        clock: Clock,
        on_configuration_ask: OnConfigurationAsk,
        new_breaker: type[Breaker] = Breaker,
    ) -> None:
        """Start without targets."""
        self.views = ViewTable(new_breaker)
        self.heartbeat_received = Event()
        self.last_hello_at: timedelta | None = None
        self._identity = identity
        self._clock = clock
        self._on_configuration_ask = on_configuration_ask
        self._link_by_address: dict[str, PeerLink] = {}
        self._pending_by_id: dict[str, PendingAttempt] = {}

    def follow(self, targets: Iterable[Target]) -> None:
        """Follow exactly these targets; close the links to all others."""
        followed = list(targets)
        self.views.replace_targets(followed)
        addresses = {target.agent for target in followed}
        for address in self._link_by_address.keys() - addresses:
            self._link_by_address.pop(address).close()
        for address in addresses:
            self.link_to(address)

    def link_to(self, address: str) -> PeerLink:
        """Return the link to an agent, opening it if needed."""
        link = self._link_by_address.get(address)
        if link is None:
            link = PeerLink(
                address, self._identity, self._make_receiver(address)
            )
            self._link_by_address[address] = link
        return link

    def links(self) -> list[PeerLink]:
        """Return the links to all agents."""
        return list(self._link_by_address.values())

    @property
    def hello_interval(self) -> timedelta:
        """The interval of hellos to and heartbeats from each agent.

        It grows with the fleet, so that both together stay within a fixed
        number of bytes per second.
        """
        agents = len(self._link_by_address)
        seconds = agents * HELLO_BYTES / HELLO_BYTES_PER_SECOND
        return max(MIN_HELLO_INTERVAL, timedelta(seconds=seconds))

    def send_hello(self, hello: Hello) -> None:
        """Send a hello to every agent, which then sends heartbeats."""
        self.last_hello_at = self._clock.elapsed()
        hello_with_interval = msgspec.structs.replace(
            hello,
            period_ms=to_milliseconds(self.hello_interval),
        )
        for link in self._link_by_address.values():
            link.send(hello_with_interval)

    def send_hello_if_due(self, hello: Hello) -> None:
        """Send a hello to every agent once per interval."""
        last_hello_at = self.last_hello_at
        now = self._clock.elapsed()
        if last_hello_at is None or now - last_hello_at >= self.hello_interval:
            self.send_hello(hello)

    def open(self, view: TargetView) -> PendingAttempt:
        """Return a new attempt at a target; nothing is sent yet."""
        pending = PendingAttempt(
            new_attempt_id(),
            view,
            self.link_to(view.target.agent),
            view.instance,
        )
        self._pending_by_id[pending.attempt_id] = pending
        view.load.outstanding += 1
        view.breaker.record_send()
        return pending

    def close(self, pending: PendingAttempt, *, cancel: bool) -> None:
        """Remove an attempt; later messages for it are dropped."""
        if self._pending_by_id.pop(pending.attempt_id, None) is None:
            return
        pending.view.load.outstanding -= 1
        if cancel:
            pending.link.send(Cancel(pending.attempt_id))

    def wake_idle_attempts(self) -> None:
        """Wake the attempts without a message since the last check.

        One task for all costs less than a timer for each message.
        """
        for pending in list(self._pending_by_id.values()):
            if not pending.received_since_check:
                pending.inbox.put(None)
            pending.received_since_check = False

    def check_heartbeats(self) -> None:
        """Stop using targets whose agent sends no heartbeats."""
        now = self._clock.elapsed()
        timeout = max(
            MIN_HEARTBEAT_TIMEOUT,
            HEARTBEAT_TIMEOUT_INTERVALS * self.hello_interval,
        )
        for view in self.views.by_name.values():
            last_heartbeat_at = view.last_received_at
            if last_heartbeat_at is None or now - last_heartbeat_at > timeout:
                view.is_alive = False

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Mark the current instances of these targets as leaving."""
        for name in names:
            view = self.views.by_name.get(name)
            if view is not None and view.instance:
                view.leaving_instance = view.instance

    def _make_receiver(self, address: str) -> Callable[[AnyMessage], None]:
        def receive(message: AnyMessage) -> None:
            if isinstance(message, Heartbeat):
                self._apply_heartbeat(message)
            elif isinstance(message, ConfigurationAsk):
                self._on_configuration_ask(
                    self._link_by_address[address], message
                )
            else:
                self._pass_to_attempt(message)

        return receive

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.views.apply_heartbeat(heartbeat, self._clock.elapsed())
        self.heartbeat_received.set()
        self.heartbeat_received.clear()

    def _pass_to_attempt(self, message: AnyMessage) -> None:
        attempt_id = getattr(message, 'attempt_id', '')
        pending = self._pending_by_id.get(attempt_id)
        if pending is None:
            return
        if isinstance(message, End):
            self.views.apply_load(
                pending.view,
                message.running,
                message.queued_tokens,
                self._clock.elapsed(),
            )
        pending.received_since_check = True
        pending.inbox.put(message)
