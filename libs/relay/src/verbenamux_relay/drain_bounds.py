"""Bounds on how soon a leaving target gets no more requests."""

from dataclasses import dataclass
from datetime import timedelta

from verbenamux_relay.shared_reads import ReadTimeouts

# Fraction of the drain bound reserved for the send itself: choosing, a blocked
# event loop, a new connection, network latency.
MARGIN_FRACTION = 0.1
# The pause before a read collects the check-ins of many targets. These are the
# fractions of the bound for the pause, the waiting read, a late answer of the
# gateway that reads, and an unanswered call. The sum of the longest chain is in
# docs/PROOFS.md.
PAUSE_FRACTION = 0.25
WAIT_FRACTION = 0.2
LATENESS_FRACTION = 0.1
CALL_FRACTION = 0.175
# A longer pause would delay the discovery of new targets, whatever the bound.
MAX_READ_PAUSE = timedelta(milliseconds=500)
# A target whose entry lapsed while the store was unavailable is listed again
# about 2 s after its return; gateways noticed the removal some time before.
MAX_LAPSE_TIME = timedelta(milliseconds=1500)


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """The guarantees of a site for leaving targets.

    `drain` runs from the store's record that a target leaves to the last send
    to it. A fault within `stable_window` excuses a late send.
    """

    drain: timedelta
    stable_window: timedelta

    def read_timeouts(self) -> ReadTimeouts:
        """Return the read timeouts for the registry that keep the bound."""
        return ReadTimeouts(
            wait=self.drain * WAIT_FRACTION,
            pause=min(self.drain * PAUSE_FRACTION, MAX_READ_PAUSE),
            lateness=self.drain * LATENESS_FRACTION,
            call_timeout=self.drain * CALL_FRACTION,
        )


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """How a registry change became known here; times are monotonic.

    `reader` made the read. All records up to `current_at` were known before.
    `failed_at` is the start of the newest failed call while the store, or the
    network to it, was faulty. `is_restored`: the store lost its newest records,
    and what it lists may be older than what is known.
    """

    reader: str = ''
    current_at: timedelta | None = None
    failed_at: timedelta | None = None
    is_restored: bool = False


def lapse_until(
    update: RegistryUpdate,
    now: timedelta,
    bounds: DrainBounds,
) -> timedelta:
    """Return until when a removed entry is treated as only lapsed.

    The target may also have left, and the store may have recorded that as early
    as the time at which this gateway was last up to date. A store fault excuses
    later sends for the stable window of the site.
    """
    margin = bounds.drain * MARGIN_FRACTION
    until = now
    if update.current_at is not None:
        until = max(until, update.current_at + bounds.drain - margin)
    if update.failed_at is not None:
        until = max(until, update.failed_at + bounds.stable_window - margin)
    return min(until, now + MAX_LAPSE_TIME)
