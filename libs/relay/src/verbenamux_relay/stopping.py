"""How a gateway that is told to stop treats the requests it has taken.

Load pattern: gateways are stopped in turn while models move, and many
requests wait for a model or for a target's first word. Another gateway can
wait for as long as the caller does; this one can't. A request goes on waiting
here only for what comes in time, and what is still open at the end gets its
final answer while there is time to write it.
"""

from dataclasses import dataclass
from datetime import timedelta

# The part of the time to stop in which requests are still sent to targets:
# the rest is left for their answers.
SENDING_PART = 0.5
# The part at the end in which what is open is ended: answers are written and
# read, and the process ends. The platform lets a stop break off a stream in the
# last sixth of its time.
ENDING_PART = 0.125


@dataclass(slots=True)
class StopPlan:
    """Until when a stopping gateway does what; None while no stop began.

    Times are monotonic. A stream that comes after `streams_until` might not
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
        """Begin a stop that has to be over within the time allowed."""
        self.streams_until = now + streams_for
        self.sends_until = now + allowed * SENDING_PART

    @property
    def is_under_way(self) -> bool:
        """Tell whether the gateway is stopping."""
        return self.sends_until is not None

    def may_send(self, now: timedelta) -> bool:
        """Tell whether a request may still go to a target."""
        return self.sends_until is None or now < self.sends_until

    def may_take_stream(self, now: timedelta) -> bool:
        """Tell whether a stream that comes now can end in time."""
        return self.streams_until is None or now < self.streams_until

    def limited(self, until: timedelta) -> timedelta:
        """Return until when to wait for something to send to."""
        if self.sends_until is None:
            return until
        return min(until, self.sends_until)


def open_most(allowed: timedelta) -> timedelta:
    """Return how long requests may stay open in the time that a stop has."""
    return allowed * (1 - ENDING_PART)
