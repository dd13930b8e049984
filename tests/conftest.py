"""Fixtures that several packages' tests share."""

import pytest

from verbenamux_contracts.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that tests move by hand."""
    return ManualClock()
