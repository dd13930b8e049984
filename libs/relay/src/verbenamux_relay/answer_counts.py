"""Counts the recent answers with each prompt part, in a bounded table.

Load pattern: many parts are asked for once, some all the time. A part's count
halves in a fixed time; parts without recent answers make room for others.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

# The count of a part's recent answers halves in this time.
ANSWER_HALF_LIFE = timedelta(seconds=5)
MAX_RECENT_PARTS = 4000


@dataclass(slots=True)
class _Answered:
    """Answers with a part: their count, which decays, and the last one."""

    count: float
    at: timedelta


class AnswerCounts:
    """How many answers with each part began lately."""

    def __init__(self) -> None:
        """Start without answers."""
        self._by_part: OrderedDict[str, _Answered] = OrderedDict()

    def record(self, part: str, now: timedelta) -> None:
        """Count an answer with a part."""
        self._by_part[part] = _Answered(self.recent(part, now) + 1, now)
        self._by_part.move_to_end(part)
        if len(self._by_part) > MAX_RECENT_PARTS:
            self._by_part.popitem(last=False)

    def recent(self, part: str, now: timedelta) -> float:
        """Return how many answers with a part began, the recent ones most."""
        answered = self._by_part.get(part)
        if answered is None:
            return 0
        return answered.count * 0.5 ** ((now - answered.at) / ANSWER_HALF_LIFE)

    def last_at(self, part: str) -> timedelta | None:
        """Return when the last answer with a part began, None if unknown."""
        answered = self._by_part.get(part)
        return answered.at if answered else None
