"""The fair queue serves workspaces by tokens, weighted by rate."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenamux_admission.fairqueue import FairQueue


def served(queue: FairQueue[str], count: int) -> Counter[str]:
    return Counter(queue.pop() for _ in range(count))


def test_noisy_workspace_cannot_starve_a_quiet_one() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(100):
        queue.push('noisy', 'noisy', 10)
    for _ in range(5):
        queue.push('quiet', 'quiet', 10)
    assert served(queue, 10) == {'noisy': 5, 'quiet': 5}


def test_weights_share_out_tokens() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(40):
        queue.push('large', 'large', 10, weight=3)
        queue.push('small', 'small', 10, weight=1)
    assert served(queue, 20) == {'large': 15, 'small': 5}


def test_priority_then_age_within_a_workspace() -> None:
    queue: FairQueue[str] = FairQueue()
    for name, priority in (('a', 0), ('b', 5), ('c', 5)):
        queue.push('w', name, 1, priority)
    assert [queue.pop() for _ in range(3)] == ['b', 'c', 'a']


def test_idling_earns_no_credit() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(50):
        queue.push('busy', 'busy', 10)
    served(queue, 40)
    for _ in range(10):
        queue.push('idle', 'idle', 10)
    assert served(queue, 10)['busy'] >= 4


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(1, 50))))
def test_everything_pushed_comes_out_once(
    jobs: list[tuple[str, int]],
) -> None:
    queue: FairQueue[int] = FairQueue()
    for number, (workspace, tokens) in enumerate(jobs):
        queue.push(workspace, number, tokens)
    popped = [queue.pop() for _ in jobs]
    assert sorted(popped) == list(range(len(jobs)))
    assert queue.pop() is None
    assert queue.waiting_tokens == 0


@pytest.mark.parametrize('used', [0, 5, 10])
def test_used_tokens_replace_the_reservation(used: int) -> None:
    queue: FairQueue[str] = FairQueue()
    queue.push('w', 'job', 10)
    queue.pop()
    queue.correct_usage('w', 10, used)
    assert queue._queue_by_workspace['w'].counter == used
