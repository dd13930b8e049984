"""Decides how long an evacuated data centre may still get requests.

Load pattern: an operator empties a data centre, and some models are held only
by its targets. Until shortly before the bound of the order these targets still
take what no other target can, while copies are loaded elsewhere.
"""

from datetime import timedelta

# Fraction of the bound in which targets of the data centre still take requests.
# The rest is for requests that are on their way, and for slow gateways.
GRACE_FRACTION = 0.6


def closes_at(
    last_known_open: timedelta | None,
    now: timedelta,
    bound: timedelta,
) -> timedelta:
    """Return from when on the targets of a data centre get nothing.

    The order was given after `last_known_open`, the newest time at which this
    gateway knew that there was none; None if it never did. Times are monotonic.
    """
    if last_known_open is None:
        return now
    return max(now, last_known_open + bound * GRACE_FRACTION)
