"""A delivery states correctly whether its request ran."""

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
from verbenamux_gateway.backoff import (
    CAPACITY_RETRY_AFTER,
    REFUSAL_BACKOFF,
    TARGET_WAIT_TIMEOUT,
)
from verbenamux_gateway.delivery import (
    MAX_ATTEMPTS,
    Delivery,
)
from verbenamux_gateway.delivery_context import DeliveryContext, Work
from verbenamux_routing.breaker import Breaker
from verbenamux_routing.choose import Choice
from verbenamux_routing.retry import RetryBudget
from verbenamux_routing.score import RequestNeeds


class FakeFleet:
    """Targets that answer each attempt with scripted messages."""

    def __init__(self, *scripts: list[msg.Message], is_up: bool = True) -> None:
        self.scripts = list(scripts)
        self.is_up = is_up
        self.dispatched: list[msg.Dispatch] = []
        self.cancelled = 0
        self.views = None
        self.heartbeat_received = SimpleNamespace(wait=lambda _: None)

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
        if self.is_up and isinstance(message, msg.Dispatch):
            self.dispatched.append(message)
        return self.is_up

    def close(self, pending: object, *, cancel: bool) -> None:
        self.cancelled += cancel


CHUNKS = [
    msg.Started('att', 200),
    msg.Chunk('att', 0, b'a'),
    msg.Chunk('att', 1, b'b'),
]
COMPLETE_ANSWER = [*CHUNKS, msg.End('att', 2, 7)]
WITHDRAWN = RequestFailure(ErrorCode.KEY_WITHDRAWN, 'withdrawn')
UNKNOWN = msg.Broken('att', 'unknown', 'target_failed', 'lost')
NOT_RUN = msg.Broken('att', 'not_run', 'target_failed', 'refused')


def make_delivery(
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
        RequestNeeds(model='m'),
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
        is_alive=True,
    )
    context = DeliveryContext(
        fleet,
        clock,
        lambda *_: Choice(view, 'the only one'),
        RetryBudget(),
        lambda *_, **__: clock.advance(milliseconds(100)),
    )
    return Delivery(work, context, lambda: None)


def read(pieces: Iterator[bytes]) -> list[bytes]:
    return list(pieces)


def test_whole_answer_is_known_to_have_run(clock: ManualClock) -> None:
    delivery = make_delivery(clock, FakeFleet(COMPLETE_ANSWER))
    assert read(delivery.pieces()) == [b'a', b'b']
    assert delivery.known_run is Run.RAN
    assert delivery.tokens == 7


@pytest.mark.parametrize('resumable', [True, False])
def test_disconnected_caller_leaves_the_run_unknown(
    clock: ManualClock,
    resumable: bool,
) -> None:
    fleet = FakeFleet([msg.Accepted('att'), *CHUNKS, UNKNOWN], COMPLETE_ANSWER)
    delivery = make_delivery(clock, fleet, resumable=resumable)
    pieces = delivery.pieces()
    next(pieces)
    pieces.close()
    assert delivery.known_run is not Run.NOT_RUN


def test_request_stopped_before_its_first_piece_may_have_run(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([msg.Accepted('att')])
    delivery = make_delivery(clock, fleet)
    permits = iter([None])
    delivery.permit = lambda: next(permits, WITHDRAWN)
    with pytest.raises(RequestRejectedError) as rejected:
        read(delivery.pieces())
    assert rejected.value.failure.run is Run.UNKNOWN
    assert delivery.known_run is Run.UNKNOWN
    assert fleet.cancelled


def test_non_idempotent_call_is_sent_once(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([UNKNOWN], COMPLETE_ANSWER)
    delivery = make_delivery(clock, fleet, idempotent=False)
    with pytest.raises(RequestRejectedError) as rejected:
        read(delivery.pieces())
    assert rejected.value.failure.run is Run.UNKNOWN
    assert len(fleet.dispatched) == 1


def test_call_that_did_not_run_is_retried(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([NOT_RUN], COMPLETE_ANSWER)
    delivery = make_delivery(clock, fleet, idempotent=False)
    assert read(delivery.pieces()) == [b'a', b'b']
    assert len(fleet.dispatched) == 2


def test_stream_goes_on_elsewhere_from_the_next_piece(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(
        [*CHUNKS, UNKNOWN],
        [msg.Chunk('att', 2, b'c'), msg.End('att', 3)],
    )
    delivery = make_delivery(clock, fleet)
    assert read(delivery.pieces()) == [b'a', b'b', b'c']
    assert fleet.dispatched[1].emitted == 2


def test_partial_buffered_answer_is_discarded_and_fetched_again(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet([*CHUNKS, UNKNOWN], COMPLETE_ANSWER)
    delivery = make_delivery(clock, fleet, resumable=False)
    assert read(delivery.pieces()) == [b'a', b'b']


def test_late_and_repeated_chunks_are_skipped(clock: ManualClock) -> None:
    script = [CHUNKS[0], CHUNKS[1], CHUNKS[1], CHUNKS[2], COMPLETE_ANSWER[-1]]
    delivery = make_delivery(clock, FakeFleet(script))
    assert read(delivery.pieces()) == [b'a', b'b']


def test_target_that_cannot_be_reached_is_not_run(clock: ManualClock) -> None:
    delivery = make_delivery(clock, FakeFleet(is_up=False))
    with pytest.raises(RequestRejectedError) as rejected:
        read(delivery.pieces())
    assert rejected.value.failure.run is Run.NOT_RUN
    assert rejected.value.failure.code is ErrorCode.NO_TARGET


NO_CAPACITY = msg.Refused('att', 'no_target', 'adapter a could not be loaded')


def make_waiting_delivery(
    clock: ManualClock,
    fleet: FakeFleet,
    seconds: int,
) -> Delivery:
    """Return a delivery whose waits advance the clock."""
    delivery = make_delivery(clock, fleet)
    fleet.heartbeat_received = SimpleNamespace(
        wait=lambda timeout: clock.advance(timedelta(seconds=timeout)),
    )
    only = delivery.context.choose()
    delivery.context = replace(
        delivery.context,
        choose=lambda _views, _need, excluded, _now: (
            None if 't' in excluded else only
        ),
    )
    deadline = clock.elapsed() + timedelta(seconds=seconds)
    need = RequestNeeds(model='m', adapter='a')
    delivery.work = replace(delivery.work, need=need, deadline=deadline)
    return delivery


def test_target_without_capacity_is_retried_until_it_has_some(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_CAPACITY]] * MAX_ATTEMPTS, COMPLETE_ANSWER)
    delivery = make_waiting_delivery(clock, fleet, seconds=60)
    started_at = clock.elapsed()
    assert read(delivery.pieces()) == [b'a', b'b']
    assert delivery.attempts == 1
    assert clock.elapsed() - started_at >= MAX_ATTEMPTS * REFUSAL_BACKOFF


def test_request_that_finds_no_capacity_is_refused_after_the_wait(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_CAPACITY]] * 100)
    delivery = make_waiting_delivery(clock, fleet, seconds=60)
    started_at = clock.elapsed()
    with pytest.raises(RequestRejectedError) as rejected:
        read(delivery.pieces())
    failure = rejected.value.failure
    assert (failure.code, failure.run) == (ErrorCode.NO_TARGET, Run.NOT_RUN)
    assert 'room for adapter a' in failure.message
    assert failure.retry_after == CAPACITY_RETRY_AFTER
    waited = clock.elapsed() - started_at
    assert (
        TARGET_WAIT_TIMEOUT
        <= waited
        < TARGET_WAIT_TIMEOUT + 2 * REFUSAL_BACKOFF
    )
    assert len(fleet.dispatched) <= TARGET_WAIT_TIMEOUT / REFUSAL_BACKOFF + 1


def test_request_without_capacity_waits_no_longer_than_its_deadline(
    clock: ManualClock,
) -> None:
    fleet = FakeFleet(*[[NO_CAPACITY]] * 100)
    delivery = make_waiting_delivery(clock, fleet, seconds=2)
    started_at = clock.elapsed()
    with pytest.raises(RequestRejectedError):
        read(delivery.pieces())
    waited = clock.elapsed() - started_at
    assert waited < timedelta(seconds=2) + 2 * REFUSAL_BACKOFF
