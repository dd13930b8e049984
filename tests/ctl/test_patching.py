"""A patch's outcome is read from the log, whatever became of answers."""

from datetime import timedelta
from pathlib import Path

import pytest
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenamux_config.configuration_log import SNAPSHOT_STREAM
from verbenamux_config.entities import Workspace
from verbenamux_config.fold import encode_record
from verbenamux_config.operations import Patch, PutWorkspace
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch
from verbenamux_ctl.failures import CommandError
from verbenamux_ctl.patching import new_patch, read_operations, submit

OPERATIONS = (PutWorkspace(Workspace('w', 1, 1)),)
LOST = LogFailure(LogFault.UNANSWERED, 'lost')


class FakeLog:
    """A log that loses answers, or is away for a number of calls."""

    def __init__(self, *bodies: bytes, lose: int = 0, away: int = 0) -> None:
        self.bodies = list(bodies)
        self.lose = lose
        self.away = away

    def append(self, stream: str, body: bytes) -> Result[int, LogFailure]:
        if self.away:
            self.away -= 1
            return Failure(LOST)
        self.bodies.append(body)
        if self.lose:
            self.lose -= 1
            return Failure(LOST)
        return Success(len(self.bodies) - 1)

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int = 500,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, LogFailure]:
        if self.away:
            self.away -= 1
            return Failure(LOST)
        bodies = () if stream == SNAPSHOT_STREAM else self.bodies[from_offset:]
        end = from_offset + len(bodies)
        return Success(RecordBatch(from_offset, end, tuple(bodies)))


@pytest.mark.parametrize(
    'log',
    [
        FakeLog(),
        FakeLog(lose=1),
        FakeLog(lose=3),
        FakeLog(away=7),
    ],
)
def test_patch_comes_into_force_once(
    log: FakeLog,
    clock: ManualClock,
) -> None:
    outcome = submit(log, new_patch(0, OPERATIONS), clock)
    assert outcome.unwrap().version == 1


def test_stale_base_names_the_current_version(clock: ManualClock) -> None:
    log = FakeLog(encode_record(Patch('other', 0, OPERATIONS)))
    failure = submit(log, new_patch(0, OPERATIONS), clock).failure()
    assert failure.error is CommandError.PATCH_CONFLICT
    assert failure.current_version == 1


def test_log_that_stays_away_is_told_in_time(clock: ManualClock) -> None:
    outcome = submit(FakeLog(away=10_000), new_patch(0, OPERATIONS), clock)
    assert outcome.failure().error is CommandError.LOG_UNAVAILABLE


@pytest.mark.parametrize('text', ['', '{', '[{"op":"fly"}]', '[{"op":1}]'])
def test_bad_patch_file_is_a_typed_failure(tmp_path: Path, text: str) -> None:
    path = tmp_path / 'patch.json'
    path.write_text(text)
    read = read_operations(path)
    assert not is_successful(read)
    assert read.failure().error is CommandError.BAD_FILE
