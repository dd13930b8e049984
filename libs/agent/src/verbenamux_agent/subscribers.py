"""Gateways subscribed to this target, and their heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_agent.prefixes import Progress
from verbenamux_contracts.clock import Clock, milliseconds
from verbenamux_contracts.messages import Heartbeat, Hello, Message

MIN_INACTIVITY_TIMEOUT = timedelta(seconds=10)
INACTIVITY_PERIODS = 4

Send = Callable[[bytes, Message], bool]


@dataclass(slots=True)
class Subscriber:
    """One gateway: its last Hello and its heartbeat period."""

    gateway: bytes
    last_received_at: timedelta
    version: int
    period: timedelta
    sent_at: timedelta | None = None
    published: Progress = field(default_factory=Progress)

    def is_due(self, now: timedelta) -> bool:
        """Return whether the next heartbeat is due."""
        return self.sent_at is None or now - self.sent_at >= self.period

    def is_inactive(self, now: timedelta) -> bool:
        """Return whether no Hello has arrived for the inactivity timeout."""
        inactivity_timeout = max(
            MIN_INACTIVITY_TIMEOUT, INACTIVITY_PERIODS * self.period
        )
        return now - self.last_received_at > inactivity_timeout


class SubscriberTable:
    """Sends heartbeats to every gateway with a recent Hello."""

    def __init__(self, clock: Clock, send: Send) -> None:
        """Start without subscribers."""
        self._clock = clock
        self._send = send
        self._by_gateway: dict[bytes, Subscriber] = {}

    def record_hello(self, gateway: bytes, hello: Hello) -> None:
        """Add or renew the subscription of a gateway."""
        now = self._clock.elapsed()
        previous = self._by_gateway.get(gateway)
        self._by_gateway[gateway] = Subscriber(
            gateway,
            now,
            hello.version,
            milliseconds(hello.period_ms),
            previous.sent_at if previous else None,
            previous.published if previous else Progress(),
        )

    def publish(
        self,
        heartbeat: Callable[[Progress], Heartbeat],
        progress: Progress,
        *,
        changed: bool = False,
    ) -> None:
        """Send the heartbeats that are due, or all of them on a change.

        Each gateway gets the cached blocks that were stored since its last
        heartbeat.
        Inactive gateways are removed.
        """
        now = self._clock.elapsed()
        for gateway, subscriber in list(self._by_gateway.items()):
            if subscriber.is_inactive(now):
                self._by_gateway.pop(gateway, None)
            elif changed or subscriber.is_due(now):
                subscriber.sent_at = now
                report = heartbeat(subscriber.published)
                subscriber.published = progress
                self._send(gateway, report)
