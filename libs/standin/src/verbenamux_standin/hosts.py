"""The stand-in of the platform's lagging host list."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_standin.web import Reply, Request, json_reply


def hosts_route(
    clock: Clock,
    lag: timedelta,
    initial: list[dict[str, str]],
) -> Callable[[Request], Reply]:
    """Return the route of a host list; changes become visible after `lag`."""
    changes: deque[tuple[timedelta, Any]] = deque()
    visible: Any = initial

    def route(request: Request) -> Reply:
        nonlocal visible
        now = clock.elapsed()
        if request.method == 'PUT':
            changes.append((now + lag, msgspec.json.decode(request.body)))
        while changes and changes[0][0] <= now:
            visible = changes.popleft()[1]
        return json_reply({'hosts': visible})

    return route
