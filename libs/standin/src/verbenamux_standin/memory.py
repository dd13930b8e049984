"""The engine stand-in's memory, which records any overcommit itself."""

from dataclasses import dataclass, field
from typing import Any

from verbenamux_standin.history import History

LOADING = 'loading'
READY = 'ready'


@dataclass(slots=True)
class Resident:
    """One model or adapter in memory."""

    name: str
    version: str
    memory_mb: int
    state: str = LOADING
    adapter: bool = False

    def as_report(self) -> dict[str, Any]:
        """Return the row that the engine's report shows."""
        return {
            'name': self.name,
            'version': self.version,
            'memory_mb': self.memory_mb,
            'state': self.state,
            'adapter': self.adapter,
        }


@dataclass(slots=True)
class Memory:
    """What is loaded; filling it beyond capacity is written down."""

    capacity_mb: int
    history: History
    residents: dict[tuple[str, str], Resident] = field(default_factory=dict)

    @property
    def used_mb(self) -> int:
        """Memory in use, loads in flight included."""
        return sum(row.memory_mb for row in self.residents.values())

    def begin(self, row: Resident) -> None:
        """Take the memory for a load."""
        self.residents[row.name, row.version] = row
        self._note('load_began', row)
        if self.used_mb > self.capacity_mb:
            self._note('overcommit', row)

    def end(self, row: Resident) -> None:
        """Mark a load as ready, unless it was dropped meanwhile."""
        row.state = READY
        self._note('load_done', row)

    def drop(self, name: str, version: str) -> None:
        """Free the memory of a model or adapter."""
        row = self.residents.pop((name, version), None)
        if row is not None:
            self._note('unloaded', row)

    def holds(self, name: str) -> bool:
        """Tell whether any version of a name is ready."""
        return any(
            row.state == READY
            for row in self.residents.values()
            if row.name == name
        )

    def _note(self, event: str, row: Resident) -> None:
        self.history.write(
            event,
            model=row.name,
            version=row.version,
            adapter=row.adapter,
            used_mb=self.used_mb,
            capacity_mb=self.capacity_mb,
        )
