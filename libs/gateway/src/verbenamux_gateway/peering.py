"""Gateways among themselves: hellos, configurations, withdrawals."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import AnyMessage, Hello, Message
from verbenamux_runtime.peers import PeerLink

PEER_ALIVE = timedelta(seconds=4)
GREETED_A_ROUND = 6


@dataclass(slots=True)
class PeerView:
    """Another gateway, as far as it has been heard."""

    name: str
    link: PeerLink
    hello: Hello | None = None
    heard_at: timedelta | None = None


@dataclass(slots=True)
class PeerTable:
    """All other gateways, by name."""

    own_name: str
    identity: str
    clock: Clock
    receive: Callable[[PeerView, AnyMessage], None]
    by_name: dict[str, PeerView] = field(default_factory=dict)
    next_greeted: int = 0

    def learn(self, name: str, address: str) -> None:
        """Follow a gateway at an address; a moved one is linked anew."""
        if name == self.own_name:
            return
        known = self.by_name.get(name)
        if known is not None and known.link.address == address:
            return
        if known is not None:
            known.link.close()
        link = PeerLink(address, self.identity, self._receive_from(name))
        self.by_name[name] = PeerView(name, link)

    def forget_missing(self, names: Iterable[str]) -> None:
        """Drop gateways that are no longer listed and silent."""
        listed = set(names)
        for name in list(self.by_name):
            if name not in listed and not self.is_alive(name):
                self.by_name.pop(name).link.close()

    @property
    def patience(self) -> timedelta:
        """How long a gateway may be silent and still count as alive."""
        rounds = -(-len(self.by_name) // GREETED_A_ROUND)
        return PEER_ALIVE * max(1, rounds)

    def greet(self, hello: Message) -> None:
        """Say hello to the next few gateways, in turn.

        What a gateway spends on greetings so does not grow with the fleet.
        """
        names = list(self.by_name)
        for _ in range(min(GREETED_A_ROUND, len(names))):
            self.next_greeted += 1
            name = names[self.next_greeted % len(names)]
            self.by_name[name].link.send(hello)

    def broadcast(self, message: Message) -> None:
        """Send to every known gateway that can be reached now."""
        for peer in self.by_name.values():
            peer.link.send(message)

    def note(self, hello: Hello) -> None:
        """Note that a gateway was heard."""
        peer = self.by_name.get(hello.sender)
        if peer is not None:
            peer.hello = hello
            peer.heard_at = self.clock.elapsed()

    def is_alive(self, name: str) -> bool:
        """Tell whether a gateway was heard lately."""
        peer = self.by_name.get(name)
        if peer is None or peer.heard_at is None:
            return False
        return self.clock.elapsed() - peer.heard_at < self.patience

    def links(self) -> list[PeerLink]:
        """Return the links to all other gateways."""
        return [peer.link for peer in self.by_name.values()]

    def alive(self) -> list[PeerView]:
        """Return the gateways that were heard lately."""
        return [
            peer for name, peer in self.by_name.items() if self.is_alive(name)
        ]

    def _receive_from(self, name: str) -> Callable[[AnyMessage], None]:
        def receive(message: AnyMessage) -> None:
            peer = self.by_name.get(name)
            if peer is not None:
                self.receive(peer, message)

        return receive
