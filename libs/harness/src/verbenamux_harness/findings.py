"""Broken rules and faults that entries of the journal show."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

# As snapshots and recorded days are named after entries.
ID_LENGTH = 8


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that was broken, or a fault, on one day of one run."""

    entry_id: str
    command: str
    site: str
    day: str
    seen: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return (
            f'{self.entry_id} ({self.command} of {self.site}), '
            f'{self.day}: {self.seen}'
        )


class JournalEntryError(Exception):
    """A file of the journal is not an entry; the text names file and cause."""


def read_findings(journal: Path) -> Iterator[Finding]:
    """Yield each finding of each entry in a folder, in the files' order.

    Errors:
        JournalEntryError: the folder has no entry, or a file is none.

    """
    paths = sorted(journal.glob('*.json'))
    if not paths:
        raise JournalEntryError(f'{journal}: no entries')
    for path in paths:
        yield from _findings_of(_read_entry(path))


def unnamed(
    findings: Iterable[Finding], pages: Iterable[Path]
) -> list[Finding]:
    """Return the findings whose entry no page names by its id."""
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
    if not isinstance(entry_id, str) or len(entry_id) < ID_LENGTH:
        raise JournalEntryError(f'{path}: no id of {ID_LENGTH} or more')
    return entry


def _findings_of(entry: dict[str, Any]) -> Iterator[Finding]:
    for day, seen in _seen_in(entry, 'no day named'):
        yield Finding(
            entry['id'][:ID_LENGTH],
            str(entry.get('cmd')),
            str(entry.get('site')),
            day,
            seen,
        )


def _seen_in(node: Any, day: str) -> Iterator[tuple[str, str]]:
    """Yield day and what was seen, at any depth.

    What has no name of its own belongs to the day that it stands in.
    """
    if isinstance(node, list):
        for each in node:
            yield from _seen_in(each, day)
    if isinstance(node, dict):
        day = str(node.get('name') or day)
        for name in ('rules', 'fault'):
            if node.get(name):
                yield day, f'{name} {_as_text(node[name])}'
        for child in node.values():
            yield from _seen_in(child, day)


def _as_text(told: Any) -> str:
    return told if isinstance(told, str) else msgspec.json.encode(told).decode()
