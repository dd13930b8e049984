"""How soon a leaving target is left alone, by the bounds of the site."""

from dataclasses import dataclass
from datetime import timedelta

from verbenamux_relay.sharing import Patience

# The part of the bound that is left for the send itself: choosing, a held-up
# loop, a new connection, the way there.
MARGIN_PART = 0.1
# Check-ins of many targets are read together in the pause before a read; the
# parts of the bound that it, the waiting read, a late answer of the gateway
# that reads, and a call without an answer may take. The sum of the longest
# chain is in docs/PROOFS.md.
PAUSE_PART = 0.25
WAIT_PART = 0.2
LATENESS_PART = 0.1
CALL_PART = 0.175
# Longer pauses would make new targets wait, whatever the bound.
PAUSE_MOST = timedelta(milliseconds=500)
# A target whose entry lapsed while the store was away is back about two
# seconds behind its return; gateways have found it gone some time before.
LAPSE_MOST = timedelta(milliseconds=1500)


@dataclass(frozen=True, slots=True)
class LeavingBounds:
    """What the site promises of targets that leave.

    `drain` runs from the store's word that a target leaves to the last send
    to it. Whatever went wrong within `stable_window` excuses a late one.
    """

    drain: timedelta
    stable_window: timedelta

    def patience(self) -> Patience:
        """Return how the registry is read to keep the bound."""
        return Patience(
            wait=self.drain * WAIT_PART,
            pause=min(self.drain * PAUSE_PART, PAUSE_MOST),
            lateness=self.drain * LATENESS_PART,
            call_most=self.drain * CALL_PART,
        )


@dataclass(frozen=True, slots=True)
class News:
    """How a change in the registry came to be known here; times monotonic.

    `reader` made the read. All that the store had taken at `current_at` was
    known before. `failed_at` is when the newest call began that failed while
    the store, or the way to it, was in trouble.
    """

    reader: str = ''
    current_at: timedelta | None = None
    failed_at: timedelta | None = None


def lapse_until(
    news: News,
    now: timedelta,
    bounds: LeavingBounds,
) -> timedelta:
    """Return until when a dropped entry may pass for one that only lapsed.

    The target may as well have left, and the store may have taken that as
    early as this gateway last knew of nothing newer. Trouble with the store
    excuses what is later, for as long as the site says.
    """
    margin = bounds.drain * MARGIN_PART
    until = now
    if news.current_at is not None:
        until = max(until, news.current_at + bounds.drain - margin)
    if news.failed_at is not None:
        until = max(until, news.failed_at + bounds.stable_window - margin)
    return min(until, now + LAPSE_MOST)
