"""The links between gateways: hellos, configurations, withdrawals."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import AnyMessage, Hello, Message
from verbenamux_runtime.peers import PeerLink

PEER_TIMEOUT = timedelta(seconds=4)
HELLOS_PER_ROUND = 6


@dataclass(slots=True)
class PeerView:
    """Another gateway and its last hello."""

    name: str
    link: PeerLink
    hello: Hello | None = None
    last_received_at: timedelta | None = None


@dataclass(slots=True)
class PeerTable:
    """All other gateways, by name."""

    own_name: str
    identity: str
    clock: Clock
    receive: Callable[[PeerView, AnyMessage], None]
    by_name: dict[str, PeerView] = field(default_factory=dict)
    next_hello_index: int = 0

    def add_or_update(self, name: str, address: str) -> None:
        """Add a gateway, or reconnect if its address changed."""
        if name == self.own_name:
            return
        existing = self.by_name.get(name)
        if existing is not None and existing.link.address == address:
            return
        if existing is not None:
            existing.link.close()
        link = PeerLink(address, self.identity, self._make_receiver(name))
        self.by_name[name] = PeerView(name, link)

    def remove_unlisted(self, names: Iterable[str]) -> None:
        """Remove gateways that are unresponsive and no longer listed."""
        listed = set(names)
        for name in list(self.by_name):
            if name not in listed and not self.is_alive(name):
                self.by_name.pop(name).link.close()

    @property
    def timeout(self) -> timedelta:
        """How long after its last hello a gateway counts as alive."""
        rounds = -(-len(self.by_name) // HELLOS_PER_ROUND)
        return PEER_TIMEOUT * max(1, rounds)

    def send_hello(self, hello: Message) -> None:
        """Send a hello to the next few gateways, in turn.

        So the cost of hellos per gateway does not grow with the fleet.
        """
        names = list(self.by_name)
        for _ in range(min(HELLOS_PER_ROUND, len(names))):
            self.next_hello_index += 1
            name = names[self.next_hello_index % len(names)]
            self.by_name[name].link.send(hello)

    def broadcast(self, message: Message) -> None:
        """Send a message to every known gateway that is reachable."""
        for peer in self.by_name.values():
            peer.link.send(message)

    def record_hello(self, hello: Hello) -> None:
        """Record a gateway's hello."""
        peer = self.by_name.get(hello.sender)
        if peer is not None:
            peer.hello = hello
            peer.last_received_at = self.clock.elapsed()

    def is_alive(self, name: str) -> bool:
        """Return whether a gateway's last hello is recent."""
        peer = self.by_name.get(name)
        if peer is None or peer.last_received_at is None:
            return False
        return self.clock.elapsed() - peer.last_received_at < self.timeout

    def links(self) -> list[PeerLink]:
        """Return the links to all other gateways."""
        return [peer.link for peer in self.by_name.values()]

    def alive(self) -> list[PeerView]:
        """Return the gateways whose last hello is recent."""
        return [
            peer for name, peer in self.by_name.items() if self.is_alive(name)
        ]

    def _make_receiver(self, name: str) -> Callable[[AnyMessage], None]:
        def receive(message: AnyMessage) -> None:
            peer = self.by_name.get(name)
            if peer is not None:
                self.receive(peer, message)

        return receive
