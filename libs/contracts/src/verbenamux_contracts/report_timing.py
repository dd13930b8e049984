"""Intervals of reports between processes, and the timeouts that judge them.

Load pattern: gateways report to each other and hear from every keeper, so each
sends less often to more receivers. The timeouts follow from the same intervals:
one lost report, or one delayed by a short pause of its sender, does not make
the sender unresponsive at any size.
"""

from datetime import timedelta

# A gateway reports its usage to the others at this interval in a small fleet.
MIN_USAGE_INTERVAL = timedelta(milliseconds=250)
# From this many receivers on, usage is reported less often in proportion.
MAX_PEERS_AT_FULL_RATE = 8
# With more peers than this, usage is passed on between data centres.
MAX_MESH_PEERS = 16
# What changed is passed on between data centres, and within one, this often.
DIGEST_INTERVAL = timedelta(milliseconds=500)
# A keeper reports changed counts no more often than this.
MIN_COUNT_INTERVAL = timedelta(milliseconds=150)
# A keeper reads its engine this often between two reports of counts.
READS_PER_REPORT = 3
# From this many gateways on, counts are reported less often in proportion.
MAX_GATEWAYS_AT_FULL_RATE = 10
# A keeper reports at this interval when nothing changes, in a small fleet.
MIN_IDLE_INTERVAL = timedelta(milliseconds=500)
# A gateway greets each keeper at this interval, so that it gets reports.
GREETING_INTERVAL = timedelta(seconds=4)
# A process may be paused for this long without being considered unresponsive.
MAX_PAUSE = timedelta(milliseconds=500)
# Time for the network, and for the periodic task that sends or receives.
DELIVERY_TIME = timedelta(milliseconds=200)
# The load that a report tells is used for at least this long.
MIN_LOAD_AGE = timedelta(milliseconds=1500)


def usage_interval(receivers: int) -> timedelta:
    """Return the interval of usage reports of a gateway to these receivers."""
    return MIN_USAGE_INTERVAL * max(1, receivers / MAX_PEERS_AT_FULL_RATE)


def relayed_timeout(interval: timedelta) -> timedelta:
    """Return the timeout of a sender whose reports are passed on twice.

    `interval` is that of its reports; one of the three steps may fail once.
    """
    return interval + DIGEST_INTERVAL * 3 + DELIVERY_TIME


def count_interval(gateways: int) -> timedelta:
    """Return the interval at which a keeper reports changed counts."""
    return MIN_COUNT_INTERVAL * max(1, gateways / MAX_GATEWAYS_AT_FULL_RATE)


def engine_read_interval(gateways: int) -> timedelta:
    """Return the interval at which a keeper reads its engine.

    Load pattern: a large fleet, whose gateways are told of counts less often.
    """
    return max(MIN_COUNT_INTERVAL, count_interval(gateways) / READS_PER_REPORT)


def idle_interval(gateways: int) -> timedelta:
    """Return the interval of a keeper's reports when nothing changes.

    It is the longest interval between two reports of a keeper.
    """
    return max(MIN_IDLE_INTERVAL, count_interval(gateways))


def silence_timeout(interval: timedelta) -> timedelta:
    """Return after how long without a report its sender is unresponsive.

    `interval` is the longest between two reports of the sender.
    """
    return max(interval * 2, interval + MAX_PAUSE) + DELIVERY_TIME


def max_load_age(interval: timedelta) -> timedelta:
    """Return how long a reported load is used, at most."""
    return max(MIN_LOAD_AGE, silence_timeout(interval))
