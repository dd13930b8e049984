"""Telling gateways of an engine: whole reports seldom, changes often.

Load pattern: dozens of gateways follow each engine, mostly in other data
centres. Its counts change all the time, and of its holdings some at a time.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from verbenamux_contracts.clock import Clock
from verbenamux_contracts.messages import (
    KeeperLeaving,
    KeeperLoad,
    KeeperReport,
    LoadReply,
)

# Reports whose counts alone changed go out no more often than this, in a
# small fleet.
REPORT_PERIOD = timedelta(milliseconds=150)
# From this many gateways on they go out less often in proportion.
REPORT_GATEWAYS = 10
# Reports that say nothing new go out this often.
IDLE_REPORT_PERIOD = timedelta(milliseconds=500)
# A gateway that has not said hello for this long gets no reports.
SUBSCRIBER_SILENCE = timedelta(seconds=8)

# A change tells nothing of these: it takes a whole report.
FRAME = (
    'target_id',
    'started_ms',
    'service',
    'address',
    'data_centre',
    'terms',
    'total_tokens',
    'keeper',
)
# What is told as soon as it changes. Adapters are not: who asked for one
# hears of it anyway.
HOLDINGS = (
    'models',
    'pending',
    'on_disk',
    'in_memory',
    'is_ordering',
    'store_loads_ready',
)
# What a change names only if it differs from what was told before.
NEWS = ('adapters', *HOLDINGS)
# What is told with each change, and by itself only now and then.
COUNTS = ('unstarted', 'active', 'used_tokens')

Told = KeeperReport | KeeperLoad | KeeperLeaving | LoadReply
Send = Callable[[bytes, Told], object]


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
        if told is None or _differences(report, told, FRAME):
            self._revision += 1
            self._publish(self._revised(report), None)
            return
        is_news = _differences(report, told, HOLDINGS)
        silence = self._clock.elapsed() - self._told_at
        if is_news or silence >= self._load_period(report, told):
            self._revision += bool(_differences(report, told, NEWS))
            told, before = self._revised(report), told
            self._publish(told, _change(told, before))
        for sender in tuple(self._unserved):
            self._unserved.discard(sender)
            self._send(sender, told)

    def leave(self, target_id: str) -> None:
        """Tell all that no reports follow."""
        for sender in self._heard_at_by_sender:
            self._send(sender, KeeperLeaving(target_id))

    def _revised(self, report: KeeperReport) -> KeeperReport:
        return msgspec.structs.replace(report, revision=self._revision)

    def _publish(self, report: KeeperReport, change: KeeperLoad | None) -> None:
        """Send a change to all who know what it follows, or a whole report."""
        now = self._clock.elapsed()
        self._told = report
        self._told_at = now
        if change is None:
            self._unserved.clear()
        for sender, heard_at in tuple(self._heard_at_by_sender.items()):
            if sender in self._unserved:
                continue
            is_silent = now - heard_at > SUBSCRIBER_SILENCE
            if is_silent or self._send(sender, change or report) is False:
                self._heard_at_by_sender.pop(sender)

    def _load_period(
        self,
        report: KeeperReport,
        told: KeeperReport,
    ) -> timedelta:
        if not _differences(report, told, (*COUNTS, *NEWS)):
            return IDLE_REPORT_PERIOD
        gateways = len(self._heard_at_by_sender)
        return REPORT_PERIOD * max(gateways / REPORT_GATEWAYS, 1)


def _change(report: KeeperReport, told: KeeperReport) -> KeeperLoad:
    """Return what differs from what was told; counts are always in it."""
    news = _differences(report, told, NEWS)
    return KeeperLoad(
        target_id=report.target_id,
        follows=told.revision,
        revision=report.revision,
        unstarted=report.unstarted,
        active=report.active,
        used_tokens=report.used_tokens,
        ordered_ms=report.ordered_ms if news else 0,
        **news,
    )


def _differences(
    report: KeeperReport,
    told: KeeperReport,
    names: tuple[str, ...],
) -> dict[str, Any]:
    """Return those of the named fields that differ, as they are now."""
    return {
        name: getattr(report, name)
        for name in names
        if getattr(report, name) != getattr(told, name)
    }
