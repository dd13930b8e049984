"""Telling in words, from log files, what became of a request and why."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

Line = dict[str, Any]


def read_lines(path: Path, request_id: str) -> Iterator[Line]:
    """Yield the log lines of one request; other text is passed over.

    What stands before the first brace of a line, such as a collector's
    time and host, is passed over too.
    """
    with path.open('rb') as log_file:
        for raw in log_file:
            start = raw.find(b'{')
            if start < 0 or request_id.encode() not in raw:
                continue
            try:
                line = msgspec.json.decode(raw[start:])
            except msgspec.MsgspecError:
                continue
            if line.get('request_id') == request_id:
                yield line


def join_lines(paths: Iterable[Path], request_id: str) -> list[Line]:
    """Return a request's lines from several files, in order of time."""
    lines = itertools.chain.from_iterable(
        read_lines(path, request_id) for path in paths
    )
    return sorted(lines, key=lambda line: str(line.get('time')))


def as_json(lines: Iterable[Line]) -> Iterator[str]:
    """Yield each line as JSON."""
    for line in lines:
        yield msgspec.json.encode(line).decode()


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


def _tell_early_refusal(line: Line) -> str:
    return (
        f'{line["instance"]} refused the request with {line["status"]} before '
        f'any send: {line["cause"]}; it knew configuration '
        f'{line["catalog_version"]}, confirmed {line["catalog_age_ms"]} ms ago'
    )


def _tell_target_failure(line: Line) -> str:
    return (
        f'target {line["target"]} failed it: {line["cause"]}; the target has '
        f'now failed {line["in_row"]} times in a row, at a rate of '
        f'{line["failure_rate"]}'
    )


def _tell_end(line: Line) -> str:
    told = (
        f'at {line["instance"]} the request on route {line["route"]} for '
        f'{line["model"].strip("/") or "no model"} ended as '
        f'{line["outcome"]}{_because(line["cause"])} after '
        f'{line["total_ms"]} ms: {line["sends"]} sends reached a target, '
        f'{line["runs"]} may have run, {line["events"]} events went '
        f'to the caller; first send after {line["wait_ms"]} ms; '
        f'configuration {line["catalog_version"]}, confirmed '
        f'{line["catalog_age_ms"]} ms before the end'
    )
    steps = line['steps']
    if isinstance(steps, list) and steps:
        return f'{told}; steps: {"; ".join(steps)}'
    return told


def _tell_cut(line: Line) -> str:
    return (
        f'{line["instance"]} ended while the request was open, at the stage '
        f'{line["stage"]}, {line["open_ms"]} ms after it came and '
        f'{line["left_ms"]} ms before its deadline: {line["sends"]} sends '
        f'reached a target, the last to {line["target"] or "none"}, '
        f'{line["events"]} events went to the caller'
    )


def _because(cause: str) -> str:
    return f' ({cause})' if cause else ''


TELLER_BY_EVENT: dict[str, Callable[[Line], str]] = {
    'route': _tell_route,
    'attempt_failed': _tell_failure,
    'outcome': _tell_outcome,
    'refused': _tell_refusal,
    'request_refused': _tell_early_refusal,
    'target_failed': _tell_target_failure,
    'request_ended': _tell_end,
    'request_cut': _tell_cut,
}
