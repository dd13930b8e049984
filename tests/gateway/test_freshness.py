"""A gateway acts only on knowledge that is young enough."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_gateway.gateway import Gateway

STALE = timedelta(seconds=4)
YOUNG = timedelta(seconds=1)
OLD = timedelta(seconds=30)


def is_fresh(
    clock: ManualClock,
    peers: dict[str, object],
    fresh_at: timedelta | None,
    tried_at: timedelta | None,
) -> bool:
    gateway = SimpleNamespace(
        clock=clock,
        peers=SimpleNamespace(by_name=peers),
        follower=SimpleNamespace(fresh_at=fresh_at, tried_at=tried_at),
        settings=SimpleNamespace(stale_after=STALE),
    )
    return Gateway.is_fresh(gateway)


@pytest.mark.parametrize(
    ('alone', 'fresh_age', 'tried_age', 'expected'),
    [
        (False, YOUNG, YOUNG, True),
        # Thawed: nothing was heard for long, whatever waits in buffers.
        (False, OLD, OLD, False),
        (True, OLD, OLD, False),
        # The log is down: with peers known, one of them must be heard.
        (False, OLD, YOUNG, False),
        # Alone, nobody could know better.
        (True, OLD, YOUNG, True),
        # Never heard anything.
        (False, None, None, False),
        (True, None, None, False),
    ],
)
def test_freshness(
    clock: ManualClock,
    alone: bool,
    fresh_age: timedelta | None,
    tried_age: timedelta | None,
    expected: bool,
) -> None:
    clock.advance(timedelta(minutes=5))
    now = clock.elapsed()
    fresh_at = None if fresh_age is None else now - fresh_age
    tried_at = None if tried_age is None else now - tried_age
    peers = {} if alone else {'other': object()}
    assert is_fresh(clock, peers, fresh_at, tried_at) is expected
