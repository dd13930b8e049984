"""The engine stand-in's memory; it records any overcommit."""

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
        """Return the row for the engine's report."""
        return {
            'name': self.name,
            'version': self.version,
            'memory_mb': self.memory_mb,
            'state': self.state,
            'adapter': self.adapter,
        }


@dataclass(slots=True)
class Memory:
    """Loaded models and adapters; an overcommit goes to the history."""

    capacity_mb: int
    history: History
    residents: dict[tuple[str, str], Resident] = field(default_factory=dict)

    @property
    def used_mb(self) -> int:
        """Memory in use, including loads in progress."""
        return sum(resident.memory_mb for resident in self.residents.values())

    def begin_load(self, resident: Resident) -> None:
        """Reserve the memory for a load."""
        self.residents[resident.name, resident.version] = resident
        self._record_event('load_began', resident)
        if self.used_mb > self.capacity_mb:
            self._record_event('overcommit', resident)

    def end_load(self, resident: Resident) -> None:
        """Mark a load as ready, unless it was dropped meanwhile."""
        resident.state = READY
        self._record_event('load_done', resident)

    def drop(self, name: str, version: str) -> None:
        """Free the memory of a model or adapter."""
        resident = self.residents.pop((name, version), None)
        if resident is not None:
            self._record_event('unloaded', resident)

    def has_ready(self, name: str) -> bool:
        """Return whether any version of a model or adapter is ready."""
        return any(
            resident.state == READY
            for resident in self.residents.values()
            if resident.name == name
        )

    def _record_event(self, event: str, resident: Resident) -> None:
        self.history.write(
            event,
            model=resident.name,
            version=resident.version,
            adapter=resident.adapter,
            used_mb=self.used_mb,
            capacity_mb=self.capacity_mb,
        )
