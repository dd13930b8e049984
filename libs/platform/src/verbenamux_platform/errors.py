"""How the platform can fail its clients."""

import enum
from dataclasses import dataclass


class PlatformFault(enum.Enum):
    """The kinds of failure, by what they say of the effect."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """A call to the platform without a usable answer.

    After UNREACHABLE the call may still have taken effect.
    """

    fault: PlatformFault
    message: str
    first_offset: int = 0
