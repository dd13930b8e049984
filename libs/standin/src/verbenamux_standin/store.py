"""The stand-in of the rate-limited weight store."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import Reply, Request, json_reply


class StoreSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Store speed; above `at_full_speed` loads it falls in proportion."""

    loads_per_second: float
    at_full_speed: int
    load_ms: int
    adapters_at_full_speed: int
    adapter_ms: int


def store_route(
    clock: Clock,
    pace: StoreSpeed,
) -> Callable[[Request], Reply]:
    """Return the route of a store: /weights/... and /adapters/..."""
    in_flight_by_kind = {'weights': 0, 'adapters': 0}
    next_start = clock.elapsed()

    def wait_turn() -> None:
        nonlocal next_start
        now = clock.elapsed()
        start = max(now, next_start)
        next_start = start + timedelta(seconds=1 / pace.loads_per_second)
        clock.sleep(start - now)

    def fetch(kind: str) -> None:
        full_speed_count, base_ms = (
            (pace.at_full_speed, pace.load_ms)
            if kind == 'weights'
            else (pace.adapters_at_full_speed, pace.adapter_ms)
        )
        slowdown = max(1, in_flight_by_kind[kind] / full_speed_count)
        clock.sleep(timedelta(milliseconds=base_ms * slowdown))

    def route(request: Request) -> Reply:
        kind = request.path.split('/')[1]
        if kind == 'weights':
            wait_turn()
        in_flight_by_kind[kind] += 1
        fetch(kind)
        in_flight_by_kind[kind] -= 1
        return json_reply({'fetched': request.path})

    return route
