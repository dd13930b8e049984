"""The gateway's links to agents, and what it knows of their targets."""

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

SILENT_AFTER = timedelta(seconds=3)
SILENT_PERIODS = 3
SHORTEST_PERIOD = timedelta(milliseconds=200)
GREETING_BYTES = 420
GREETING_BYTES_PER_SECOND = 4000

OnAsk = Callable[[PeerLink, ConfigurationAsk], None]


@dataclass(slots=True)
class Pending:
    """One attempt that this gateway waits for.

    None in the inbox means that nothing has come for a while.
    """

    attempt_id: AttemptId
    view: TargetView
    link: PeerLink
    instance: str
    next_index: int = 0
    inbox: SimpleQueue[Message | None] = field(default_factory=SimpleQueue)
    heard: bool = True


class Fleet:
    """Follows the configured targets, one link and one task for each."""

    def __init__(
        self,
        identity: str,
        clock: Clock,
        on_ask: OnAsk,
        new_breaker: type[Breaker] = Breaker,
    ) -> None:
        """Start without targets."""
        self.views = ViewTable(new_breaker)
        self.grown = Event()
        self.greeted_at: timedelta | None = None
        self._identity = identity
        self._clock = clock
        self._on_ask = on_ask
        self._link_by_address: dict[str, PeerLink] = {}
        self._pending_by_id: dict[str, Pending] = {}

    def follow(self, targets: Iterable[Target]) -> None:
        """Follow exactly these targets from now on."""
        wanted = list(targets)
        self.views.replace_targets(wanted)
        addresses = {target.agent for target in wanted}
        for address in self._link_by_address.keys() - addresses:
            self._link_by_address.pop(address).close()
        for address in addresses:
            self.link_to(address)

    def link_to(self, address: str) -> PeerLink:
        """Return the link to an agent, opening one when there is none."""
        link = self._link_by_address.get(address)
        if link is None:
            link = PeerLink(address, self._identity, self._receive_by(address))
            self._link_by_address[address] = link
        return link

    def links(self) -> list[PeerLink]:
        """Return the links to all agents."""
        return list(self._link_by_address.values())

    @property
    def period(self) -> timedelta:
        """How often each agent is greeted and sends a heartbeat.

        It grows with the fleet, so that both together stay within a fixed
        number of bytes a second.
        """
        agents = len(self._link_by_address)
        seconds = agents * GREETING_BYTES / GREETING_BYTES_PER_SECOND
        return max(SHORTEST_PERIOD, timedelta(seconds=seconds))

    def greet(self, hello: Hello) -> None:
        """Say hello to every agent; each then sends heartbeats."""
        self.greeted_at = self._clock.elapsed()
        paced = msgspec.structs.replace(
            hello,
            period_ms=to_milliseconds(self.period),
        )
        for link in self._link_by_address.values():
            link.send(paced)

    def greet_if_due(self, hello: Hello) -> None:
        """Say hello to every agent once a period."""
        greeted_at = self.greeted_at
        now = self._clock.elapsed()
        if greeted_at is None or now - greeted_at >= self.period:
            self.greet(hello)

    def open(self, view: TargetView) -> Pending:
        """Return a fresh attempt at a target, nothing sent yet."""
        pending = Pending(
            new_attempt_id(),
            view,
            self.link_to(view.target.agent),
            view.instance,
        )
        self._pending_by_id[pending.attempt_id] = pending
        view.load.outstanding += 1
        view.breaker.begin()
        return pending

    def close(self, pending: Pending, *, cancel: bool) -> None:
        """Forget an attempt; what still comes for it is dropped."""
        if self._pending_by_id.pop(pending.attempt_id, None) is None:
            return
        pending.view.load.outstanding -= 1
        if cancel:
            pending.link.send(Cancel(pending.attempt_id))

    def tick(self) -> None:
        """Wake the attempts that have heard nothing since the last tick.

        One task for all costs less than a timer for each message.
        """
        for pending in list(self._pending_by_id.values()):
            if not pending.heard:
                pending.inbox.put(None)
            pending.heard = False

    def check_silence(self) -> None:
        """Stop using targets whose agent has been silent for too long."""
        now = self._clock.elapsed()
        patience = max(SILENT_AFTER, SILENT_PERIODS * self.period)
        for view in self.views.by_name.values():
            heard_at = view.heard_at
            if heard_at is None or now - heard_at > patience:
                view.alive = False

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Mark the present instances of these targets as leaving."""
        for name in names:
            view = self.views.by_name.get(name)
            if view is not None and view.instance:
                view.leaving_instance = view.instance

    def _receive_by(self, address: str) -> Callable[[AnyMessage], None]:
        def receive(message: AnyMessage) -> None:
            if isinstance(message, Heartbeat):
                self._learn(message)
            elif isinstance(message, ConfigurationAsk):
                self._on_ask(self._link_by_address[address], message)
            else:
                self._deliver(message)

        return receive

    def _learn(self, heartbeat: Heartbeat) -> None:
        self.views.learn(heartbeat, self._clock.elapsed())
        self.grown.set()
        self.grown.clear()

    def _deliver(self, message: AnyMessage) -> None:
        attempt_id = getattr(message, 'attempt_id', '')
        pending = self._pending_by_id.get(attempt_id)
        if pending is None:
            return
        if isinstance(message, End):
            self.views.learn_load(
                pending.view,
                message.running,
                message.queued_tokens,
                self._clock.elapsed(),
            )
        pending.heard = True
        pending.inbox.put(message)
