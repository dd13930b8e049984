"""Following the configuration: log, snapshots, peers; never backwards."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from gevent.event import Event
from returns.pipeline import is_successful

from verbenamux_config.configuration_log import (
    CONFIGURATION_STREAM,
    SNAPSHOT_STREAM,
    newest_snapshot,
)
from verbenamux_config.fold import fold_bodies, withdraw
from verbenamux_config.state import (
    Configuration,
    SnapshotDecodeError,
    decode_snapshot,
    encode_snapshot,
    newer,
)
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.log import Log, LogFailure, LogFault, RecordBatch

READ_WAIT = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=250)

OnChange = Callable[[Configuration], None]
Decide = Callable[..., None]


@dataclass(slots=True)
class Follower:
    """The configuration in force here, and how fresh it is.

    `fresh_at` is when a read of the log, or a word from a peer, last
    showed that nothing newer was known there; `tried_at` is when the
    last read of the log left that was answered or failed.
    """

    log: Log
    clock: Clock
    on_change: OnChange
    decide: Decide
    configuration: Configuration = field(default_factory=Configuration)
    fresh_at: timedelta | None = None
    tried_at: timedelta | None = None
    refreshed: Event = field(default_factory=Event)

    def run(self) -> None:
        """Follow the log for ever."""
        self._start_from_snapshot()
        while True:
            self._step()

    def adopt(self, encoded: bytes) -> None:
        """Take over a peer's snapshot if it is newer than what is here."""
        try:
            offered = decode_snapshot(encoded)
        except SnapshotDecodeError as error:
            self.decide('bad_snapshot', cause=str(error))
            return
        self._replace(newer(self.configuration, offered), 'peer')

    def withdraw(self, key_hashes: tuple[str, ...]) -> None:
        """Withdraw keys at once, whether or not the log knows yet."""
        self._replace(withdraw(self.configuration, key_hashes), 'withdrawal')

    def touch(self, asked_at: timedelta) -> None:
        """Note that an answer showed nothing newer than what is here.

        Freshness counts from when the question left: an answer may have
        waited in a buffer while this process stood still.
        """
        self.fresh_at = max(asked_at, self.fresh_at or timedelta())
        self.refreshed.set()
        self.refreshed.clear()

    def write_snapshot(self) -> None:
        """Append the present configuration to the snapshot stream."""
        if not self.configuration.version:
            return
        appended = self.log.append(
            SNAPSHOT_STREAM,
            encode_snapshot(self.configuration),
        )
        self.decide(
            'snapshot',
            version=self.configuration.version,
            through_offset=self.configuration.through_offset,
            written=is_successful(appended),
        )

    def _step(self) -> None:
        asked_at = self.clock.elapsed()
        batch = self.log.read(
            CONFIGURATION_STREAM,
            self.configuration.through_offset,
            READ_WAIT,
        )
        if is_successful(batch):
            self._fold(batch.unwrap())
            if batch.unwrap().reaches_end:
                self.touch(asked_at)
        else:
            self._recover(batch.failure())
        self.tried_at = asked_at

    def _fold(self, batch: RecordBatch) -> None:
        folded = fold_bodies(
            self.configuration,
            batch.first_offset,
            batch.bodies,
        )
        if folded is not self.configuration:
            self._replace(folded, 'log')

    def _recover(self, failure: LogFailure) -> None:
        if failure.fault is LogFault.EXPIRED:
            self._start_from_snapshot()
        self.refreshed.set()
        self.refreshed.clear()
        self.clock.sleep(RETRY_PAUSE)

    def _start_from_snapshot(self) -> None:
        """Take the newest snapshot; a late one loses to a newer state."""
        found = newest_snapshot(self.log)
        if is_successful(found):
            offered = newer(self.configuration, found.unwrap())
            self._replace(offered, 'snapshot')

    def _replace(self, configuration: Configuration, source: str) -> None:
        before = self.configuration
        self.configuration = configuration
        changed = (
            configuration.version != before.version
            or configuration.withdrawn != before.withdrawn
        )
        if changed:
            self.decide(
                'configuration',
                version=configuration.version,
                digest=configuration.digest,
                withdrawn=len(configuration.withdrawn),
                source=source,
            )
            self.on_change(configuration)
