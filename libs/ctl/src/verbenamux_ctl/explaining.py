"""Telling in words, from a log file, why a request went where it did."""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

Line = dict[str, Any]


def read_lines(path: Path, request_id: str) -> Iterator[Line]:
    """Yield the log lines of one request; other text is passed over."""
    with path.open('rb') as log_file:
        for raw in log_file:
            if request_id.encode() not in raw:
                continue
            try:
                line = msgspec.json.decode(raw)
            except msgspec.MsgspecError:
                continue
            if line.get('request_id') == request_id:
                yield line


def explain(lines: Iterable[Line]) -> Iterator[str]:
    """Yield one sentence for each line that tells of a decision."""
    for line in lines:
        teller = TELLER_BY_EVENT.get(line['event'])
        if teller is not None:
            yield f'{line["time"]} {teller(line)}'


def _tell_route(line: Line) -> str:
    asked = line['model'] or line['service']
    told = (
        f'attempt {line["attempt"]} for {asked} of workspace '
        f'{line["workspace"] or "(open to all)"} went to {line["target"]}: '
        f'{line["reason"]}'
    )
    scores = line.get('scores_ms') or {}
    if scores:
        ranked = sorted(scores.items(), key=lambda pair: pair[1])
        shown = ', '.join(f'{name} {ms:.1f} ms' for name, ms in ranked)
        told = f'{told}; predicted times to first token: {shown}'
    return told


def _tell_failure(line: Line) -> str:
    return (
        f'the attempt at {line["target"]} failed with {line["code"]} '
        f'({line["cause"]}); what is known of its run: {line["run"]}'
    )


def _tell_outcome(line: Line) -> str:
    return (
        f'the request ended as {line["outcome"]} after {line["attempts"]} '
        f'attempts; what is known of its run: {line["run"]}'
    )


def _tell_refusal(line: Line) -> str:
    return (
        f'the request was refused with {line["code"]} ({line["cause"]}); '
        f'what is known of its run: {line["run"]}'
    )


TELLER_BY_EVENT: dict[str, Callable[[Line], str]] = {
    'route': _tell_route,
    'attempt_failed': _tell_failure,
    'outcome': _tell_outcome,
    'refused': _tell_refusal,
}
