"""The agent's account of its target's memory, never overcommitted."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta


class RowState(enum.Enum):
    """The phase of a model or adapter between load and unload."""

    LOADING = 'loading'
    READY = 'ready'
    DROPPING = 'dropping'
    SETTLING = 'settling'


@dataclass(slots=True)
class Row:
    """Memory that is in use or may yet be used, in MB.

    `uncertain` means that an order's answer was lost, and `was_reported` that
    a report has contained the row: reports are late, so only a row that was
    reported before can be missing.
    """

    name: str
    version: str
    memory_mb: int
    state: RowState
    adapter: bool = False
    uncertain: bool = False
    was_reported: bool = False
    settled_at: timedelta = timedelta()

    @property
    def key(self) -> tuple[str, str]:
        """The name and version that identify the row."""
        return self.name, self.version


@dataclass(frozen=True, slots=True)
class ReportedRow:
    """One row of the target's own report."""

    name: str
    version: str
    memory_mb: int
    ready: bool
    adapter: bool = False


@dataclass(slots=True)
class Ledger:
    """Memory is reserved before an order and freed only by reports.

    After a restart the largest single load stays reserved
    (`startup_reserve_mb`) until reports were quiet for the settle time, since
    an order of an earlier instance may still arrive.
    """

    capacity_mb: int
    settle_time: timedelta
    startup_reserve_mb: int = 0
    row_by_key: dict[tuple[str, str], Row] = field(default_factory=dict)

    @property
    def free_mb(self) -> int:
        """Memory that is neither in use nor reserved."""
        taken = sum(row.memory_mb for row in self.row_by_key.values())
        return self.capacity_mb - taken - self.startup_reserve_mb

    def reserve(
        self,
        name: str,
        version: str,
        memory_mb: int,
        *,
        adapter: bool = False,
    ) -> Row | None:
        """Reserve memory for a load, or return None when it does not fit."""
        existing = self.row_by_key.get((name, version))
        if existing is not None:
            return existing if existing.state is RowState.LOADING else None
        if memory_mb > self.free_mb:
            return None
        row = Row(name, version, memory_mb, RowState.LOADING, adapter)
        self.row_by_key[row.key] = row
        return row

    def begin_drop(self, row: Row) -> None:
        """Stop offering a row; its memory stays reserved."""
        row.state = RowState.DROPPING

    def apply_report(
        self,
        rows: Iterable[ReportedRow],
        now: timedelta,
    ) -> None:
        """Update the ledger from the target's own report.

        A reported row that the ledger lacks was ordered by an earlier
        instance, and counts from now on.
        """
        reported = {(row.name, row.version): row for row in rows}
        for key, reported_row in reported.items():
            self._record_reported(key, reported_row)
        for key in list(self.row_by_key):
            if key not in reported:
                self._record_missing(self.row_by_key[key], now)

    def ready_rows(self) -> list[Row]:
        """Return what may be offered to gateways."""
        return [
            row
            for row in self.row_by_key.values()
            if row.state is RowState.READY
        ]

    def find_ready(self, name: str) -> Row | None:
        """Return the ready row of a name, the last loaded if several."""
        matching_rows = [row for row in self.ready_rows() if row.name == name]
        return matching_rows[-1] if matching_rows else None

    def _record_reported(
        self, key: tuple[str, str], reported: ReportedRow
    ) -> None:
        row = self.row_by_key.get(key)
        if row is None:
            row = Row(
                reported.name,
                reported.version,
                reported.memory_mb,
                RowState.LOADING,
                reported.adapter,
            )
            self.row_by_key[key] = row
        row.was_reported = True
        row.memory_mb = max(row.memory_mb, reported.memory_mb)
        if row.state is RowState.SETTLING:
            row.state = RowState.DROPPING
        if reported.ready and row.state is RowState.LOADING:
            row.state = RowState.READY

    def _record_missing(self, row: Row, now: timedelta) -> None:
        if row.state is RowState.DROPPING:
            self._record_missing_drop(row, now)
        elif row.state is RowState.SETTLING and now >= row.settled_at:
            del self.row_by_key[row.key]
        elif row.state is RowState.READY and row.was_reported:
            row.state = RowState.LOADING
            row.was_reported = False

    def _record_missing_drop(self, row: Row, now: timedelta) -> None:
        if row.was_reported and not row.uncertain:
            del self.row_by_key[row.key]
            return
        row.state = RowState.SETTLING
        row.settled_at = now + self.settle_time
