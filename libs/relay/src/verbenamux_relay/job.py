"""One caller's request on its way, and what is known of its runs."""

from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_http.parsing import Request
from verbenamux_http.server import Reply
from verbenamux_relay.catalog import Catalog, Route, Service, Workspace
from verbenamux_relay.terms import RequestTerms


@dataclass(slots=True)
class Job:
    """A request with its terms; times are monotonic.

    `expected_at` is when a model that is being loaded should be in place.
    `sends` counts the sends that reached a target, `runs` those that may
    have run there. `cause` names the last failure.
    """

    request: Request
    reply: Reply
    terms: RequestTerms
    catalog: Catalog
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: timedelta
    deadline: timedelta
    charged: float = 0
    sends: int = 0
    runs: int = 0
    excluded: set[str] = field(default_factory=set)
    last_event_id: str | None = None
    events: int = 0
    first_event_at: timedelta | None = None
    sent_at: timedelta | None = None
    expected_at: timedelta | None = None
    target_id: str = ''
    cause: str = ''
    steps: list[str] = field(default_factory=list)

    def time_left(self, now: timedelta) -> timedelta:
        """Return the time until the deadline."""
        return self.deadline - now

    @property
    def may_repeat(self) -> bool:
        """Tell whether one more run is allowed."""
        if not self.runs:
            return True
        return self.route.is_repeatable and self.runs < self.route.attempts_most
