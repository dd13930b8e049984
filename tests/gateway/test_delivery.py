"""What a delivery knows of its run, whenever it is stopped."""

from collections.abc import Iterator
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
from verbenamux_gateway.delivery import Delivery
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
