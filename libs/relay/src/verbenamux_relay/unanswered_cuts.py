"""Tells requests that ended their targets from those that waited there.

Load pattern: a target ends before it writes a byte, as one does whose answer
was still buffered, and cuts all requests that wait there. Each is sent again:
those that are answered elsewhere are innocent, and what ends a second target,
or is never answered, is evidence.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from verbenamux_relay.terms import RequestTerms

# Targets that end under one request before they are evidence against it.
MIN_ENDED_TARGETS = 2
MAX_REQUESTS = 1000


@dataclass(frozen=True, slots=True)
class Cut:
    """An answer that its target cut as it ended, or may have ended.

    It was cut at `at`. `has_event` is whether an event had arrived,
    `is_unanswered` whether not even a head had.
    """

    crash_id: str
    workspace: str
    terms: RequestTerms
    at: timedelta
    sent_at: timedelta
    has_event: bool = False
    is_unanswered: bool = False


@dataclass(slots=True)
class _CutRequest:
    """`is_guilty` is None while its request is open and may be answered."""

    held: list[Cut] = field(default_factory=list)
    is_guilty: bool | None = None


class UnansweredCuts:
    """Cuts of requests by id, held until they are evidence or void."""

    def __init__(self) -> None:
        """Start without cuts."""
        self._by_request: OrderedDict[str, _CutRequest] = OrderedDict()

    def add(self, cut: Cut) -> tuple[Cut, ...]:
        """Add a cut by a target that ended; return what is evidence now."""
        request = self._request(cut.terms.request_id)
        if request.is_guilty is None:
            request.held.append(cut)
            if len(request.held) < MIN_ENDED_TARGETS:
                return ()
            request.is_guilty = True
            return tuple(request.held)
        return (cut,) if request.is_guilty else ()

    def acquit(self, request_id: str) -> None:
        """Drop the cuts of a request that was answered, or given up."""
        request = self._by_request.get(request_id)
        if request is not None and request.is_guilty is None:
            request.held.clear()
            request.is_guilty = False

    def end(self, request_id: str) -> tuple[Cut, ...]:
        """Return what is evidence as a request ended without an answer.

        Later cuts of it are, too: some targets are known to have ended late.
        """
        request = self._request(request_id)
        if request.is_guilty is not None:
            return ()
        request.is_guilty = True
        return tuple(request.held)

    def _request(self, request_id: str) -> _CutRequest:
        request = self._by_request.setdefault(request_id, _CutRequest())
        self._by_request.move_to_end(request_id)
        if len(self._by_request) > MAX_REQUESTS:
            self._by_request.popitem(last=False)
        return request
