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
    first: list[dict[str, str]],
) -> Callable[[Request], Reply]:
    """Return the route of a list whose changes show after a lag."""
    changes: deque[tuple[timedelta, Any]] = deque()
    shown: Any = first

    def route(request: Request) -> Reply:
        nonlocal shown
        now = clock.elapsed()
        if request.method == 'PUT':
            changes.append((now + lag, msgspec.json.decode(request.body)))
        while changes and changes[0][0] <= now:
            shown = changes.popleft()[1]
        return json_reply({'hosts': shown})

    return route
