"""The demo violates none of the promises it checks, and prints its table."""

from pathlib import Path

import pytest

from verbenamux_harness.demo import run_demo

pytestmark = pytest.mark.processes


def test_demo(tmp_path: Path) -> None:
    result, lines = run_demo(tmp_path)
    assert result.succeeded, '\n'.join(lines)
    assert lines[0].startswith('caller')
    assert result.outcomes['whole'] > 0
    assert result.outcomes['missing_key'] > 0
    assert result.outcomes['rate_exceeded'] > 0
