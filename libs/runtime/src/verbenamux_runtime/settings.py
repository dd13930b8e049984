"""Reading and checking JSON settings files."""

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from verbenamux_contracts.decoding import DECODE_ERRORS

Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$',
        description='IP number and port, for example 127.0.0.1:8080',
    ),
]

SettingsType = TypeVar('SettingsType', bound=msgspec.Struct)
DURATION_PATTERN = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|min|h)$')
FIELD_PATTERN = re.compile('(?:required|unknown) field `([^`]+)`')
SIZE_PATTERN = re.compile(r'^(\d+)(B|KB|MB|GB)$')
SECONDS_BY_UNIT = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}
BYTES_BY_UNIT = {'B': 1, 'KB': 1000, 'MB': 1000**2, 'GB': 1000**3}
EXIT_BAD_SETTINGS = 2


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of every program's settings; unknown fields are errors."""


class Duration(timedelta):
    """A duration written with its unit: 250ms, 5s, 10min, 1h."""


class Size(int):
    """A size written with its unit: 512B, 64KB, 8MB, 2GB."""


@dataclass(frozen=True, slots=True)
class SettingsFailure:
    """An error in a settings file.

    `path` is that of the field, such as `$.log.address`; `$` is the whole
    file.
    """

    path: str
    message: str


def report_settings(failure: SettingsFailure) -> None:
    """Print the path of the field and what was expected there."""
    line = f'settings: {failure.path}: {failure.message}\n'
    sys.stderr.write(line)


def parse_duration(text: object) -> Duration:
    """Return the duration in a text with a unit, or raise ValueError."""
    match = DURATION_PATTERN.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(
            'Expected a duration with a unit, such as 250ms, 5s or 10min',
        )
    return Duration(
        seconds=float(match.group(1)) * SECONDS_BY_UNIT[match.group(2)],
    )


def parse_size(text: object) -> Size:
    """Return the bytes in a text with a unit, or raise ValueError."""
    match = SIZE_PATTERN.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError('Expected a size with a unit, such as 64KB or 8MB')
    return Size(int(match.group(1)) * BYTES_BY_UNIT[match.group(2)])


def default_duration(text: str) -> Any:
    """Return a settings field that has a duration by default."""
    return msgspec.field(default_factory=partial(parse_duration, text))


def default_size(text: str) -> Any:
    """Return a settings field that has a size by default."""
    return msgspec.field(default_factory=partial(parse_size, text))


def default_section(settings_type: type[Settings]) -> Any:
    """Return a settings field that is a section with default values."""
    return msgspec.field(default_factory=settings_type)


PARSER_BY_TYPE: dict[type, Callable[[object], object]] = {
    Duration: parse_duration,
    Size: parse_size,
}


def decode_settings(
    encoded: bytes,
    settings_type: type[SettingsType],
) -> Result[SettingsType, SettingsFailure]:
    """Return valid settings, or the first invalid field."""
    try:
        return Success(
            msgspec.json.decode(
                encoded,
                type=settings_type,
                dec_hook=_decode_with_unit,
            ),
        )
    except DECODE_ERRORS as error:
        return Failure(_failure_from(str(error)))


def read_settings(
    path: Path,
    settings_type: type[SettingsType],
) -> Result[SettingsType, SettingsFailure]:
    """Read a settings file and check it."""
    try:
        encoded = path.read_bytes()
    except OSError as error:
        return Failure(SettingsFailure('$', f'cannot read {path}: {error}'))
    return decode_settings(encoded, settings_type)


def settings_schema(settings_type: type[Any]) -> bytes:
    """Return the JSON schema of a settings type."""
    schema = msgspec.json.schema(settings_type, schema_hook=_schema_with_unit)
    return msgspec.json.format(msgspec.json.encode(schema), indent=2)


def _decode_with_unit(expected: type, written: object) -> object:
    parser = PARSER_BY_TYPE.get(expected)
    if parser is None:
        raise NotImplementedError(expected.__name__)
    return parser(written)


def _schema_with_unit(expected: type) -> dict[str, Any]:
    pattern = DURATION_PATTERN if expected is Duration else SIZE_PATTERN
    return {'type': 'string', 'pattern': pattern.pattern}


def _failure_from(message: str) -> SettingsFailure:
    text, marker, location = message.rpartition(' - at `')
    path = location.rstrip('`') if marker else '$'
    field = FIELD_PATTERN.search(message)
    if field is not None:
        path = f'{path}.{field.group(1)}'
    return SettingsFailure(path, text or message)
