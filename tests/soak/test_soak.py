"""A short soak of the real programs, and every seed that ever failed."""

import pytest

from soak.checking import violations
from soak.running import run_seed

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]

# Seeds that failed once, each with what the cause was.
FAILED_SEEDS = {
    1: 'who read through another gateway was never told that it is fresh',
    6: 'a gateway told to stop while it started; the check allows that now',
    11: 'the soak handed out the very key that it withdrew',
}
SHORT_SEED = 101
# The first of the loopback nets that the runs of CI use.
FIRST_SLOT = 40


@pytest.mark.parametrize('seed', FAILED_SEEDS)
def test_a_seed_that_failed_once_holds(seed, tmp_path):
    evidence = run_seed(seed, tmp_path, FIRST_SLOT + seed, recovers=False)
    assert not violations(evidence)


def test_every_promise_holds_under_the_faults_of_a_seed(tmp_path):
    evidence = run_seed(SHORT_SEED, tmp_path, FIRST_SLOT)
    assert not violations(evidence)
    assert any(attempt.status == 200 for attempt in evidence.attempts)
