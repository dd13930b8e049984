"""Gateways that follow this target, and the heartbeats they get."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import Heartbeat, Hello, Message

FORGET_AFTER = timedelta(seconds=10)

Send = Callable[[bytes, Message], bool]


@dataclass(slots=True)
class Subscriber:
    """One gateway and when it last said hello."""

    gateway: bytes
    heard_at: timedelta
    version: int


class SubscriberTable:
    """Sends heartbeats to every gateway that said hello lately."""

    def __init__(self, clock: Clock, send: Send) -> None:
        """Start with nobody."""
        self.dispatches_by_gateway: Counter[bytes] = Counter()
        self._clock = clock
        self._send = send
        self._by_gateway: dict[bytes, Subscriber] = {}

    def greet(self, gateway: bytes, hello: Hello) -> None:
        """Note a gateway's hello."""
        now = self._clock.elapsed()
        self._by_gateway[gateway] = Subscriber(gateway, now, hello.version)

    def newest(self) -> Subscriber | None:
        """Return the gateway with the newest configuration."""
        return max(
            self._by_gateway.values(),
            key=lambda subscriber: subscriber.version,
            default=None,
        )

    def publish(self, heartbeat: Callable[[bytes], Heartbeat]) -> None:
        """Send a heartbeat to all, and drop the ones that are silent."""
        now = self._clock.elapsed()
        for gateway, subscriber in list(self._by_gateway.items()):
            if now - subscriber.heard_at > FORGET_AFTER:
                self._by_gateway.pop(gateway, None)
                self.dispatches_by_gateway.pop(gateway, None)
            else:
                self._send(gateway, heartbeat(gateway))
