"""Decides how a stopping gateway handles the requests it has accepted.

Load pattern: gateways are stopped in turn while models move, and many requests
wait for a model or for the first byte of a target. Another gateway can wait as
long as the caller does; this one can't. A request keeps waiting here only for
what is expected in time; requests still open at the end get their final answer
while there is time to write it.
"""

from dataclasses import dataclass
from datetime import timedelta

# Fraction of the stop time in which requests are still sent to targets; the
# rest is left for their answers.
SENDING_FRACTION = 0.5
# Final fraction in which open requests are ended: answers are written and read,
# and the process exits. The platform lets a stop break off a stream in the last
# sixth of its time.
ENDING_FRACTION = 0.125


@dataclass(slots=True)
class StopPlan:
    """Time limits of a stopping gateway; None before a stop begins.

    Times are monotonic. A stream that arrives after `streams_until` might not
    end in time; nothing is sent to a target after `sends_until`.
    """

    streams_until: timedelta | None = None
    sends_until: timedelta | None = None

    def begin(
        self,
        now: timedelta,
        allowed: timedelta,
        streams_for: timedelta,
    ) -> None:
        """Begin a stop that must be complete within `allowed`."""
        self.streams_until = now + streams_for
        self.sends_until = now + allowed * SENDING_FRACTION

    @property
    def is_under_way(self) -> bool:
        """Return whether the gateway is stopping."""
        return self.sends_until is not None

    def may_send(self, now: timedelta) -> bool:
        """Return whether a request may still be sent to a target."""
        return self.sends_until is None or now < self.sends_until

    def may_accept_stream(self, now: timedelta) -> bool:
        """Return whether a stream that arrives now can end in time."""
        return self.streams_until is None or now < self.streams_until

    def limit(self, until: timedelta) -> timedelta:
        """Return until when to wait for a target, limited by the stop."""
        if self.sends_until is None:
            return until
        return min(until, self.sends_until)


def max_open_time(allowed: timedelta) -> timedelta:
    """Return how long requests may stay open after a stop begins."""
    return allowed * (1 - ENDING_FRACTION)
