"""Header fields in the order in which they came."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

# Longer numbers are no times, sizes or counts.
DIGITS_MOST = 12
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)


@dataclass(frozen=True, slots=True)
class Headers:
    """Fields of one message; names compare without regard to case."""

    fields: tuple[tuple[str, str], ...] = ()

    def get(self, name: str) -> str | None:
        """Return the first field of that name, or None."""
        wanted = name.lower()
        for field_name, text in self.fields:
            if field_name.lower() == wanted:
                return text
        return None

    def without(self, names: Iterable[str]) -> 'Headers':
        """Return the fields whose names are not among the given ones."""
        dropped = {name.lower() for name in names}
        return Headers(
            tuple(
                field
                for field in self.fields
                if field[0].lower() not in dropped
            ),
        )

    def replaced(self, fields: Iterable[tuple[str, str]]) -> 'Headers':
        """Return these fields with the given ones in place of their names."""
        added = tuple(fields)
        kept = self.without(name for name, _ in added)
        return Headers(kept.fields + added)

    def end_to_end(self, kept: frozenset[str] = frozenset()) -> 'Headers':
        """Return the fields that do not concern one connection only.

        What a `Connection` field names is dropped too, except the lowercase
        names in `kept`, which no peer may remove that way.
        """
        named = {
            token.strip().lower()
            for name, text in self.fields
            if name.lower() == 'connection'
            for token in text.split(',')
        }
        return self.without(HOP_BY_HOP | (named - kept))

    def encoded(self) -> Iterator[bytes]:
        """Yield each field as a line."""
        for name, text in self.fields:
            yield f'{name}: {text}\r\n'.encode('latin-1')


def read_whole_number(text: str) -> int | None:
    """Return the number that a field holds, None if it is no whole one."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    return int(digits) if len(digits) <= DIGITS_MOST else None
