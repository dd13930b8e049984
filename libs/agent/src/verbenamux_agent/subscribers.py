"""Gateways that follow this target, and the heartbeats they get."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_agent.prefixes import Progress
from verbenamux_contracts.clock import Clock, milliseconds
from verbenamux_contracts.messages import Heartbeat, Hello, Message

FORGET_AFTER = timedelta(seconds=10)
FORGET_PERIODS = 4

Send = Callable[[bytes, Message], bool]


@dataclass(slots=True)
class Subscriber:
    """One gateway, when it last said hello and how often it listens."""

    gateway: bytes
    heard_at: timedelta
    version: int
    period: timedelta
    sent_at: timedelta | None = None
    told: Progress = field(default_factory=Progress)

    def is_due(self, now: timedelta) -> bool:
        """Tell whether the next heartbeat is due."""
        return self.sent_at is None or now - self.sent_at >= self.period

    def is_gone(self, now: timedelta) -> bool:
        """Tell whether the gateway has been silent for too long."""
        patience = max(FORGET_AFTER, FORGET_PERIODS * self.period)
        return now - self.heard_at > patience


class SubscriberTable:
    """Sends heartbeats to every gateway that said hello lately."""

    def __init__(self, clock: Clock, send: Send) -> None:
        """Start with nobody."""
        self._clock = clock
        self._send = send
        self._by_gateway: dict[bytes, Subscriber] = {}

    def greet(self, gateway: bytes, hello: Hello) -> None:
        """Note a gateway's hello."""
        now = self._clock.elapsed()
        known = self._by_gateway.get(gateway)
        self._by_gateway[gateway] = Subscriber(
            gateway,
            now,
            hello.version,
            milliseconds(hello.period_ms),
            known.sent_at if known else None,
            known.told if known else Progress(),
        )

    def publish(
        self,
        heartbeat: Callable[[Progress], Heartbeat],
        progress: Progress,
        *,
        changed: bool = False,
    ) -> None:
        """Send heartbeats to all that are due, and to all on a change.

        Each gateway gets the cached blocks that were stored since its last
        heartbeat.
        Gateways that are silent for too long are dropped.
        """
        now = self._clock.elapsed()
        for gateway, subscriber in list(self._by_gateway.items()):
            if subscriber.is_gone(now):
                self._by_gateway.pop(gateway, None)
            elif changed or subscriber.is_due(now):
                subscriber.sent_at = now
                report = heartbeat(subscriber.told)
                subscriber.told = progress
                self._send(gateway, report)
