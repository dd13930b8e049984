"""The configuration's streams on the log: snapshots and patches."""

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
    """Return the snapshot that folded most of the log.

    Without any snapshot the answer is the empty configuration. Snapshots
    that cannot be read count for nothing.
    """
    found = Configuration()
    offset = 0
    while True:
        page = log.read(SNAPSHOT_STREAM, offset)
        if is_successful(page):
            batch = page.unwrap()
            for body in batch.bodies:
                found = _newer_of(found, body)
            if not batch.bodies:
                return Success(found)
            offset = batch.next_offset
        elif page.failure().fault is LogFault.EXPIRED:
            offset = page.failure().first_offset
        else:
            return Failure(page.failure())


def read_configuration(
    log: Log,
) -> Result[Configuration, LogFailure]:
    """Return the configuration as the log gives it now."""
    found = newest_snapshot(log)
    if not is_successful(found):
        return found
    return read_on(log, found.unwrap())


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


def _newer_of(found: Configuration, body: bytes) -> Configuration:
    try:
        return newer(found, decode_snapshot(body))
    except SnapshotDecodeError:
        return found
