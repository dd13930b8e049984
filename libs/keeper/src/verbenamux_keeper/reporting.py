"""Reports of an engine to gateways: whole ones rarely, changes often.

Load pattern: dozens of gateways follow each engine, mostly in other data
centres. Its counts change all the time, its holdings a few at a time.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from verbenamux_contracts.clock import Clock, to_milliseconds
from verbenamux_contracts.messages import (
    KeeperHello,
    KeeperLeaving,
    KeeperLoad,
    KeeperReport,
    LoadReply,
)
from verbenamux_contracts.report_timing import (
    GREETING_INTERVAL,
    count_interval,
    idle_interval,
    silence_timeout,
)

# A gateway that has sent no hello for this long gets no reports.
SUBSCRIBER_TIMEOUT = silence_timeout(GREETING_INTERVAL)

# Fields that a change can't carry: they need a whole report.
WHOLE_REPORT_FIELDS = (
    'target_id',
    'started_ms',
    'service',
    'address',
    'data_centre',
    'total_tokens',
    'keeper',
)
# Fields sent as soon as they change. Adapters are not among them: the gateway
# that requested one gets a reply anyway.
IMMEDIATE_FIELDS = (
    'models',
    'pending',
    'on_disk',
    'in_memory',
    'is_ordering',
    'store_loads_ready',
    'terms',
)
# Fields that a change carries only if they differ from the last report.
OPTIONAL_CHANGE_FIELDS = ('adapters', *IMMEDIATE_FIELDS)
# Fields that every change carries; if only these differ, the change is delayed.
COUNT_FIELDS = ('unstarted', 'active', 'used_tokens')

KeeperMessage = KeeperReport | KeeperLoad | KeeperLeaving | LoadReply
Send = Callable[[bytes, KeeperMessage], object]


class Reporter:
    """The subscribed gateways, and the last report sent to them."""

    def __init__(self, clock: Clock, send: Send) -> None:
        """Start without subscribers."""
        self._clock = clock
        self._send = send
        self._last_received_at_by_sender: dict[bytes, timedelta] = {}
        self._needs_whole_report: set[bytes] = set()
        self._last_report: KeeperReport | None = None
        self._last_sent_at = timedelta()
        self._revision = 0

    def subscribe(self, sender: bytes, hello: KeeperHello) -> bool:
        """Subscribe a gateway for some seconds.

        Return whether it needs a whole report: it asks for one, is new, or
        missed a change.
        """
        needs_whole_report = (
            hello.wants_report
            or sender not in self._last_received_at_by_sender
            or self._has_missed_change(hello)
        )
        if needs_whole_report:
            self._needs_whole_report.add(sender)
        self._last_received_at_by_sender[sender] = self._clock.elapsed()
        return needs_whole_report

    def gateways(self) -> int:
        """Return how many gateways get reports."""
        return len(self._last_received_at_by_sender)

    def send_changes(self, report: KeeperReport) -> None:
        """Send the changes in a report, if that is due."""
        last_report = self._last_report
        if last_report is None or _differences(
            report, last_report, WHOLE_REPORT_FIELDS
        ):
            self._revision += 1
            self._send_to_all(self._with_revision(report), None)
            return
        has_urgent_change = _differences(report, last_report, IMMEDIATE_FIELDS)
        time_since_report = self._clock.elapsed() - self._last_sent_at
        if has_urgent_change or time_since_report >= self._report_interval(
            report, last_report
        ):
            self._revision += bool(
                _differences(report, last_report, OPTIONAL_CHANGE_FIELDS)
            )
            last_report, previous_report = (
                self._with_revision(report),
                last_report,
            )
            self._send_to_all(
                last_report, _make_change(last_report, previous_report)
            )
        for sender in tuple(self._needs_whole_report):
            self._needs_whole_report.discard(sender)
            self._send(sender, last_report)

    def announce_shutdown(self, target_id: str) -> None:
        """Notify all subscribers that no more reports follow."""
        for sender in self._last_received_at_by_sender:
            self._send(sender, KeeperLeaving(target_id))

    def _has_missed_change(self, hello: KeeperHello) -> bool:
        report = self._last_report
        return report is not None and (
            (hello.target_id, hello.revision)
            != (report.target_id, report.revision)
        )

    def _with_revision(self, report: KeeperReport) -> KeeperReport:
        """Return a report with its revision and its promised interval."""
        return msgspec.structs.replace(
            report,
            revision=self._revision,
            interval_ms=to_milliseconds(idle_interval(self.gateways())),
        )

    def _send_to_all(
        self, report: KeeperReport, change: KeeperLoad | None
    ) -> None:
        """Send a change to up-to-date subscribers, or a whole report to all."""
        now = self._clock.elapsed()
        self._last_report = report
        self._last_sent_at = now
        if change is None:
            self._needs_whole_report.clear()
        for sender, last_received_at in tuple(
            self._last_received_at_by_sender.items()
        ):
            if sender in self._needs_whole_report:
                continue
            is_expired = now - last_received_at > SUBSCRIBER_TIMEOUT
            if is_expired or self._send(sender, change or report) is False:
                self._last_received_at_by_sender.pop(sender)

    def _report_interval(
        self,
        report: KeeperReport,
        last_report: KeeperReport,
    ) -> timedelta:
        gateways = self.gateways()
        is_unchanged = not _differences(
            report, last_report, (*COUNT_FIELDS, *OPTIONAL_CHANGE_FIELDS)
        )
        return (
            idle_interval(gateways)
            if is_unchanged
            else count_interval(gateways)
        )


def _make_change(report: KeeperReport, previous: KeeperReport) -> KeeperLoad:
    """Return the differences from the previous report, and all counts."""
    changed_fields = _differences(report, previous, OPTIONAL_CHANGE_FIELDS)
    return KeeperLoad(
        target_id=report.target_id,
        follows=previous.revision,
        revision=report.revision,
        unstarted=report.unstarted,
        active=report.active,
        used_tokens=report.used_tokens,
        interval_ms=report.interval_ms,
        ordered_ms=report.ordered_ms if changed_fields else 0,
        **changed_fields,
    )


def _differences(
    report: KeeperReport,
    previous: KeeperReport,
    names: tuple[str, ...],
) -> dict[str, Any]:
    """Return the current values of those named fields that differ."""
    return {
        name: getattr(report, name)
        for name in names
        if getattr(report, name) != getattr(previous, name)
    }
