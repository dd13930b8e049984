"""From the store's word that a target leaves to the last send to it.

The store, the way to it and the gateway that reads for others are simulated
on a clock moved by hand, so that each moment of the word is tried.
"""

from bisect import bisect_right
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest
from returns.result import Failure, Success

from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_platform.entries import decode_target
from verbenamux_platform.feeds import follow_servers
from verbenamux_platform.following import Source
from verbenamux_platform.store import KeyedRecord, Newest, keyed_record
from verbenamux_relay.gateway import GatewaySetup, RelayGateway
from verbenamux_relay.leaving import LeavingBounds
from verbenamux_relay.picking import Beliefs, PaceBook, is_serving
from verbenamux_relay.prompts import PromptMemory
from verbenamux_relay.sharing import SharedReads
from verbenamux_relay.targets import TargetBook
from verbenamux_runtime.metrics import Metrics

MS = timedelta(milliseconds=1)
# What a calm store takes to answer, and its way there and back.
ROUND_TRIP = 40 * MS
# A call that gets no answer is given up by the client after this.
CALL_MOST = 900 * MS
# The part of the bound that is left for the send itself.
MARGIN = 0.1
STARTS_AT = 6000 * MS
ENDS_AT = 16_000 * MS
STEP = 10 * MS
CHECK_IN_PERIOD = 90 * MS
NO_ANSWER = Failure(LogFailure(LogFault.UNANSWERED, 'no answer'))
NEVER = timedelta.max
# Moments of the word, over more than one round of reads.
PHASES = [STARTS_AT + phase * MS for phase in range(0, 2400, 60)]
ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 8,
    'state': 'ready',
}
OTHER = msgspec.json.encode(ENTRY | {'address': '10.0.0.2:80'})


class Ended(Exception):
    """The simulated day is over."""


class Registry:
    """The registry's topic: its records, and when each was taken."""

    def __init__(self, clock):
        self.clock = clock
        self.taken_at = []
        self.records = []
        self.silent = (NEVER, NEVER)

    def take(self, at, content):
        place = bisect_right(self.taken_at, at)
        self.taken_at.insert(place, at)
        self.records.insert(place, keyed_record('i-1', content))

    def take_check_ins(self):
        """Take what another target says of itself, again and again."""
        while len(self.taken_at) * CHECK_IN_PERIOD < ENDS_AT:
            self.taken_at.append(len(self.taken_at) * CHECK_IN_PERIOD)
            self.records.append(keyed_record('i-2', OTHER))

    def newest(self, _topic):
        record = KeyedRecord('i-1', msgspec.json.encode(ENTRY))
        return Success(Newest((record,), 0))

    def read(self, _topic, from_offset, wait, call_most=None):
        """Answer as the store does; time passes meanwhile."""
        clock = self.clock
        if clock.elapsed() > ENDS_AT:
            raise Ended
        if self.silent[0] <= clock.elapsed() < self.silent[1]:
            clock.advance(wait + (call_most or CALL_MOST))
            return NO_ANSWER
        clock.advance(ROUND_TRIP / 2)
        if bisect_right(self.taken_at, clock.elapsed()) <= from_offset:
            due = clock.elapsed() + wait
            next_at = self.taken_at[from_offset : from_offset + 1]
            clock.advance(min(*next_at, due, due) - clock.elapsed())
        end = max(bisect_right(self.taken_at, clock.elapsed()), from_offset)
        clock.advance(ROUND_TRIP / 2)
        bodies = tuple(self.records[from_offset:end])
        return Success(RecordBatch(from_offset, end, bodies, end))


class Lead:
    """The gateway that reads for this one, and what befalls it.

    `befall` gets the lead, and tells whether it answers an ask at all.
    """

    address = 'lead'

    def __init__(self, registry, befall):
        self.registry = registry
        self.clock = registry.clock
        self.befall = befall
        self.patience = None
        self.freeze = timedelta()
        self.is_cut_off = False
        self.replies = []
        self.shared = SharedReads(
            self.read_store,
            lambda: None,
            lambda _sender, reply: self.replies.append(reply),
            self.clock,
            lambda *_event, **_fields: None,
            lambda *_name, **_labels: None,
        )

    def ask(self, _ask_id, ask, timeout):
        due_at = self.clock.elapsed() + timeout
        self.replies.clear()
        self.shared.hear(b'asker', ask)
        if self.befall(self):
            self.shared.read(ask.topic, ask.from_offset, self.patience)
        if not self.replies or self.clock.elapsed() > due_at:
            self.clock.advance(due_at - self.clock.elapsed())
            return None
        return self.replies[0]

    def read_store(self, topic, from_offset, wait, call_most=None):
        limit = call_most or CALL_MOST
        if self.is_cut_off:
            self.clock.advance(wait + limit)
            return NO_ANSWER
        found = self.registry.read(topic, from_offset, wait, limit)
        self.clock.advance(self.freeze)
        return found


class Host:
    """One gateway that follows the registry."""

    def __init__(self, drain, befall=None):
        self.clock = ManualClock()
        self.registry = Registry(self.clock)
        lead = Lead(self.registry, befall) if befall else None
        self.known_at = None
        self.gateway = RelayGateway(
            GatewaySetup(
                name='g',
                instance='g-1',
                peer_address='127.0.0.1:0',
                keeper_port=1,
                key_trust=timedelta(seconds=4),
                repeat_window=timedelta(seconds=10),
                repeat_ratio=0.2,
                repeat_extra=1,
                repeat_extra_from=timedelta(),
                leaving=LeavingBounds(drain, timedelta(seconds=3)),
            ),
            self.clock,
            Beliefs(TargetBook(), PromptMemory(), PaceBook(), 'z'),
            Metrics(),
            self.note,
        )
        shared = SharedReads(
            self.registry.read,
            lambda: lead,
            lambda *_reply: True,
            self.clock,
            lambda *_event, **_fields: None,
            lambda *_name, **_labels: None,
        )

        def read(topic, from_offset, patience):
            if lead is not None and patience.pause:
                lead.patience = patience
            return shared.read(topic, from_offset, patience)

        self.source = Source(self.registry.newest, read)

    def note(self, event, **_fields):
        if event in {'target_removed', 'target_draining'}:
            self.known_at = self.known_at or self.clock.elapsed()

    def follow(self):
        process = SimpleNamespace(
            clock=self.clock,
            metrics=Metrics(),
            log=SimpleNamespace(write=lambda *_event, **_fields: None),
        )
        with pytest.raises(Ended):
            follow_servers(self.source, self.gateway, process)
        self.gateway.server.close()

    def last_send_at(self):
        """Return until when a target that answers all the while is used."""
        target = self.gateway.beliefs.book.by_id['i-1']
        at = self.known_at
        while at < ENDS_AT:
            target.heard_at = at
            if not is_serving(target, at):
                return at
            at += STEP
        return at


def in_order(_lead):
    return True


def silent(lead):
    """It was killed or froze; it fell silent right behind an ask."""
    return lead.clock.elapsed() < STARTS_AT


def held_up(lead):
    """It froze behind its read, answers what it had, and freezes again."""
    now = lead.clock.elapsed()
    lead.freeze = timedelta() if now < STARTS_AT else 540 * MS
    return now < STARTS_AT + 900 * MS


def cut_off(lead):
    """It is alive, and its way to the store is gone."""
    lead.is_cut_off = lead.clock.elapsed() >= STARTS_AT
    return True


def leave(drain, taken_at, content, befall=None, is_busy=False, lost=None):
    """Return how long behind the word the last send may be."""
    host = Host(drain, befall)
    if lost is not None:
        host.registry.silent = (STARTS_AT, STARTS_AT + lost)
    if is_busy:
        host.registry.take_check_ins()
    host.registry.take(taken_at, content)
    host.follow()
    return host.last_send_at() - taken_at


LEADS = [None, in_order, silent, held_up, cut_off]
READY = msgspec.json.encode(ENTRY)
DRAINING = msgspec.json.encode(ENTRY | {'state': 'draining'})
CALM_AND_BUSY = [(False, 2000 * MS), (True, 2000 * MS), (True, 3000 * MS)]


@pytest.mark.parametrize(('is_busy', 'drain'), CALM_AND_BUSY)
@pytest.mark.parametrize('content', [b'', DRAINING], ids=['gone', 'draining'])
@pytest.mark.parametrize('befall', LEADS)
def test_a_leaving_target_gets_nothing_behind_the_bound(
    befall,
    content,
    is_busy,
    drain,
):
    """Whatever befalls the gateway that reads for this one."""
    took = [leave(drain, at, content, befall, is_busy) for at in PHASES]
    assert max(took) <= drain * (1 - MARGIN)


@pytest.mark.parametrize(('is_busy', 'drain'), CALM_AND_BUSY)
@pytest.mark.parametrize('content', [b'', DRAINING], ids=['gone', 'draining'])
def test_one_read_without_an_answer_keeps_the_bound(content, is_busy, drain):
    """The answer is lost on the way, or the connection was dead."""
    took = [
        leave(drain, at, content, is_busy=is_busy, lost=650 * MS)
        for at in PHASES
    ]
    assert max(took) <= drain * (1 - MARGIN)


def test_an_entry_that_lapsed_while_the_store_was_away_is_used_on():
    """Its target answers all the while, and is back in the registry soon."""
    back_at = STARTS_AT + 3000 * MS
    host = Host(2000 * MS)
    host.registry.silent = (STARTS_AT, back_at)
    host.registry.take(STARTS_AT + 1500 * MS, b'')
    host.follow()
    used_for = host.last_send_at() - back_at
    assert 1000 * MS <= used_for <= host.gateway.setup.leaving.stable_window


def test_an_engine_that_restarted_at_the_address_ends_the_old_one():
    host = Host(2000 * MS)
    host.gateway.put_target(decode_target('i-1', READY).unwrap())
    host.gateway.remove_target('i-1')
    target = host.gateway.beliefs.book.by_id['i-1']
    target.heard_at = host.clock.elapsed()
    assert not is_serving(target, host.clock.elapsed())
    host.gateway.server.close()
