"""Telling gateways of an engine: whole reports seldom, counts often.

Load pattern: dozens of gateways follow each engine, and its counts change
all the time while its holdings rarely do.
"""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import KeeperLoad, KeeperReport, LoadReply

# Reports whose counts alone changed go out no more often than this, in a
# small fleet.
REPORT_PERIOD = timedelta(milliseconds=150)
# From this many gateways on they go out less often in proportion.
REPORT_GATEWAYS = 10
# Reports that say nothing new go out this often.
IDLE_REPORT_PERIOD = timedelta(milliseconds=500)
# A gateway that has not said hello for this long gets no reports.
SUBSCRIBER_SILENCE = timedelta(seconds=8)

Send = Callable[[bytes, KeeperReport | KeeperLoad | LoadReply], object]


class Reporter:
    """Who wants reports, and what they were told last."""

    def __init__(self, clock: Clock, send: Send) -> None:
        """Start with nobody to tell."""
        self._clock = clock
        self._send = send
        self._heard_at_by_sender: dict[bytes, timedelta] = {}
        self._unserved: set[bytes] = set()
        self._told: KeeperReport | None = None
        self._told_at = timedelta()
        self._revision = 0

    def subscribe(self, sender: bytes, *, wants_report: bool) -> None:
        """Have a gateway told for some seconds; a new one gets a report."""
        if wants_report or sender not in self._heard_at_by_sender:
            self._unserved.add(sender)
        self._heard_at_by_sender[sender] = self._clock.elapsed()

    def tell(self, report: KeeperReport) -> None:
        """Send what is new in a report, if that is due."""
        told = self._told
        silence = self._clock.elapsed() - self._told_at
        if told is None or _holding(report) != _holding(told):
            self._revision += 1
            report = msgspec.structs.replace(report, revision=self._revision)
            self._publish(report, report)
            return
        report = msgspec.structs.replace(report, revision=self._revision)
        if silence >= self._load_period(report, told):
            self._publish(report, _load(report, told))
        for sender in tuple(self._unserved):
            self._unserved.discard(sender)
            self._send(sender, self._told or report)

    def _publish(
        self,
        report: KeeperReport,
        message: KeeperReport | KeeperLoad,
    ) -> None:
        now = self._clock.elapsed()
        self._told = report
        self._told_at = now
        if message is report:
            self._unserved.clear()
        for sender, heard_at in tuple(self._heard_at_by_sender.items()):
            is_silent = now - heard_at > SUBSCRIBER_SILENCE
            if is_silent or self._send(sender, message) is False:
                self._heard_at_by_sender.pop(sender)

    def _load_period(
        self,
        report: KeeperReport,
        told: KeeperReport,
    ) -> timedelta:
        if _load(report, told) == _load(told, told):
            return IDLE_REPORT_PERIOD
        gateways = len(self._heard_at_by_sender)
        return REPORT_PERIOD * max(gateways / REPORT_GATEWAYS, 1)


def _load(report: KeeperReport, told: KeeperReport) -> KeeperLoad:
    is_news = report.adapters != told.adapters
    return KeeperLoad(
        target_id=report.target_id,
        revision=report.revision,
        adapters=report.adapters if is_news else None,
        unstarted=report.unstarted,
        active=report.active,
        used_tokens=report.used_tokens,
    )


def _holding(report: KeeperReport) -> KeeperReport:
    """Return a report without what changes all the time.

    These are the counts, and adapters: who asked for one hears of it anyway.
    """
    return msgspec.structs.replace(
        report,
        adapters=(),
        ordered_ms=0,
        revision=0,
        unstarted=0,
        active=0,
        used_tokens=0,
        total_tokens=0,
    )
