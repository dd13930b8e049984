"""What a delivery knows of its run, whenever it is stopped."""

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest
from gevent.queue import SimpleQueue

from verbenamux_contracts import messages as msg
from verbenamux_contracts.clock import ManualClock, milliseconds
from verbenamux_contracts.errors import (
    ErrorCode,
    RequestFailure,
    RequestRejectedError,
    Run,
)
from verbenamux_contracts.ids import AttemptId, RequestId
from verbenamux_gateway.delivery import (
    ATTEMPTS_MOST,
    Delivery,
)
from verbenamux_gateway.patience import (
    ROOM_AGAIN,
    ROOM_RETRY_AFTER,
    TARGET_WAIT,
)
from verbenamux_gateway.work import Tools, Work
from verbenamux_routing.breaker import Breaker
from verbenamux_routing.choose import Choice
from verbenamux_routing.retry import RetryBudget
from verbenamux_routing.score import Need


class FakeFleet:
    """Targets that answer each attempt with a script of messages."""

    def __init__(self, *scripts: list[msg.Message], up: bool = True) -> None:
        self.scripts = list(scripts)
        self.up = up
        self.dispatched: list[msg.Dispatch] = []
        self.cancelled = 0
        self.views = None
        self.grown = SimpleNamespace(wait=lambda _: None)

    def open(self, view: SimpleNamespace) -> SimpleNamespace:
        inbox: SimpleQueue = SimpleQueue()
        script = self.scripts.pop(0) if self.scripts else []
        for message in script:
            inbox.put(message)
        return SimpleNamespace(
            attempt_id=AttemptId('att'),
            view=view,
            link=SimpleNamespace(send=self.send),
            instance='i',
            next_index=0,
            inbox=inbox,
        )

    def send(self, message: msg.Message) -> bool:
        if self.up and isinstance(message, msg.Dispatch):
            self.dispatched.append(message)
        return self.up

    def close(self, pending: object, *, cancel: bool) -> None:
        self.cancelled += cancel


CHUNKS = [
    msg.Started('att', 200),
    msg.Chunk('att', 0, b'a'),
    msg.Chunk('att', 1, b'b'),
]
WHOLE = [*CHUNKS, msg.End('att', 2, 7)]
WITHDRAWN = RequestFailure(ErrorCode.KEY_WITHDRAWN, 'withdrawn')
UNKNOWN = msg.Broken('att', 'unknown', 'target_failed', 'lost')
NOT_RUN = msg.Broken('att', 'not_run', 'target_failed', 'refused')


def delivery(
    clock: ManualClock,
    fleet: FakeFleet,
    *,
    idempotent: bool = True,
    resumable: bool = True,
) -> Delivery:
    work = Work(
        RequestId('req'),
        'w',
        1,
        Need(model='m'),
        '/x',
        'POST',
        (),
        b'',
        idempotent,
        0,
        clock.elapsed() + milliseconds(5000),
        resumable,
    )
    view = SimpleNamespace(
        target=SimpleNamespace(name='t'),
        breaker=Breaker(),
        load=SimpleNamespace(sent_tokens=0),
        alive=True,
    )
    tools = Tools(
        fleet,
        clock,
        lambda *_: Choice(view, 'the only one'),
        RetryBudget(),
        lambda *_, **__: clock.advance(milliseconds(100)),
    )
    return Delivery(work, tools, lambda: None)


def read(pieces: Iterator[bytes]) -> list[bytes]:
    return list(pieces)


def test_whole_answer_is_known_to_have_run(clock: ManualClock) -> None:
    made = delivery(clock, FakeFleet(WHOLE))
    assert read(made.pieces()) == [b'a', b'b']
    assert made.known_run is Run.RAN
    assert made.tokens == 7


@pytest.mark.parametrize('resumable', [True, False])
def test_caller_that_goes_away_leaves_the_run_unknown(
    clock: ManualClock,
    resumable: bool,
) -> None:
    fleet = FakeFleet([msg.Accepted('att'), *CHUNKS, UNKNOWN], WHOLE)
    made = delivery(clock, fleet, resumable=resumable)
    pieces = made.pieces()
    next(pieces)
    pieces.close()
    assert made.known_run is not Run.NOT_RUN


def test_stopped_before_its_first_piece_it_may_have_run(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([msg.Accepted('att')])
    made = delivery(clock, fleet)
    allowed = iter([None])
    made.permit = lambda: next(allowed, WITHDRAWN)
    with pytest.raises(RequestRejectedError) as rejected:
        read(made.pieces())
    assert rejected.value.failure.run is Run.UNKNOWN
    assert made.known_run is Run.UNKNOWN
    assert fleet.cancelled


def test_call_that_may_not_be_repeated_is_sent_once(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([UNKNOWN], WHOLE)
    made = delivery(clock, fleet, idempotent=False)
    with pytest.raises(RequestRejectedError) as rejected:
        read(made.pieces())
    assert rejected.value.failure.run is Run.UNKNOWN
    assert len(fleet.dispatched) == 1


def test_call_that_surely_did_not_run_is_sent_again(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([NOT_RUN], WHOLE)
    made = delivery(clock, fleet, idempotent=False)
    assert read(made.pieces()) == [b'a', b'b']
    assert len(fleet.dispatched) == 2


def test_stream_goes_on_elsewhere_from_the_next_piece(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(
        [*CHUNKS, UNKNOWN],
        [msg.Chunk('att', 2, b'c'), msg.End('att', 3)],
    )
    made = delivery(clock, fleet)
    assert read(made.pieces()) == [b'a', b'b', b'c']
    assert fleet.dispatched[1].emitted == 2


def test_held_answer_in_part_is_thrown_away_and_fetched_anew(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([*CHUNKS, UNKNOWN], WHOLE)
    made = delivery(clock, fleet, resumable=False)
    assert read(made.pieces()) == [b'a', b'b']


def test_late_and_repeated_chunks_are_passed_over(clock: ManualClock) -> None:
    script = [CHUNKS[0], CHUNKS[1], CHUNKS[1], CHUNKS[2], WHOLE[-1]]
    made = delivery(clock, FakeFleet(script))
    assert read(made.pieces()) == [b'a', b'b']


def test_target_that_cannot_be_reached_is_not_run(clock: ManualClock) -> None:
    made = delivery(clock, FakeFleet(up=False))
    with pytest.raises(RequestRejectedError) as rejected:
        read(made.pieces())
    assert rejected.value.failure.run is Run.NOT_RUN
    assert rejected.value.failure.code is ErrorCode.NO_TARGET


NO_ROOM = msg.Refused('att', 'no_target', 'adapter a could not be loaded')


def waiting_delivery(
    clock: ManualClock,
    fleet: FakeFleet,
    seconds: int,
) -> Delivery:
    """Return a delivery whose waits pass the clock's time."""
    made = delivery(clock, fleet)
    fleet.grown = SimpleNamespace(
        wait=lambda timeout: clock.advance(timedelta(seconds=timeout)),
    )
    only = made.tools.choose()
    made.tools = replace(
        made.tools,
        choose=lambda _views, _need, excluded, _now: (
            None if 't' in excluded else only
        ),
    )
    deadline = clock.elapsed() + timedelta(seconds=seconds)
    need = Need(model='m', adapter='a')
    made.work = replace(made.work, need=need, deadline=deadline)
    return made


def test_target_without_room_is_asked_again_until_it_has_some(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_ROOM]] * ATTEMPTS_MOST, WHOLE)
    made = waiting_delivery(clock, fleet, seconds=60)
    began = clock.elapsed()
    assert read(made.pieces()) == [b'a', b'b']
    assert made.attempts == 1
    assert clock.elapsed() - began >= ATTEMPTS_MOST * ROOM_AGAIN


def test_request_that_finds_no_room_is_refused_once_it_has_waited(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_ROOM]] * 100)
    made = waiting_delivery(clock, fleet, seconds=60)
    began = clock.elapsed()
    with pytest.raises(RequestRejectedError) as rejected:
        read(made.pieces())
    failure = rejected.value.failure
    assert (failure.code, failure.run) == (ErrorCode.NO_TARGET, Run.NOT_RUN)
    assert 'room for adapter a' in failure.message
    assert failure.retry_after == ROOM_RETRY_AFTER
    waited = clock.elapsed() - began
    assert TARGET_WAIT <= waited < TARGET_WAIT + 2 * ROOM_AGAIN
    assert len(fleet.dispatched) <= TARGET_WAIT / ROOM_AGAIN + 1


def test_request_without_room_waits_no_longer_than_its_deadline(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_ROOM]] * 100)
    made = waiting_delivery(clock, fleet, seconds=2)
    began = clock.elapsed()
    with pytest.raises(RequestRejectedError):
        read(made.pieces())
    waited = clock.elapsed() - began
    assert waited < timedelta(seconds=2) + 2 * ROOM_AGAIN
