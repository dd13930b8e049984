"""Following an engine's cache events, which come late and with gaps."""

from collections import deque
from dataclasses import dataclass, replace

import msgspec
from returns.pipeline import is_successful

from verbenamux_agent.target import CacheEvent, Call, TargetClient

PUBLISHED_MOST = 64


@dataclass(frozen=True, slots=True)
class Progress:
    """How many blocks were stored, and how often a gap was met."""

    stored: int = 0
    gaps: int = 0


class PrefixFollower:
    """The newest stored blocks, rebuilt from all after a gap."""

    def __init__(self, client: TargetClient) -> None:
        """Start before the first event."""
        self.progress = Progress()
        self.recent: deque[int] = deque(maxlen=PUBLISHED_MOST)
        self._client = client
        self._sequence = 0

    def poll(self) -> None:
        """Fetch new events, or all blocks anew after a gap."""
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

    def trusts(self, before: Progress) -> bool:
        """Tell whether no gap was met since then."""
        return before.gaps == self.progress.gaps

    def since(self, before: Progress) -> tuple[int, ...]:
        """Return the blocks stored since then, as far as they are kept."""
        fresh = min(self.progress.stored - before.stored, len(self.recent))
        return tuple(self.recent)[len(self.recent) - fresh :]

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
