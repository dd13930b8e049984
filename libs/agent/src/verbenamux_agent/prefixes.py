"""Following an engine's cache events, which come late and with gaps."""

from collections import deque

import msgspec
from returns.pipeline import is_successful

from verbenamux_agent.target import CacheEvent, Call, TargetClient

PUBLISHED_MOST = 64


class PrefixFollower:
    """The newest stored blocks; a gap makes the map untrusted once."""

    def __init__(self, client: TargetClient) -> None:
        """Start before the first event."""
        self.trusted = True
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
        self.trusted = True
        for event in events:
            if event.sequence != self._sequence + 1:
                self._rebuild()
            self._sequence = event.sequence
            if event.stored:
                self.recent.append(event.block)

    def _rebuild(self) -> None:
        self.trusted = False
        self.recent.clear()
        answer = self._client.exchange(Call('GET', '/cache/blocks'))
        if is_successful(answer):
            blocks = msgspec.json.decode(answer.unwrap(), type=list[int])
            self.recent.extend(blocks)
