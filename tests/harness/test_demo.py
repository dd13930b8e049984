"""The demo keeps every promise that it can see, and prints its table."""

from pathlib import Path

import pytest

from verbenamux_harness.demo import run_demo

pytestmark = pytest.mark.processes


def test_demo(tmp_path: Path) -> None:
    verdict, lines = run_demo(tmp_path)
    assert verdict.kept, '\n'.join(lines)
    assert lines[0].startswith('caller')
    assert verdict.outcomes['whole'] > 0
    assert verdict.outcomes['missing_key'] > 0
    assert verdict.outcomes['rate_exceeded'] > 0
