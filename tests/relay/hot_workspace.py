"""A large workspace of the users' sites, and the limit on what it runs."""

from datetime import timedelta

from verbenamux_relay.catalog import Workspace

WINDOW = timedelta(seconds=8)
OVERAGE = 0.1
SLACK = 110_000
RATE = 240_000
COST = 9_000
# Interval at which the program checks whether to report at once.
TICK = timedelta(milliseconds=60)


def workspace(burst):
    return Workspace(
        'theatre',
        frozenset(('key',)),
        per_second=RATE,
        burst=burst,
        counts_tokens=True,
    )


def limit(burst):
    """Return how many tokens may run in any window."""
    return (RATE * WINDOW.total_seconds() + burst) * (1 + OVERAGE) + SLACK


def max_spent_in_a_window(spent_at):
    """Return the most tokens of any window, by the times of the requests."""
    return COST * max(
        sum(begin <= at <= begin + WINDOW for at in spent_at)
        for begin in spent_at
    )
