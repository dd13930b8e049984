"""The agent's account of its target's memory; it is never overdrawn."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta


class RowState(enum.Enum):
    """Where a model or adapter is on its way in or out of memory."""

    LOADING = 'loading'
    READY = 'ready'
    DROPPING = 'dropping'
    SETTLING = 'settling'


@dataclass(slots=True)
class Row:
    """Memory that is taken or may yet be taken, in MB.

    `uncertain` says that an order's answer was lost, and `seen` that a
    report has shown the row: reports are late, so only a row that was
    seen can be missed.
    """

    name: str
    version: str
    memory_mb: int
    state: RowState
    adapter: bool = False
    uncertain: bool = False
    seen: bool = False
    settled_at: timedelta = timedelta()

    @property
    def key(self) -> tuple[str, str]:
        """What the row is known by."""
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
    """Reservations come before orders; only reports free memory.

    After a restart the largest single load stays reserved (`held_back_mb`)
    until reports were quiet for the settle time, since an order of an
    earlier instance may still arrive.
    """

    capacity_mb: int
    settle: timedelta
    held_back_mb: int = 0
    row_by_key: dict[tuple[str, str], Row] = field(default_factory=dict)

    @property
    def free_mb(self) -> int:
        """Memory that nothing holds and nothing may still take."""
        taken = sum(row.memory_mb for row in self.row_by_key.values())
        return self.capacity_mb - taken - self.held_back_mb

    def reserve(
        self,
        name: str,
        version: str,
        memory_mb: int,
        *,
        adapter: bool = False,
    ) -> Row | None:
        """Take memory for a load, or return None when it does not fit."""
        known = self.row_by_key.get((name, version))
        if known is not None:
            return known if known.state is RowState.LOADING else None
        if memory_mb > self.free_mb:
            return None
        row = Row(name, version, memory_mb, RowState.LOADING, adapter)
        self.row_by_key[row.key] = row
        return row

    def begin_drop(self, row: Row) -> None:
        """Stop offering a row; its memory stays taken."""
        row.state = RowState.DROPPING

    def settle_report(
        self,
        rows: Iterable[ReportedRow],
        now: timedelta,
    ) -> None:
        """Bring the ledger in line with the target's own report.

        A row in the report that is unknown here was ordered by an earlier
        instance, and counts from now on.
        """
        reported = {(row.name, row.version): row for row in rows}
        for key, seen in reported.items():
            self._see(key, seen)
        for key in list(self.row_by_key):
            if key not in reported:
                self._miss(self.row_by_key[key], now)

    def ready_rows(self) -> list[Row]:
        """Return what may be offered to gateways."""
        return [
            row
            for row in self.row_by_key.values()
            if row.state is RowState.READY
        ]

    def find_ready(self, name: str) -> Row | None:
        """Return the ready row of a name, the last loaded if several."""
        found = [row for row in self.ready_rows() if row.name == name]
        return found[-1] if found else None

    def _see(self, key: tuple[str, str], seen: ReportedRow) -> None:
        row = self.row_by_key.get(key)
        if row is None:
            row = Row(
                seen.name,
                seen.version,
                seen.memory_mb,
                RowState.LOADING,
                seen.adapter,
            )
            self.row_by_key[key] = row
        row.seen = True
        row.memory_mb = max(row.memory_mb, seen.memory_mb)
        if row.state is RowState.SETTLING:
            row.state = RowState.DROPPING
        if seen.ready and row.state is RowState.LOADING:
            row.state = RowState.READY

    def _miss(self, row: Row, now: timedelta) -> None:
        if row.state is RowState.DROPPING:
            self._miss_dropping(row, now)
        elif row.state is RowState.SETTLING and now >= row.settled_at:
            del self.row_by_key[row.key]
        elif row.state is RowState.READY and row.seen:
            row.state = RowState.LOADING
            row.seen = False

    def _miss_dropping(self, row: Row, now: timedelta) -> None:
        if row.seen and not row.uncertain:
            del self.row_by_key[row.key]
            return
        row.state = RowState.SETTLING
        row.settled_at = now + self.settle
