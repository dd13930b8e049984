"""Submission of a patch to the log, and its outcome read from there."""

import secrets
from datetime import timedelta
from pathlib import Path

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenamux_config.configuration_log import (
    CONFIGURATION_STREAM,
    newest_snapshot,
)
from verbenamux_config.fold import (
    FoldResult,
    PatchRejected,
    RejectReason,
    apply_body,
    encode_record,
)
from verbenamux_config.operations import AnyOperation, Patch
from verbenamux_config.state import Configuration
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.log import Log
from verbenamux_ctl.failures import CommandError, CommandFailure

OUTCOME_TIMEOUT = timedelta(seconds=30)
APPEND_RETRY_INTERVAL = timedelta(milliseconds=300)
PATCH_ID_BYTES = 8

Outcome = Result[Configuration, CommandFailure]


def read_operations(
    path: Path,
) -> Result[tuple[AnyOperation, ...], CommandFailure]:
    """Return the validated operations of a patch file."""
    try:
        encoded = path.read_bytes()
    except OSError as error:
        return Failure(CommandFailure(CommandError.BAD_FILE, str(error)))
    try:
        return Success(
            msgspec.json.decode(encoded, type=tuple[AnyOperation, ...]),
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(CommandFailure(CommandError.BAD_FILE, str(error)))


def new_patch(
    base_version: int,
    operations: tuple[AnyOperation, ...],
) -> Patch:
    """Return a patch with a new id."""
    patch_id = f'patch-{secrets.token_hex(PATCH_ID_BYTES)}'
    return Patch(patch_id, base_version, operations)


def submit(
    log: Log,
    patch: Patch,
    clock: Clock,
    timeout: timedelta = OUTCOME_TIMEOUT,
) -> Outcome:
    """Append a patch until the log shows its outcome.

    After a lost answer the outcome is read from the log. Appending the same
    patch twice is safe: its base is stale the second time, and only its
    first record in the log counts.
    """
    deadline = clock.elapsed() + timeout
    while clock.elapsed() < deadline:
        appended = log.append(CONFIGURATION_STREAM, encode_record(patch))
        outcome = find_outcome(log, patch)
        if outcome is not None:
            return outcome
        if not is_successful(appended):
            clock.sleep(APPEND_RETRY_INTERVAL)
    return Failure(
        CommandFailure(
            CommandError.LOG_UNAVAILABLE,
            'the log did not show the patch; it may still come into force',
        ),
    )


def find_outcome(log: Log, patch: Patch) -> Outcome | None:
    """Return the outcome of a patch, or None if the log does not have it."""
    start = newest_snapshot(log)
    if not is_successful(start):
        return None
    configuration = start.unwrap()
    offset = configuration.through_offset
    own_record = encode_record(patch)
    while True:
        page = log.read(CONFIGURATION_STREAM, offset)
        if not is_successful(page) or not page.unwrap().bodies:
            return None
        for body in page.unwrap().bodies:
            result = apply_body(configuration, body)
            if body == own_record:
                return _to_outcome(result)
            configuration = result.value_or(configuration)
        offset = page.unwrap().next_offset


def _to_outcome(result: FoldResult) -> Outcome:
    if is_successful(result):
        return Success(result.unwrap())
    return Failure(_to_failure(result.failure()))


def _to_failure(rejected: PatchRejected) -> CommandFailure:
    error = CommandError.PATCH_INVALID
    if rejected.reason is RejectReason.STALE_BASE:
        error = CommandError.PATCH_CONFLICT
    return CommandFailure(error, rejected.message, rejected.current_version)
