"""The stand-in of a plain service."""

from collections.abc import Callable
from datetime import timedelta

from verbenamux_contracts.clock import Clock
from verbenamux_standin.history import History
from verbenamux_standin.web import Reply, Request, json_reply


def service_route(
    clock: Clock,
    history: History,
    work_time: timedelta,
) -> Callable[[Request], Reply]:
    """Return the route of a service that echoes each request.

    Every call is recorded in the history before its response is sent.
    """

    def route(request: Request) -> Reply:
        if request.path == '/history':
            return history.reply()
        if request.path == '/report':
            return json_reply({'running': history.running})
        attempt = request.header_by_name.get('x-request-id', '')
        history.start(attempt, request)
        clock.sleep(work_time)
        history.finish(attempt)
        return json_reply(
            {
                'path': request.path,
                'method': request.method,
                'echo': request.body.decode(errors='replace'),
            },
        )

    return route
