"""A gateway acts only on a recent configuration."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from verbenamux_contracts.clock import ManualClock
from verbenamux_gateway.gateway import Gateway

STALE_AFTER = timedelta(seconds=4)
RECENT = timedelta(seconds=1)
OLD = timedelta(seconds=30)


def is_fresh(
    clock: ManualClock,
    peers: dict[str, object],
    confirmed_at: timedelta | None,
    last_read_at: timedelta | None,
) -> bool:
    gateway = SimpleNamespace(
        clock=clock,
        peers=SimpleNamespace(by_name=peers),
        follower=SimpleNamespace(
            confirmed_at=confirmed_at, last_read_at=last_read_at
        ),
        settings=SimpleNamespace(stale_after=STALE_AFTER),
    )
    return Gateway.is_fresh(gateway)


@pytest.mark.parametrize(
    ('is_alone', 'confirmed_age', 'read_age', 'expected'),
    [
        (False, RECENT, RECENT, True),
        # Resumed after suspension: no recent answer, whatever is buffered.
        (False, OLD, OLD, False),
        (True, OLD, OLD, False),
        # The log is down: a gateway with peers needs a peer's confirmation.
        (False, OLD, RECENT, False),
        # Without peers, no gateway can have a newer configuration.
        (True, OLD, RECENT, True),
        # No answer since the start.
        (False, None, None, False),
        (True, None, None, False),
    ],
)
def test_freshness(
    clock: ManualClock,
    is_alone: bool,
    confirmed_age: timedelta | None,
    read_age: timedelta | None,
    expected: bool,
) -> None:
    clock.advance(timedelta(minutes=5))
    now = clock.elapsed()
    confirmed_at = None if confirmed_age is None else now - confirmed_age
    last_read_at = None if read_age is None else now - read_age
    peers = {} if is_alone else {'other': object()}
    assert is_fresh(clock, peers, confirmed_at, last_read_at) is expected
