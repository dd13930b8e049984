"""Starting from the log: the newest snapshot wins at any offset."""

from collections.abc import Sequence
from datetime import timedelta

from returns.result import Failure, Result, Success

from verbenamux_config.configuration_log import newest_snapshot
from verbenamux_config.state import Configuration, encode_snapshot
from verbenamux_contracts.log import LogFailure, LogFault, RecordBatch


class FakeLog:
    """A stream whose first records may have expired."""

    def __init__(self, bodies: Sequence[bytes], first: int = 0) -> None:
        self.bodies = bodies
        self.first = first

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int = 2,
        wait: timedelta = timedelta(),
    ) -> Result[RecordBatch, LogFailure]:
        if from_offset < self.first:
            return Failure(
                LogFailure(LogFault.EXPIRED, '', self.first),
            )
        bodies = tuple(self.bodies[from_offset : from_offset + limit])
        end = from_offset + len(bodies)
        return Success(RecordBatch(from_offset, end, bodies))


def snapshot(version: int, offset: int) -> bytes:
    return encode_snapshot(Configuration(version, offset))


def test_late_snapshot_of_a_paused_writer_is_ignored() -> None:
    log = FakeLog([snapshot(1, 5), snapshot(3, 9), snapshot(2, 7)])
    assert newest_snapshot(log).unwrap().version == 3


def test_expired_and_invalid_snapshots_are_skipped() -> None:
    log = FakeLog([b'gone', b'gone', b'{', snapshot(4, 8)], first=2)
    assert newest_snapshot(log).unwrap().version == 4


def test_without_snapshots_the_configuration_is_empty() -> None:
    assert newest_snapshot(FakeLog([])).unwrap().version == 0
