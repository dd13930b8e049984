"""Replies of an agent to dispatches, resumes and cancels."""

from collections.abc import Iterator

import gevent
import pytest

from verbenamux_agent.attempt_queue import AttemptQueue, TargetSpeed
from verbenamux_agent.attempts import AttemptTable
from verbenamux_contracts import messages as msg
from verbenamux_contracts.clock import ManualClock, milliseconds
from verbenamux_contracts.errors import Run

GATEWAY = b'gateway-0'
INSTANCE = 'agent-1'


class FakeExecutor:
    """Ends each attempt at once; reports the run that a test sets."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.engine_run = Run.RAN

    def run(self, attempt: object) -> msg.End:
        self.ran.append(attempt.dispatch.attempt_id)
        attempt.sent = True
        attempt.chunks.extend([b'one', b'two'])
        return msg.End(attempt.dispatch.attempt_id, 2, 5)

    def resume(self, attempt: object) -> msg.Broken:
        return msg.Broken(attempt.dispatch.attempt_id, 'unknown', 'x', '')

    def cancel(self, attempt_id: str) -> Run:
        self.cancelled.append(attempt_id)
        return self.engine_run


class Bench:
    """An attempt queue with a fake executor, and the messages it sends."""

    def __init__(self, clock: ManualClock, slots: int = 1) -> None:
        self.sent: list[msg.Message] = []
        self.clock = clock
        self.executor = FakeExecutor()
        table = AttemptTable(milliseconds(1000), 1_000_000)
        self.work = AttemptQueue(
            INSTANCE,
            clock,
            table,
            TargetSpeed(slots, decode_ms=10),
            2,
            self._send,
            lambda _: None,
        )
        self.work.executor = self.executor

    def dispatch(self, name: str, **changes: object) -> list[msg.Message]:
        fields = {
            'attempt_id': name,
            'request_id': f'req-{name}',
            'workspace': 'w',
            'target_path': '/x',
            'budget_ms': 10_000,
            'tokens': 10,
        }
        self.sent.clear()
        self.work.dispatch(GATEWAY, msg.Dispatch(**(fields | changes)))
        return self.run_pending()

    def resume(
        self,
        name: str,
        first: int = 0,
        instance: str = INSTANCE,
    ) -> list[msg.Message]:
        self.sent.clear()
        self.work.resume(GATEWAY, msg.Resume(name, first, 1000, instance))
        return self.run_pending()

    def cancel(self, name: str) -> list[msg.Message]:
        self.sent.clear()
        self.work.cancel(GATEWAY, msg.Cancel(name))
        return self.run_pending()

    def run_pending(self) -> list[msg.Message]:
        for _ in range(5):
            gevent.sleep(0)
        return self.sent

    def _send(self, gateway: bytes, message: msg.Message) -> bool:
        self.sent.append(message)
        return True


@pytest.fixture
def bench(clock: ManualClock) -> Iterator[Bench]:
    clock.advance(milliseconds(10_000))
    yield Bench(clock)


def kinds(messages: list[msg.Message]) -> list[str]:
    return [type(message).__name__ for message in messages]


def test_duplicate_dispatch_runs_once(bench: Bench) -> None:
    assert kinds(bench.dispatch('a')) == ['Accepted', 'End']
    assert kinds(bench.dispatch('a')) == ['Accepted']
    assert bench.executor.ran == ['a']


def test_resume_resends_from_an_index(bench: Bench) -> None:
    bench.dispatch('a')
    again = bench.resume('a', 1)
    assert kinds(again) == ['Accepted', 'Chunk', 'End']
    assert again[1] == msg.Chunk('a', 1, b'two')


def test_attempt_that_never_arrived_is_proved_not_run(bench: Bench) -> None:
    answer = bench.resume('ghost')[0]
    assert isinstance(answer, msg.Broken)
    assert answer.run == 'not_run'
    refused = bench.dispatch('ghost')
    assert kinds(refused) == ['Refused']
    assert not bench.executor.ran


def test_attempt_of_an_earlier_instance_is_not_proved(bench: Bench) -> None:
    answers = bench.resume('old', instance='agent-0')
    assert kinds(answers) == ['Accepted', 'Broken']
    assert answers[1].run == 'unknown'


def test_evicted_answer_is_still_known_to_have_run(bench: Bench) -> None:
    bench.dispatch('a')
    bench.clock.advance(milliseconds(5000))
    bench.work.table.evict_ended(bench.clock.elapsed())
    assert bench.resume('a')[0].run == 'ran'


def test_cancel_before_dispatch_leaves_a_tombstone(bench: Bench) -> None:
    bench.executor.engine_run = Run.NOT_RUN
    assert bench.cancel('a')[0].run == 'not_run'
    assert kinds(bench.dispatch('a')) == ['Refused']


def test_queued_attempt_is_cancelled_without_running(bench: Bench) -> None:
    bench.work.running = 1
    bench.dispatch('a')
    assert bench.cancel('a')[0].run == 'not_run'
    bench.work.running = 0
    bench.work.fill_slots()
    bench.run_pending()
    assert not bench.executor.ran


def test_full_queue_refuses_with_a_retry_time(bench: Bench) -> None:
    bench.work.running = 1
    bench.dispatch('a')
    bench.dispatch('b')
    refused = bench.dispatch('c')[0]
    assert isinstance(refused, msg.Refused)
    assert refused.code == 'queue_full'
    assert refused.retry_after_ms >= 1000


def test_unreachable_deadline_is_refused_at_once(bench: Bench) -> None:
    bench.work.running = 1
    bench.dispatch('a', tokens=1000)
    refused = bench.dispatch('b', budget_ms=500)[0]
    assert isinstance(refused, msg.Refused)
    assert refused.code == 'deadline_unreachable'


def test_attempt_past_its_deadline_in_the_queue_is_not_run(
    bench: Bench,
) -> None:
    bench.work.running = 1
    bench.dispatch('a', budget_ms=500)
    bench.clock.advance(milliseconds(600))
    bench.work.running = 0
    bench.sent.clear()
    bench.work.fill_slots()
    ending = bench.run_pending()[-1]
    assert isinstance(ending, msg.Broken)
    assert (ending.run, ending.code) == ('not_run', 'deadline_exceeded')
    assert not bench.executor.ran


def test_leaving_agent_refuses_new_attempts(bench: Bench) -> None:
    bench.work.leaving = True
    assert bench.dispatch('a')[0].code == 'shutting_down'
