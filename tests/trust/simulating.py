"""Gateways that follow the configuration, on a clock moved by hand.

The programs' own code reads, shares and trusts; the store, the ways to it and
between gateways, and the hosts are simulated. Nothing moves by itself: what is
due happens in order, and each greenlet runs on until it waits again.
"""

import itertools
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import gevent
import msgspec
from gevent.event import Event
from returns.result import Failure, Success

from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_platform import feeds
from verbenamux_platform.following import Source
from verbenamux_platform.settings import KEY_TRUST_PART
from verbenamux_platform.store import (
    CALL_MOST,
    KeyedRecord,
    Newest,
    keyed_record,
)
from verbenamux_relay.gateway import GatewaySetup, RelayGateway
from verbenamux_relay.leaving import LeavingBounds
from verbenamux_relay.picking import Beliefs, PaceBook
from verbenamux_relay.prompts import PromptMemory
from verbenamux_relay.sharing import SharedReads
from verbenamux_relay.targets import TargetBook
from verbenamux_runtime.metrics import Metrics

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
# How long behind the store's word a withdrawn key may still be used.
REVOKE = 5 * SECOND
# Trouble this long ago, and the time that keys count, excuse nothing any more.
MEMORY = REVOKE + 4 * SECOND
WAY = 5 * MS
# Records in one answer of the store; its limit in bytes, made small.
READ_RECORDS_MOST = 2
# Greenlets that wake one another in a row at one moment: a reply, its reader,
# and what the reader answers; with room to spare.
WAKES_MOST = 8
NO_ANSWER = Failure(LogFailure(LogFault.UNANSWERED, 'no answer'))
STORE = 'store'


class Timeline:
    """What is due, in order."""

    def __init__(self, check: Callable[[], None]) -> None:
        self.now = timedelta()
        self._check = check
        self._due: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        heappush(self._due, (self.now + delay, next(self._numbers), action))

    def run_for(self, duration: timedelta) -> None:
        end = self.now + duration
        settle()
        while self._due and self._due[0][0] <= end:
            self.now, _, action = heappop(self._due)
            self._check()
            action()
            settle()
            self._check()
        self.now = end
        self._check()


def settle() -> None:
    """Let all greenlets run until each waits."""
    for _ in range(WAKES_MOST):
        gevent.sleep(0)


class Store:
    """The configuration's topic."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.records: list[bytes] = []
        self.taken_at: list[timedelta] = []
        self.is_down = False
        self._waiting: list[Callable[[], None]] = []

    def put(self) -> None:
        """Take the next version: it drops one key and adds another."""
        version = len(self.records)
        keys = [f'k{number}' for number in range(version, version + 3)]
        tenant = {'name': 'w', 'api_keys': keys}
        self.records.append(
            msgspec.json.encode(
                {
                    'version': version,
                    'routes': [],
                    'services': [],
                    'tenants': [tenant],
                },
            ),
        )
        self.taken_at.append(self.timeline.now)
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

    def newest(self, answer) -> None:
        record = KeyedRecord(feeds.CONFIG_KEY, self.records[-1])
        answer(Success(Newest((record,), len(self.records))))

    def read(self, from_offset: int, wait: timedelta, answer) -> None:
        answered = []

        def end() -> None:
            if not answered:
                answered.append(True)
                answer(Success(self._batch(from_offset)))

        if len(self.records) > from_offset:
            end()
        else:
            self._waiting.append(end)
            self.timeline.after(wait, end)

    def _batch(self, from_offset: int) -> RecordBatch:
        bodies = tuple(
            keyed_record(feeds.CONFIG_KEY, record)
            for record in self.records[from_offset:][:READ_RECORDS_MOST]
        )
        return RecordBatch(
            from_offset,
            from_offset + len(bodies),
            bodies,
            len(self.records),
        )


class Host:
    """One gateway's process: its clock, its ways, and what befalls it."""

    def __init__(self, name: str, world: 'World') -> None:
        self.name = name
        self.address = name
        self.world = world
        self.timeline = world.timeline
        self.store_way = WAY
        self.peer_way = WAY
        self.is_cut_off = False
        self.answers_to_lose = 0
        self.is_frozen = False
        self.is_gone = False
        self._held: list[Callable[[], None]] = []
        self._replies: dict[str, tuple[Event, list]] = {}
        self.gateway = RelayGateway(
            GatewaySetup(
                name=name,
                instance=f'{name}-1',
                peer_address='127.0.0.1:0',
                keeper_port=1,
                key_trust=world.key_trust,
                repeat_window=10 * SECOND,
                repeat_ratio=0.2,
                repeat_extra=1,
                repeat_extra_from=timedelta(),
                leaving=LeavingBounds(2 * SECOND, 3 * SECOND),
            ),
            self,
            Beliefs(TargetBook(), PromptMemory(), PaceBook(), 'z'),
            Metrics(),
            _ignore,
        )
        self.shared = SharedReads(
            self.read,
            lambda: world.lead_of(self),
            self.answer,
            self,
            _ignore,
            _ignore,
        )
        process = SimpleNamespace(
            clock=self,
            metrics=Metrics(),
            log=SimpleNamespace(write=_ignore),
        )
        source = Source(self.newest, self.shared.read)
        self.task = gevent.spawn(
            feeds.follow_config,
            source,
            self.gateway,
            process,
        )

    # The clock.

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()

    def elapsed(self) -> timedelta:
        return self.timeline.now

    def sleep(self, duration: timedelta) -> None:
        self.wait(Event(), duration)

    def wait(self, event: Event, most: timedelta) -> None:
        self.timeline.after(most, lambda: self.wake(event.set))
        event.wait()

    def wake(self, action: Callable[[], None]) -> None:
        """Do something in this process, as soon as it runs."""
        if self.is_frozen:
            self._held.append(action)
        elif not self.is_gone:
            action()

    # Faults.

    def freeze(self) -> None:
        self.is_frozen = True

    def thaw(self) -> None:
        self.is_frozen = False
        held, self._held = self._held, []
        for action in held:
            self.wake(action)

    def end(self) -> None:
        self.is_gone = True
        self.task.kill()
        self.gateway.server.close()

    # The way to the store.

    def read(self, _topic, from_offset, wait, call_most=None):
        return self._call(
            lambda answer: self.world.store.read(from_offset, wait, answer),
            wait + (call_most or CALL_MOST),
        )

    def newest(self, _topic):
        return self._call(self.world.store.newest, CALL_MOST)

    def _call(self, serve, limit):
        event, answers = Event(), []

        def arrive() -> None:
            if not self.is_cut_off and not self.world.store.is_down:
                serve(answer)

        def answer(found) -> None:
            is_lost = self.is_cut_off or self.world.store.is_down
            if self.answers_to_lose:
                self.answers_to_lose -= 1
            elif not is_lost:
                self.timeline.after(
                    self.store_way,
                    lambda: self.wake(lambda: deliver(found)),
                )

        def deliver(found) -> None:
            answers.append(found)
            event.set()

        self.timeline.after(self.store_way, arrive)
        self.wait(event, limit)
        return answers[0] if answers else NO_ANSWER

    # The way to other gateways.

    def ask_lead(self, lead: 'Host', ask, timeout):
        event, replies = Event(), []
        self._replies[ask.ask_id] = event, replies
        self.timeline.after(
            self.peer_way,
            lambda: lead.wake(
                lambda: lead.shared.hear(self.name.encode(), ask),
            ),
        )
        self.wait(event, timeout)
        self._replies.pop(ask.ask_id)
        return replies[0] if replies else None

    def answer(self, sender: bytes, reply) -> None:
        asker = self.world.host_by_name.get(sender.decode())
        if asker is not None:
            self.timeline.after(
                self.peer_way,
                lambda: asker.wake(lambda: asker.hear_reply(reply)),
            )

    def hear_reply(self, reply) -> None:
        if reply.ask_id in self._replies:
            event, replies = self._replies[reply.ask_id]
            replies.append(reply)
            event.set()


class World:
    """The store and its gateways, with the two promises on keys."""

    def __init__(self, key_trust: timedelta = REVOKE * KEY_TRUST_PART) -> None:
        self.key_trust = key_trust
        self.timeline = Timeline(self.check)
        self.store = Store(self.timeline)
        self.host_by_name: dict[str, Host] = {}
        self.touched_until: dict[str, timedelta] = {}
        self.store.put()

    def start(self, name: str) -> None:
        """Start a gateway; what ran under its name before is gone."""
        self.kill(name)
        with patch.object(feeds, 'Random', lambda: Random(1)):
            self.host_by_name[name] = Host(name, self)
            settle()

    def kill(self, name: str) -> None:
        self.touch(name, timedelta())
        host = self.host_by_name.pop(name, None)
        if host is not None:
            host.end()

    def touch(self, name: str, duration: timedelta) -> None:
        """Note trouble at a gateway, or at the store for all of them."""
        end = self.timeline.now + duration
        self.touched_until[name] = max(
            end,
            self.touched_until.get(name, end),
        )

    def lead_of(self, asker: Host):
        name = min(self.host_by_name, default=asker.name)
        if name >= asker.name:
            return None
        lead = self.host_by_name[name]
        return SimpleNamespace(
            address=name,
            ask=lambda _id, ask, timeout: asker.ask_lead(lead, ask, timeout),
        )

    def end(self) -> None:
        for name in list(self.host_by_name):
            self.kill(name)

    def check(self) -> None:
        """Check what a request would meet at this moment, at each gateway."""
        for host in self.host_by_name.values():
            known = host.gateway.knowledge()
            if known.is_key_trusted:
                self._check_withdrawn(host, known.catalog.version)
            else:
                assert not self._is_in_touch(host), (
                    f'{host.name} is in touch and refuses keys: '
                    f'confirmed {known.confirmed_for} ago'
                )

    def _check_withdrawn(self, host: Host, version: int) -> None:
        """No version is trusted long after the next one dropped a key."""
        if version + 1 < len(self.store.records):
            late = self.timeline.now - self.store.taken_at[version + 1]
            assert late <= REVOKE, (
                f'{host.name} trusts a key {late} behind its end'
            )

    def _is_in_touch(self, host: Host) -> bool:
        touched = max(
            self.touched_until.get(host.name, timedelta()),
            self.touched_until.get(STORE, timedelta()),
        )
        return self.timeline.now - touched > MEMORY


def _ignore(*_arguments, **_named) -> None:
    """Logs and counts are not looked at here."""
