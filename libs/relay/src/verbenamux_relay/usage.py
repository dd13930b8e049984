"""Reports usage to other gateways incrementally, and reassembles it.

Load pattern: many gateways report to each other several times a second, while
few of their sums change. A notice holds the changes since the previous one on
the same link. Notices are numbered, so that a receiver detects a missing one
and requests the whole usage again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from verbenamux_contracts.messages import CrashEvidence, UsageNotice

MILLISECOND = timedelta(milliseconds=1)

Amount = TypeVar('Amount', int, float)


@dataclass(frozen=True, slots=True)
class Usage:
    """Spending of a gateway by workspace, and its requests by model.

    `left` is what each workspace may still spend according to it. `age` is how
    long it had run then; `version` counts its reports. `evidence` is what it
    knows of prompt parts that crash targets.
    """

    spent: Mapping[str, float] = field(default_factory=dict)
    left: Mapping[str, float] = field(default_factory=dict)
    waiting: Mapping[str, int] = field(default_factory=dict)
    asked: Mapping[str, int] = field(default_factory=dict)
    age: timedelta = timedelta()
    version: int = 0
    evidence: CrashEvidence = field(default_factory=CrashEvidence)


class UsageReporter:
    """The sending side of one link; keeps the usage last reported."""

    def __init__(self, sender: str, instance: str) -> None:
        """Start with nothing reported."""
        self._sender = sender
        self._instance = instance
        self._reported: Usage | None = None
        self._number = 0

    def forget(self) -> None:
        """Report everything next time: the peer may have missed a notice."""
        self._reported = None

    def notice(
        self,
        usage: Usage,
        *,
        wants_whole: bool = False,
        is_leaving: bool = False,
        is_urgent: bool = False,
    ) -> UsageNotice:
        """Return the changes since the last report, and mark them reported.

        `wants_whole` asks the peer in turn to report everything, `is_urgent`
        to pass this on at once.
        """
        reported = self._reported
        before = reported or Usage()
        self._reported = usage
        self._number += 1
        return UsageNotice(
            sender=self._sender,
            instance=self._instance,
            number=self._number,
            whole=reported is None,
            wants_whole=wants_whole,
            spent=_changed(before.spent, usage.spent),
            left=dict(usage.left) if reported is None else {},
            waiting=_changed(before.waiting, usage.waiting),
            asked=_changed(before.asked, usage.asked),
            leaving=is_leaving,
            age_ms=usage.age // MILLISECOND,
            version=usage.version,
            urgent=is_urgent,
            evidence=(
                None
                if reported and usage.evidence == before.evidence
                else usage.evidence
            ),
        )


class UsageReader:
    """The receiving side of one link; reassembles the peer's usage."""

    def __init__(self) -> None:
        """Start with no usage received."""
        self._received: Usage | None = None
        self._number = 0

    def read(self, notice: UsageNotice) -> Usage | None:
        """Return the peer's whole usage; None if a notice is missing."""
        current = Usage() if notice.whole else self._received
        if current is None or not (
            notice.whole or notice.number == self._number + 1
        ):
            self._received = None
            return None
        self._number = notice.number
        self._received = Usage(
            spent={**current.spent, **notice.spent},
            left=notice.left,
            waiting={**current.waiting, **notice.waiting},
            asked={**current.asked, **notice.asked},
            age=MILLISECOND * notice.age_ms,
            version=notice.version,
            evidence=notice.evidence or current.evidence,
        )
        return self._received


def _changed(
    before: Mapping[str, Amount],
    now: Mapping[str, Amount],
) -> dict[str, Amount]:
    """Return the changed amounts; removed ones count as zero."""
    changed = {
        name: amount
        for name, amount in now.items()
        if before.get(name) != amount
    }
    zero_amount = type(next(iter(before.values()), 0))()
    removed = before.keys() - now.keys()
    return changed | {name: zero_amount for name in removed if before[name]}
