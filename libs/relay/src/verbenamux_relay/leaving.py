"""How soon a leaving target is left alone, by the bounds of the site."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LeavingBounds:
    """What the site promises of targets that leave.

    `drain` runs from the store's word that a target leaves to the last send
    to it. Whatever went wrong within `stable_window` excuses a late one.
    """

    drain: timedelta
    stable_window: timedelta


@dataclass(frozen=True, slots=True)
class News:
    """How a change in the registry came to be known here; times monotonic.

    `reader` made the read. All that the store had taken at `current_at` was
    known before; the newest call of this gateway that failed began at
    `failed_at`.
    """

    reader: str = ''
    current_at: timedelta | None = None
    failed_at: timedelta | None = None
