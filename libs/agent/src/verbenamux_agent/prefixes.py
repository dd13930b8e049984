"""Tracking of an engine's cache events, which arrive late and with gaps."""

from collections import deque
from dataclasses import dataclass, replace

import msgspec
from returns.pipeline import is_successful

from verbenamux_agent.target import CacheEvent, Call, TargetClient

MAX_RECENT_BLOCKS = 64


@dataclass(frozen=True, slots=True)
class Progress:
    """Numbers of blocks stored and of gaps detected."""

    stored: int = 0
    gaps: int = 0


class PrefixFollower:
    """The most recently stored blocks, rebuilt from all after a gap."""

    def __init__(self, client: TargetClient) -> None:
        """Start before the first event."""
        self.progress = Progress()
        self.recent: deque[int] = deque(maxlen=MAX_RECENT_BLOCKS)
        self._client = client
        self._sequence = 0

    def poll(self) -> None:
        """Fetch new events, and all blocks after a gap."""
        call = Call('GET', f'/cache/events?after={self._sequence}')
        answer = self._client.exchange(call)
        if not is_successful(answer):
            return
        events = msgspec.json.decode(answer.unwrap(), type=list[CacheEvent])
        for event in events:
            if event.sequence != self._sequence + 1:
                self._rebuild()
            self._sequence = event.sequence
            if event.stored:
                self._add(event.block)

    def has_no_gap_since(self, earlier: Progress) -> bool:
        """Return whether no gap was detected since then."""
        return earlier.gaps == self.progress.gaps

    def stored_since(self, earlier: Progress) -> tuple[int, ...]:
        """Return the blocks stored since then, as far as still in memory."""
        count = min(self.progress.stored - earlier.stored, len(self.recent))
        return tuple(self.recent)[len(self.recent) - count :]

    def _add(self, block: int) -> None:
        self.recent.append(block)
        self.progress = replace(
            self.progress,
            stored=self.progress.stored + 1,
        )

    def _rebuild(self) -> None:
        self.progress = replace(
            self.progress,
            gaps=self.progress.gaps + 1,
        )
        self.recent.clear()
        answer = self._client.exchange(Call('GET', '/cache/blocks'))
        if is_successful(answer):
            blocks = msgspec.json.decode(answer.unwrap(), type=list[int])
            for block in blocks:
                self._add(block)
