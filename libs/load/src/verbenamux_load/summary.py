"""Summary of a history: outcomes and latency by caller."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from verbenamux_load.history import Completion, HistoryLine, Invocation
from verbenamux_load.prompts import digest_of, whole_answer

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
OK = 200
CONNECTION_REFUSED = 'ConnectionRefusedError'


@dataclass(slots=True)
class CallerSummary:
    """One caller's outcomes and its times to first token."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_token_histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_MICROSECONDS,
            MAX_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        ),
    )

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the time to first token."""
        micros = self.first_token_histogram.get_value_at_percentile(percent)
        return float(micros) / 1000


def summarize(lines: Iterable[HistoryLine]) -> dict[str, CallerSummary]:
    """Return a summary for each caller, by name."""
    by_caller: dict[str, CallerSummary] = defaultdict(CallerSummary)
    for invoked, completed in pair_calls(lines):
        summary = by_caller[invoked.caller]
        summary.outcomes[outcome_of(invoked, completed)] += 1
        if completed is not None and completed.first_token is not None:
            elapsed = completed.first_token - invoked.time
            summary.first_token_histogram.record_value(
                max(MIN_MICROSECONDS, int(elapsed * MICROSECONDS_PER_SECOND)),
            )
    return dict(by_caller)


def pair_calls(
    lines: Iterable[HistoryLine],
) -> Iterator[tuple[Invocation, Completion | None]]:
    """Yield each invocation with its completion, if it has one."""
    invoked: dict[str, Invocation] = {}
    completed: dict[str, Completion] = {}
    for line in lines:
        if isinstance(line, Invocation):
            invoked[line.call_id] = line
        else:
            completed[line.call_id] = line
    for call_id, invocation in invoked.items():
        yield invocation, completed.get(call_id)


def outcome_of(invoked: Invocation, completed: Completion | None) -> str:
    """Return the name of a call's outcome."""
    if completed is None:
        return 'cut_off'
    if completed.failure:
        refused = completed.failure.startswith(CONNECTION_REFUSED)
        return 'unreachable' if refused else 'cut_off'
    if completed.code:
        return completed.code
    if completed.status != OK or not completed.done:
        return 'cut_off'
    return 'whole' if is_whole(invoked, completed) else 'wrong_answer'


def is_whole(invoked: Invocation, completed: Completion) -> bool:
    """Return whether the answer is complete and belongs to the request."""
    if invoked.kind == 'service':
        return digest_of(completed.text) == invoked.prompt_digest
    expected = whole_answer(invoked.prompt_digest, invoked.output_tokens)
    return completed.text == expected


def table(summaries: dict[str, CallerSummary]) -> Iterator[str]:
    """Yield the lines of a readable table."""
    yield f'{"caller":<18}{"calls":>7}{"p50 ms":>9}{"p95 ms":>9}  outcomes'
    for name, summary in sorted(summaries.items()):
        counts = ', '.join(
            f'{outcome} {count}'
            for outcome, count in summary.outcomes.most_common()
        )
        yield (
            f'{name:<18}{summary.outcomes.total():>7}'
            f'{summary.quantile_ms(50):>9.1f}'
            f'{summary.quantile_ms(95):>9.1f}  {counts}'
        )
