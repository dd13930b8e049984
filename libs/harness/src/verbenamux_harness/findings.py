"""Rule violations and faults recorded in journal entries."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

# Snapshots and recorded days are named by this prefix of an entry id.
ID_PREFIX_LENGTH = 8


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule violation or a fault on one day of one run."""

    entry_id: str
    command: str
    site: str
    day: str
    observation: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return (
            f'{self.entry_id} ({self.command} of {self.site}), '
            f'{self.day}: {self.observation}'
        )


class JournalEntryError(Exception):
    """A journal file is no valid entry; the message has file and cause."""


def read_findings(journal: Path) -> Iterator[Finding]:
    """Yield each finding of each entry in a folder, in file name order.

    Errors:
        JournalEntryError: the folder has no entry, or a file is invalid.

    """
    paths = sorted(journal.glob('*.json'))
    if not paths:
        raise JournalEntryError(f'{journal}: no entries')
    for path in paths:
        yield from _findings_of(_read_entry(path))


def find_undocumented(
    findings: Iterable[Finding], pages: Iterable[Path]
) -> list[Finding]:
    """Return the findings whose entry id is on none of the pages."""
    texts = [page.read_text() for page in pages]
    return [
        finding
        for finding in findings
        if not any(finding.entry_id in text for text in texts)
    ]


def _read_entry(path: Path) -> dict[str, Any]:
    try:
        entry = msgspec.json.decode(path.read_bytes())
    except msgspec.DecodeError as error:
        raise JournalEntryError(f'{path}: {error}') from error
    if not isinstance(entry, dict):
        raise JournalEntryError(f'{path}: not an object')
    entry_id = entry.get('id')
    if not isinstance(entry_id, str) or len(entry_id) < ID_PREFIX_LENGTH:
        raise JournalEntryError(f'{path}: no id of {ID_PREFIX_LENGTH} or more')
    return entry


def _findings_of(entry: dict[str, Any]) -> Iterator[Finding]:
    for day, observation in _find_observations(entry, 'no day named'):
        yield Finding(
            entry['id'][:ID_PREFIX_LENGTH],
            str(entry.get('cmd')),
            str(entry.get('site')),
            day,
            observation,
        )


def _find_observations(node: Any, day: str) -> Iterator[tuple[str, str]]:
    """Yield day and observation of each finding, at any depth.

    A node without a name belongs to the day that contains it.
    """
    if isinstance(node, list):
        for element in node:
            yield from _find_observations(element, day)
    if isinstance(node, dict):
        day = str(node.get('name') or day)
        for name in ('rules', 'fault'):
            if node.get(name):
                yield day, f'{name} {_to_text(node[name])}'
        for child in node.values():
            yield from _find_observations(child, day)


def _to_text(content: Any) -> str:
    return (
        content
        if isinstance(content, str)
        else msgspec.json.encode(content).decode()
    )
