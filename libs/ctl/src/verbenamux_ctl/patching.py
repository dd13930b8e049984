"""Appending a patch and learning from the log what became of it."""

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

SETTLE_MOST = timedelta(seconds=30)
TRY_AGAIN = timedelta(milliseconds=300)
PATCH_ID_BYTES = 8

Outcome = Result[Configuration, CommandFailure]


def read_operations(
    path: Path,
) -> Result[tuple[AnyOperation, ...], CommandFailure]:
    """Return the operations in a patch file, checked."""
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
    """Return a patch with a fresh id."""
    patch_id = f'patch-{secrets.token_hex(PATCH_ID_BYTES)}'
    return Patch(patch_id, base_version, operations)


def submit(
    log: Log,
    patch: Patch,
    clock: Clock,
    settle_most: timedelta = SETTLE_MOST,
) -> Outcome:
    """Append a patch until the log shows what became of it.

    A lost answer is settled by reading. Appending the same patch twice
    does no harm: its base is stale the second time, and the first place
    in the log is what counts.
    """
    deadline = clock.elapsed() + settle_most
    while clock.elapsed() < deadline:
        appended = log.append(CONFIGURATION_STREAM, encode_record(patch))
        found = find_outcome(log, patch)
        if found is not None:
            return found
        if not is_successful(appended):
            clock.sleep(TRY_AGAIN)
    return Failure(
        CommandFailure(
            CommandError.LOG_UNAVAILABLE,
            'the log did not show the patch; it may still come into force',
        ),
    )


def find_outcome(log: Log, patch: Patch) -> Outcome | None:
    """Return what became of a patch, or None when the log lacks it."""
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
                return _explain(result)
            configuration = result.value_or(configuration)
        offset = page.unwrap().next_offset


def _explain(result: FoldResult) -> Outcome:
    if is_successful(result):
        return Success(result.unwrap())
    return Failure(_as_failure(result.failure()))


def _as_failure(rejected: PatchRejected) -> CommandFailure:
    error = CommandError.PATCH_INVALID
    if rejected.reason is RejectReason.STALE_BASE:
        error = CommandError.PATCH_CONFLICT
    return CommandFailure(error, rejected.message, rejected.current_version)
