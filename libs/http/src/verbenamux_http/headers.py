"""Header fields in the order in which they came."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

# No valid time, size or count has more digits.
MAX_DIGITS = 12
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
    """Fields of one message; names are case-insensitive."""

    fields: tuple[tuple[str, str], ...] = ()

    def get(self, name: str) -> str | None:
        """Return the first field of that name, or None."""
        lowercase_name = name.lower()
        for field_name, text in self.fields:
            if field_name.lower() == lowercase_name:
                return text
        return None

    def without(self, names: Iterable[str]) -> 'Headers':
        """Return the fields whose names are not among the given ones."""
        lowercase_names = {name.lower() for name in names}
        return Headers(
            tuple(
                field
                for field in self.fields
                if field[0].lower() not in lowercase_names
            ),
        )

    def replaced(self, fields: Iterable[tuple[str, str]]) -> 'Headers':
        """Return these fields with those of the given names replaced."""
        replacements = tuple(fields)
        kept = self.without(name for name, _ in replacements)
        return Headers(kept.fields + replacements)

    def end_to_end(self, kept: frozenset[str] = frozenset()) -> 'Headers':
        """Return the fields that do not concern one connection only.

        What a `Connection` field names is dropped too, except the lowercase
        names in `kept`, which no peer may remove that way.
        """
        connection_options = {
            token.strip().lower()
            for name, text in self.fields
            if name.lower() == 'connection'
            for token in text.split(',')
        }
        return self.without(HOP_BY_HOP | (connection_options - kept))

    def encoded(self) -> Iterator[bytes]:
        """Yield each field as a line."""
        for name, text in self.fields:
            yield f'{name}: {text}\r\n'.encode('latin-1')


def read_whole_number(text: str) -> int | None:
    """Return the whole number that a field holds, or None."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    return int(digits) if len(digits) <= MAX_DIGITS else None
