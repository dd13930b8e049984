"""The stand-in of a model engine with continuous batching."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from verbenamux_contracts.clock import Clock, milliseconds
from verbenamux_standin.generation import (
    BLOCK_WORDS,
    DONE,
    Attempt,
    CompletionBody,
    count_words,
    last_event,
    prefix_hashes,
    prompt_digest,
    token_event,
    token_text,
)
from verbenamux_standin.history import History
from verbenamux_standin.web import Faults, Request

READ_POLL_INTERVAL = timedelta(seconds=1)


class EngineSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine's speed, parallel slots and cache size."""

    slots: int
    prefill_tokens_per_second: int
    decode_ms: int
    cache_blocks: int


@dataclass(slots=True)
class CacheEvent:
    """A change of the prefix cache; sequence numbers reveal lost events."""

    sequence: int
    block: int
    stored: bool


class PrefixCache:
    """Cached prompt blocks; the least recently used are evicted first."""

    def __init__(self, capacity: int, faults: Faults) -> None:
        """Start empty."""
        self.events: deque[CacheEvent] = deque(maxlen=4 * capacity + 1)
        self._capacity = capacity
        self._faults = faults
        self._sequence = 0
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def blocks(self) -> list[int]:
        """Return the hashes of all cached blocks."""
        return list(self._blocks)

    def lookup(self, hashes: list[int]) -> int:
        """Return how many leading blocks are cached."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: list[int]) -> None:
        """Cache blocks and evict the least recently used beyond capacity."""
        for block in hashes:
            if block not in self._blocks:
                self._publish(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._publish(dropped, stored=False)

    def _publish(self, block: int, *, stored: bool) -> None:
        self._sequence += 1
        if self._faults.drop_cache_events:
            self._faults.drop_cache_events -= 1
            return
        self.events.append(CacheEvent(self._sequence, block, stored))


class Generator:
    """Runs attempts in a limited number of slots."""

    def __init__(
        self,
        pace: EngineSpeed,
        clock: Clock,
        history: History,
        faults: Faults,
    ) -> None:
        """Start with nothing running."""
        self.attempt_by_id: dict[str, Attempt] = {}
        self.tombstones: set[str] = set()
        self.running = 0
        self.waiting = 0
        self.cache = PrefixCache(pace.cache_blocks, faults)
        self._speed = pace
        self._clock = clock
        self._history = history
        self._faults = faults
        self._slots = BoundedSemaphore(pace.slots)
        self._prefill = BoundedSemaphore(1)

    def start(
        self,
        request: Request,
        body: CompletionBody,
        *,
        chat: bool,
    ) -> Attempt:
        """Start an attempt; it runs even if nobody reads it."""
        attempt_id = request.header_by_name.get('x-request-id', '')
        first = int(request.header_by_name.get('x-continue-from', '0'))
        attempt = Attempt(attempt_id, body, chat, first)
        self.attempt_by_id[attempt_id] = attempt
        gevent.spawn(self._run, attempt, request)
        return attempt

    def cancel(self, attempt_id: str) -> str:
        """Cancel an attempt for good and return whether it had run."""
        self.tombstones.add(attempt_id)
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None or not attempt.started:
            if attempt is not None:
                attempt.cancelled = True
            return 'not_run'
        attempt.cancelled = True
        attempt.wake()
        return 'ran'

    def read(self, attempt: Attempt, start: int) -> Iterator[bytes]:
        """Yield a stream's events from number `start` as they are generated."""
        index = max(0, start - attempt.first)
        sent = 0
        while True:
            while index < len(attempt.events):
                self._inject_stream_cut(sent)
                yield _frame(attempt.first + index, attempt.events[index])
                index += 1
                sent += 1
            if attempt.finished or attempt.cancelled:
                break
            attempt.changed.wait(READ_POLL_INTERVAL.total_seconds())
        if attempt.finished:
            yield b'data: ' + DONE + b'\n\n'

    def _inject_stream_cut(self, sent: int) -> None:
        limit = self._faults.cut_after_chunks
        if limit and sent >= limit:
            self._faults.cut_after_chunks = 0
            raise ConnectionAbortedError

    def _run(self, attempt: Attempt, request: Request) -> None:
        self.waiting += 1
        with self._slots:
            self.waiting -= 1
            if attempt.cancelled:
                attempt.wake()
                return
            attempt.started = True
            self.running += 1
            self._history.start(attempt.attempt_id, request)
            self._generate(attempt)
            self._history.finish(attempt.attempt_id)
            self.running -= 1

    def _generate(self, attempt: Attempt) -> None:
        text = attempt.body.text
        self._prefill_prompt(text)
        name = self._event_name(attempt)
        is_crossed = name != attempt.attempt_id
        digest = prompt_digest(name if is_crossed else text)
        last = attempt.body.max_tokens
        for index in range(attempt.first, last):
            if attempt.cancelled:
                return
            step = self._speed.decode_ms + self._faults.slow_ms
            self._clock.sleep(milliseconds(step))
            piece = token_text(digest, index)
            attempt.publish(token_event(attempt, name, piece))
        attempt.publish(last_event(attempt, name, last))
        attempt.finished = True
        attempt.wake()

    def _prefill_prompt(self, text: str) -> None:
        hashes = list(prefix_hashes(text))
        with self._prefill:
            cached = self.cache.lookup(hashes) * BLOCK_WORDS
            uncached = max(0, count_words(text) - cached)
            seconds = uncached / self._speed.prefill_tokens_per_second
            self._clock.sleep(timedelta(seconds=seconds))
            self.cache.store(hashes)

    def _event_name(self, attempt: Attempt) -> str:
        if not self._faults.cross_answers:
            return attempt.attempt_id
        self._faults.cross_answers -= 1
        return f'crossed-{attempt.attempt_id}'


def _frame(index: int, event: bytes) -> bytes:
    return b'id: %d\ndata: %s\n\n' % (index, event)
