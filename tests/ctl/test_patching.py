"""The outcome of a patch is read from the log, even if answers are lost."""

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
    """A log that loses answers, or is unavailable for a number of calls."""

    def __init__(
        self, *bodies: bytes, lost_answers: int = 0, failing_calls: int = 0
    ) -> None:
        self.bodies = list(bodies)
        self.lost_answers = lost_answers
        self.failing_calls = failing_calls

    def append(self, stream: str, body: bytes) -> Result[int, LogFailure]:
        if self.failing_calls:
            self.failing_calls -= 1
            return Failure(LOST)
        self.bodies.append(body)
        if self.lost_answers:
            self.lost_answers -= 1
            return Failure(LOST)
        return Success(len(self.bodies) - 1)

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int = 500,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, LogFailure]:
        if self.failing_calls:
            self.failing_calls -= 1
            return Failure(LOST)
        bodies = () if stream == SNAPSHOT_STREAM else self.bodies[from_offset:]
        end = from_offset + len(bodies)
        return Success(RecordBatch(from_offset, end, tuple(bodies)))


@pytest.mark.parametrize(
    'log',
    [
        FakeLog(),
        FakeLog(lost_answers=1),
        FakeLog(lost_answers=3),
        FakeLog(failing_calls=7),
    ],
)
def test_patch_is_applied_once(
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


def test_log_that_stays_unavailable_fails_in_time(clock: ManualClock) -> None:
    outcome = submit(
        FakeLog(failing_calls=10_000), new_patch(0, OPERATIONS), clock
    )
    assert outcome.failure().error is CommandError.LOG_UNAVAILABLE


@pytest.mark.parametrize('text', ['', '{', '[{"op":"fly"}]', '[{"op":1}]'])
def test_bad_patch_file_is_a_typed_failure(tmp_path: Path, text: str) -> None:
    path = tmp_path / 'patch.json'
    path.write_text(text)
    operations = read_operations(path)
    assert not is_successful(operations)
    assert operations.failure().error is CommandError.BAD_FILE
