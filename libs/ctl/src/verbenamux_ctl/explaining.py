"""Explanations of the outcome of a request, from log files."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

Line = dict[str, Any]


def read_lines(path: Path, request_id: str) -> Iterator[Line]:
    """Yield the log lines of one request; other text is skipped.

    Text before the first brace of a line, such as the time and host that a
    log collector adds, is skipped too.
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
    """Return the lines of a request from several files, sorted by time."""
    lines = itertools.chain.from_iterable(
        read_lines(path, request_id) for path in paths
    )
    return sorted(lines, key=lambda line: str(line.get('time')))


def as_json(lines: Iterable[Line]) -> Iterator[str]:
    """Yield each line as JSON."""
    for line in lines:
        yield msgspec.json.encode(line).decode()


def explain(lines: Iterable[Line]) -> Iterator[str]:
    """Yield a sentence for each line that logs a decision."""
    for line in lines:
        describe = DESCRIBER_BY_EVENT.get(line['event'])
        if describe is not None:
            yield f'{line["time"]} {describe(line)}'


def _describe_route(line: Line) -> str:
    requested = line['model'] or line['service']
    sentence = (
        f'attempt {line["attempt"]} for {requested} of workspace '
        f'{line["workspace"] or "(open to all)"} went to {line["target"]}: '
        f'{line["reason"]}'
    )
    scores = line.get('scores_ms') or {}
    if scores:
        sorted_scores = sorted(scores.items(), key=lambda pair: pair[1])
        scores_text = ', '.join(
            f'{name} {ms:.1f} ms' for name, ms in sorted_scores
        )
        sentence = f'{sentence}; predicted times to first token: {scores_text}'
    return sentence


def _describe_failure(line: Line) -> str:
    return (
        f'the attempt at {line["target"]} failed with {line["code"]} '
        f'({line["cause"]}); what is known of its run: {line["run"]}'
    )


def _describe_outcome(line: Line) -> str:
    return (
        f'the request ended as {line["outcome"]} after {line["attempts"]} '
        f'attempts; what is known of its run: {line["run"]}'
    )


def _describe_refusal(line: Line) -> str:
    return (
        f'the request was refused with {line["code"]} ({line["cause"]}); '
        f'what is known of its run: {line["run"]}'
    )


def _describe_early_refusal(line: Line) -> str:
    return (
        f'{line["instance"]} refused the request with {line["status"]} before '
        f'any send: {line["cause"]}; it knew configuration '
        f'{line["catalog_version"]}, confirmed {line["catalog_age_ms"]} ms ago'
    )


def _describe_target_failure(line: Line) -> str:
    return (
        f'target {line["target"]} failed it: {line["cause"]}; the target has '
        f'now failed {line["in_row"]} times in a row, at a rate of '
        f'{line["failure_rate"]}{_format_arrival(line)}'
    )


def _format_arrival(line: Line) -> str:
    """Return what had arrived, which tells whether the answer had begun."""
    if 'sent_ms' not in line:
        return ''
    arrived = 'no head'
    if line['has_head']:
        arrived = 'events' if line['has_event'] else 'a head and no event'
    return f'; {arrived} had arrived {line["sent_ms"]} ms after the send'


def _describe_suspicion(line: Line) -> str:
    return (
        f'target {line["target"]} ended as it began to answer: prompt parts '
        f'{", ".join(line["parts"])} are suspected, with {line["crashes"]} '
        f'crashes known'
    )


def _describe_end(line: Line) -> str:
    sentence = (
        f'at {line["instance"]} the request on route {line["route"]} for '
        f'{line["model"].strip("/") or "no model"} ended as '
        f'{line["outcome"]}{_format_cause(line["cause"])} after '
        f'{line["total_ms"]} ms: {line["sends"]} sends reached a target, '
        f'{line["runs"]} may have run, {line["events"]} events went '
        f'to the caller; first send after {line["wait_ms"]} ms; '
        f'configuration {line["catalog_version"]}, confirmed '
        f'{line["catalog_age_ms"]} ms before the end'
    )
    steps = line['steps']
    if isinstance(steps, list) and steps:
        return f'{sentence}; steps: {"; ".join(steps)}'
    return sentence


def _describe_cut(line: Line) -> str:
    return (
        f'{line["instance"]} ended while the request was open, at the stage '
        f'{line["stage"]}, {line["open_ms"]} ms after it came and '
        f'{line["left_ms"]} ms before its deadline: {line["sends"]} sends '
        f'reached a target, the last to {line["target"] or "none"}, '
        f'{line["events"]} events went to the caller'
    )


def _format_cause(cause: str) -> str:
    return f' ({cause})' if cause else ''


DESCRIBER_BY_EVENT: dict[str, Callable[[Line], str]] = {
    'route': _describe_route,
    'attempt_failed': _describe_failure,
    'outcome': _describe_outcome,
    'refused': _describe_refusal,
    'request_refused': _describe_early_refusal,
    'target_failed': _describe_target_failure,
    'crash_suspected': _describe_suspicion,
    'request_ended': _describe_end,
    'request_cut': _describe_cut,
}
