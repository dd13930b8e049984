"""Crashes of targets as a gateway records them."""

from datetime import timedelta

from verbenamux_contracts.clock import ManualClock
from verbenamux_relay.quarantine import Quarantine
from verbenamux_relay.terms import RequestTerms
from verbenamux_relay.unanswered_cuts import Cut

SECOND = timedelta(seconds=1)


class Gateway(Quarantine):
    """A quarantine on a clock of its own, under which targets crash."""

    def __init__(self, clock: ManualClock, *, is_first: bool = True) -> None:
        super().__init__(
            clock.elapsed,
            lambda: SECOND,
            lambda: is_first,
            lambda *_, **__: None,
        )
        self.clock = clock

    def crash(
        self,
        crash_id: str,
        workspace: str,
        terms: RequestTerms,
        **received: bool,
    ) -> None:
        """Let a target end now under a request that was sent now."""
        now = self.clock.elapsed()
        self.record_crash(Cut(crash_id, workspace, terms, now, now, **received))
