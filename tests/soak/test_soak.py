"""A short soak of the real programs, and every seed that ever failed."""

import pytest

from soak.checking import violations
from soak.running import run_seed

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]

# Seeds that failed once, each with what the cause was.
FAILED_SEEDS: dict[int, str] = {
    1: 'a gateway that read through another was always asked to wait',
}
SHORT_SEEDS = (101,)


@pytest.mark.parametrize('seed', [*FAILED_SEEDS, *SHORT_SEEDS])
def test_every_promise_holds_under_the_faults_of_a_seed(seed, tmp_path):
    evidence = run_seed(seed, tmp_path, 40 + seed % 50)
    assert not violations(evidence)
    served = sum(attempt.status == 200 for attempt in evidence.attempts)
    assert served
