"""The log streams of the configuration: snapshots and patches."""

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenamux_config.fold import fold_bodies
from verbenamux_config.state import (
    Configuration,
    SnapshotDecodeError,
    decode_snapshot,
    newer,
)
from verbenamux_contracts.log import Log, LogFailure, LogFault

CONFIGURATION_STREAM = 'configuration'
SNAPSHOT_STREAM = 'snapshots'


def newest_snapshot(
    log: Log,
) -> Result[Configuration, LogFailure]:
    """Return the snapshot that has folded most of the log.

    Without any snapshot it is the empty configuration. Snapshots that
    cannot be decoded are ignored.
    """
    newest = Configuration()
    offset = 0
    while True:
        page = log.read(SNAPSHOT_STREAM, offset)
        if is_successful(page):
            batch = page.unwrap()
            for body in batch.bodies:
                newest = _newer_of(newest, body)
            if not batch.bodies:
                return Success(newest)
            offset = batch.next_offset
        elif page.failure().fault is LogFault.EXPIRED:
            offset = page.failure().first_offset
        else:
            return Failure(page.failure())


def read_configuration(
    log: Log,
) -> Result[Configuration, LogFailure]:
    """Return the current configuration according to the log."""
    snapshot = newest_snapshot(log)
    if not is_successful(snapshot):
        return snapshot
    return read_on(log, snapshot.unwrap())


def read_on(
    log: Log,
    configuration: Configuration,
) -> Result[Configuration, LogFailure]:
    """Return the configuration with all later records folded in."""
    while True:
        page = log.read(CONFIGURATION_STREAM, configuration.through_offset)
        if not is_successful(page):
            return Failure(page.failure())
        batch = page.unwrap()
        if not batch.bodies:
            return Success(configuration)
        configuration = fold_bodies(
            configuration,
            batch.first_offset,
            batch.bodies,
        )


def _newer_of(newest: Configuration, body: bytes) -> Configuration:
    try:
        return newer(newest, decode_snapshot(body))
    except SnapshotDecodeError:
        return newest
