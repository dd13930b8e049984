"""Gives way to sockets and timers in the middle of long work."""

from gevent import get_hub


def poll_event_loop() -> None:
    """Wait until the event loop has looked at all sockets and timers.

    `sleep(0)` only lets tasks run that are ready: up to 50 of its callbacks
    run before the loop looks at a socket or a timer again, so tasks that use
    it between long steps keep the other ones waiting for all of these.
    """
    hub = get_hub()
    with hub.loop.timer(0) as due_now:
        hub.wait(due_now)
