"""Following the configuration from the log, snapshots and peers."""

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

READ_TIMEOUT = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=250)

OnChange = Callable[[Configuration], None]
LogDecision = Callable[..., None]


@dataclass(slots=True)
class ConfigurationFollower:
    """The configuration in force here, which never goes back, and its age.

    `confirmed_at` is when the request left whose answer, from the log or
    a peer, last showed nothing newer; `last_read_at` is when the last
    read of the log left that was answered or failed.
    """

    log: Log
    clock: Clock
    on_change: OnChange
    log_decision: LogDecision
    configuration: Configuration = field(default_factory=Configuration)
    confirmed_at: timedelta | None = None
    last_read_at: timedelta | None = None
    refreshed: Event = field(default_factory=Event)

    def run(self) -> None:
        """Follow the log in an endless loop."""
        self._start_from_snapshot()
        while True:
            self._read_next()

    def adopt(self, encoded: bytes) -> None:
        """Adopt a peer's snapshot if it is newer than the configuration."""
        try:
            offered = decode_snapshot(encoded)
        except SnapshotDecodeError as error:
            self.log_decision('bad_snapshot', cause=str(error))
            return
        self._replace(newer(self.configuration, offered), 'peer')

    def withdraw(self, key_hashes: tuple[str, ...]) -> None:
        """Withdraw keys at once, before the log has the withdrawal."""
        self._replace(withdraw(self.configuration, key_hashes), 'withdrawal')

    def confirm(self, requested_at: timedelta) -> None:
        """Record that an answer showed nothing newer than the configuration.

        Freshness counts from when the request left: the answer may have
        waited in a buffer while this process was paused.
        """
        self.confirmed_at = max(requested_at, self.confirmed_at or timedelta())
        self.refreshed.set()
        self.refreshed.clear()

    def write_snapshot(self) -> None:
        """Append the current configuration to the snapshot stream."""
        if not self.configuration.version:
            return
        appended = self.log.append(
            SNAPSHOT_STREAM,
            encode_snapshot(self.configuration),
        )
        self.log_decision(
            'snapshot',
            version=self.configuration.version,
            through_offset=self.configuration.through_offset,
            written=is_successful(appended),
        )

    def _read_next(self) -> None:
        requested_at = self.clock.elapsed()
        batch = self.log.read(
            CONFIGURATION_STREAM,
            self.configuration.through_offset,
            READ_TIMEOUT,
        )
        if is_successful(batch):
            self._fold(batch.unwrap())
            if batch.unwrap().reaches_end:
                self.confirm(requested_at)
        else:
            self._recover(batch.failure())
        self.last_read_at = requested_at

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
        self.clock.sleep(RETRY_DELAY)

    def _start_from_snapshot(self) -> None:
        """Adopt the newest snapshot unless the configuration is newer."""
        snapshot = newest_snapshot(self.log)
        if is_successful(snapshot):
            offered = newer(self.configuration, snapshot.unwrap())
            self._replace(offered, 'snapshot')

    def _replace(self, configuration: Configuration, source: str) -> None:
        before = self.configuration
        self.configuration = configuration
        changed = (
            configuration.version != before.version
            or configuration.withdrawn != before.withdrawn
        )
        if changed:
            self.log_decision(
                'configuration',
                version=configuration.version,
                digest=configuration.digest,
                withdrawn=len(configuration.withdrawn),
                source=source,
            )
            self.on_change(configuration)
