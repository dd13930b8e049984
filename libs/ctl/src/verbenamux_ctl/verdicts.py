"""Verdicts on prompt parts that crash targets, as the store has them."""

from collections.abc import Iterator
from typing import Protocol

from returns.result import Failure, Result, Success

from verbenamux_contracts.log import LogFailure
from verbenamux_contracts.messages import Verdict
from verbenamux_ctl.failures import CommandError, CommandFailure
from verbenamux_platform.feeds import MEMBERS_TOPIC, VERDICT_PREFIX
from verbenamux_platform.store import KeyedRecord, NewestValues, keyed_record
from verbenamux_platform.store_records import decode_verdict


class KeyedLog(Protocol):
    """The calls of the store that the commands need."""

    def append(self, stream: str, *bodies: bytes) -> Result[int, LogFailure]:
        """Append records, all or none."""

    def newest(self, stream: str) -> Result[NewestValues, LogFailure]:
        """Return the newest value of each key of a topic."""


def read_convictions(
    log: KeyedLog,
) -> Result[dict[str, Verdict], CommandFailure]:
    """Return the convictions that are in force, by their parts."""
    return (
        log.newest(MEMBERS_TOPIC)
        .map(lambda newest: dict(_convictions(newest.records)))
        .alt(_unavailable)
    )


def release(log: KeyedLog, parts: str) -> Result[int, CommandFailure]:
    """End a conviction; gateways learn of it from the store.

    Fails with NOT_FOUND when no conviction of exactly these parts is in force.
    """
    return read_convictions(log).bind(
        lambda verdict_by_parts: _release(log, parts, verdict_by_parts)
    )


def _release(
    log: KeyedLog, parts: str, verdict_by_parts: dict[str, Verdict]
) -> Result[int, CommandFailure]:
    if parts not in verdict_by_parts:
        return Failure(
            CommandFailure(
                CommandError.NOT_FOUND, f'no conviction of {parts} is in force'
            )
        )
    record = keyed_record(VERDICT_PREFIX + parts, b'')
    return log.append(MEMBERS_TOPIC, record).alt(_unavailable)


def _convictions(
    records: tuple[KeyedRecord, ...],
) -> Iterator[tuple[str, Verdict]]:
    """Yield the convictions among the records of a topic.

    Gateways log the records that hold no verdict.
    """
    for record in records:
        if record.content is None or not record.key.startswith(VERDICT_PREFIX):
            continue
        decoded = decode_verdict(record.content)
        if isinstance(decoded, Success) and decoded.unwrap().is_conviction:
            yield record.key.removeprefix(VERDICT_PREFIX), decoded.unwrap()


def _unavailable(failure: LogFailure) -> CommandFailure:
    return CommandFailure(CommandError.LOG_UNAVAILABLE, failure.message)
