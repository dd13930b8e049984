"""Checks the evidence of a run against the promises; reports violations."""

import enum
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from verbenamux_load.evidence import Event, Evidence
from verbenamux_load.history import Completion, Invocation
from verbenamux_load.summary import outcome_of

MAX_WITHDRAWAL_SECONDS = 5.0
MAX_LEAVING_SECONDS = 5.0
MAX_ACTIVATION_SECONDS = 10.0
CALL_ID_PATTERN = re.compile(r'\b([\w-]+~\d+)\b')
NOT_RUN = 'not_run'
CUT_OFF = 'cut_off'
WRONG_ANSWER = 'wrong_answer'
WHOLE = 'whole'


class Promise(enum.Enum):
    """The promises of the system that the checker verifies."""

    MEMORY = 'memory-never-overcommitted'
    REACHABLE = 'every-model-reachable'
    OWN_WORKSPACE = 'only-the-keys-workspace'
    NO_KEY_AT_TARGET = 'no-key-at-a-target'
    WITHDRAWN = 'withdrawn-key-stops'
    RATE = 'rate-and-burst'
    WHOLE_ANSWER = 'whole-answer'
    NOT_RUN = 'not-run-is-true'
    AT_MOST_ONCE = 'at-most-once'
    LEAVING = 'leaving-target-gets-no-work'
    SHUTDOWN = 'shutdown-cuts-nothing'
    IN_FORCE = 'configuration-in-force'


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise and the history lines that prove it."""

    promise: Promise
    message: str
    lines: tuple[str, ...] = ()


TokenSpend = tuple[float, float, int]
Check = Callable[[Evidence], Iterator[Violation]]


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return every violation that the evidence shows."""
    return [violation for check in CHECKS for violation in check(evidence)]


def check_memory(evidence: Evidence) -> Iterator[Violation]:
    """No engine ever uses more memory than it has."""
    for target, events in evidence.events_by_target.items():
        for event in events:
            if event['event'] == 'overcommit':
                yield Violation(
                    Promise.MEMORY,
                    f'{target} held {event["used_mb"]} MB',
                    (str(event),),
                )


def check_reachable(evidence: Evidence) -> Iterator[Violation]:
    """Once loaded, a model always has a ready copy on some engine.

    Killed engines are excluded because their copies are lost in any case.
    """
    changes = [
        (event['time'], target, event)
        for target, events in evidence.events_by_target.items()
        if target not in evidence.killed_targets
        for event in events
        if event['event'] in {'load_done', 'unloaded'}
    ]
    copies: Counter[str] = Counter()
    for _, target, event in sorted(changes, key=lambda change: change[0]):
        model = event['model']
        loaded = event['event'] == 'load_done'
        copies[model] += 1 if loaded else -1
        if not copies[model] and not event.get('adapter'):
            yield Violation(
                Promise.REACHABLE,
                f'{target} dropped the last copy of {model}',
                (str(event),),
            )


def check_workspaces(evidence: Evidence) -> Iterator[Violation]:
    """A call is answered only if its workspace may use the model."""
    for invoked, completed in evidence.calls:
        workspace = evidence.workspace_by_caller.get(invoked.caller)
        if workspace is None or not invoked.model:
            continue
        allowed = evidence.models_by_workspace[workspace]
        answered = completed is not None and completed.status == 200
        if answered and invoked.model not in allowed:
            yield Violation(
                Promise.OWN_WORKSPACE,
                f'{workspace} was answered by {invoked.model}',
                (str(invoked), str(completed)),
            )


def check_keys(evidence: Evidence) -> Iterator[Violation]:
    """No target receives an API key, and no log line contains one."""
    for target, event in evidence.runs():
        text = str(event)
        if any(key in text for key in evidence.keys):
            yield Violation(Promise.NO_KEY_AT_TARGET, target, (text,))
    for line in evidence.log_lines:
        if any(key.encode() in line for key in evidence.keys):
            yield Violation(
                Promise.NO_KEY_AT_TARGET,
                'a log line holds a key',
                (line.decode(errors='replace'),),
            )


def check_withdrawn(evidence: Evidence) -> Iterator[Violation]:
    """No call is served more than 5 s after its key was withdrawn."""
    for invoked, completed in evidence.calls:
        workspace = evidence.workspace_by_caller.get(invoked.caller, '')
        withdrawn_at = evidence.withdrawn_at.get(workspace)
        if withdrawn_at is None or completed is None:
            continue
        late = completed.time > withdrawn_at + MAX_WITHDRAWAL_SECONDS
        if late and outcome_of(invoked, completed) == WHOLE:
            yield Violation(
                Promise.WITHDRAWN,
                f'served {completed.time - withdrawn_at:.1f} s later',
                (str(invoked), str(completed)),
            )


def check_rates(evidence: Evidence) -> Iterator[Violation]:
    """No time window has more tokens than rate times length plus burst.

    Only calls that begin and end inside the window are counted, so a
    violation is real whenever within the call its tokens were spent.
    """
    spent: defaultdict[str, list[TokenSpend]] = defaultdict(list)
    for invoked, completed in evidence.calls:
        workspace = evidence.workspace_by_caller.get(invoked.caller, '')
        if completed is not None and workspace in evidence.limit_by_workspace:
            spent[workspace].append(
                (invoked.time, completed.time, completed.tokens),
            )
    for workspace, calls in spent.items():
        yield from _check_windows(evidence, workspace, calls)


def _check_windows(
    evidence: Evidence,
    workspace: str,
    calls: list[TokenSpend],
) -> Iterator[Violation]:
    limit = evidence.limit_by_workspace[workspace]
    by_end = sorted(calls, key=lambda call: call[1])
    for begin in sorted({call[0] for call in calls}):
        total = 0
        for invoked, ended, tokens in by_end:
            if invoked < begin:
                continue
            total += tokens
            allowed = limit.rate * (ended - begin) + limit.burst
            if total > allowed:
                yield Violation(
                    Promise.RATE,
                    f'{workspace} got {total} tokens in '
                    f'{ended - begin:.2f} s, {allowed:.0f} allowed',
                )
                return


def check_whole(evidence: Evidence) -> Iterator[Violation]:
    """Every answer is complete and belongs to its caller."""
    for invoked, completed in evidence.calls:
        outcome = outcome_of(invoked, completed)
        if outcome == WRONG_ANSWER:
            yield _call_violation(
                Promise.WHOLE_ANSWER, outcome, invoked, completed
            )
        if (
            outcome == CUT_OFF
            and invoked.gateway not in evidence.killed_gateways
        ):
            promise = Promise.WHOLE_ANSWER
            if invoked.gateway in evidence.terminated_gateways:
                promise = Promise.SHUTDOWN
            yield _call_violation(promise, outcome, invoked, completed)


def check_not_run(evidence: Evidence) -> Iterator[Violation]:
    """A call refused as `not_run` reached no target."""
    runs = _runs_by_call(evidence)
    for invoked, completed in evidence.calls:
        refused = completed is not None and completed.run == NOT_RUN
        if refused and runs[invoked.call_id]:
            yield _call_violation(
                Promise.NOT_RUN,
                'ran at a target',
                invoked,
                completed,
            )


def check_at_most_once(evidence: Evidence) -> Iterator[Violation]:
    """Non-idempotent calls and Idempotency-Keys run at most once."""
    runs = _runs_by_call(evidence)
    for invoked, completed in evidence.calls:
        if not invoked.idempotent and len(runs[invoked.call_id]) > 1:
            yield _call_violation(
                Promise.AT_MOST_ONCE,
                f'ran {len(runs[invoked.call_id])} times',
                invoked,
                completed,
            )
    by_key: Counter[str] = Counter()
    for invoked, _ in evidence.calls:
        if invoked.idempotency_key:
            key = f'{invoked.caller}/{invoked.idempotency_key}'
            by_key[key] += len(runs[invoked.call_id])
    for key, count in by_key.items():
        if count > 1:
            yield Violation(Promise.AT_MOST_ONCE, f'{key} ran {count} times')


def check_leaving(evidence: Evidence) -> Iterator[Violation]:
    """A leaving target gets no new call after 5 s."""
    invoked_at = {
        invoked.call_id: invoked.time for invoked, _ in evidence.calls
    }
    for target, event in evidence.runs():
        left_at = evidence.left_at.get(target)
        call_id = _call_id_of(event)
        if left_at is None or call_id not in invoked_at:
            continue
        if invoked_at[call_id] > left_at + MAX_LEAVING_SECONDS:
            yield Violation(Promise.LEAVING, target, (str(event),))


def check_versions(evidence: Evidence) -> Iterator[Violation]:
    """Versions never go back, agree everywhere and take effect in 10 s."""
    digest_by_version: dict[int, str] = {}
    last: dict[str, int] = {}
    for change in sorted(evidence.versions, key=lambda event: event.time):
        if change.version < last.get(change.instance, 0):
            yield Violation(
                Promise.IN_FORCE,
                f'{change.process} went back to version {change.version}',
            )
        last[change.instance] = change.version
        digest = digest_by_version.setdefault(change.version, change.digest)
        if digest != change.digest:
            yield Violation(
                Promise.IN_FORCE,
                f'{change.process} has another version {change.version}',
            )
        newest_version = evidence.last_version
        if newest_version is not None and change.version > newest_version:
            yield Violation(
                Promise.IN_FORCE,
                f'{change.process} took a patch that was refused',
            )
    yield from _late_versions(evidence)


def _late_versions(evidence: Evidence) -> Iterator[Violation]:
    for version, patched_at in evidence.patched_at.items():
        for gateway in evidence.watched_gateways:
            times = [
                change.time
                for change in evidence.versions
                if change.process == gateway and change.version >= version
            ]
            due = patched_at + MAX_ACTIVATION_SECONDS
            if not times or min(times) > due:
                yield Violation(
                    Promise.IN_FORCE,
                    f'version {version} was not in force at {gateway} in time',
                )


def _runs_by_call(evidence: Evidence) -> defaultdict[str, list[Event]]:
    runs: defaultdict[str, list[Event]] = defaultdict(list)
    for _, event in evidence.runs():
        runs[_call_id_of(event)].append(event)
    return runs


def _call_id_of(event: Event) -> str:
    match = CALL_ID_PATTERN.search(event['body'])
    return match.group(1) if match else ''


def _call_violation(
    promise: Promise,
    message: str,
    invoked: Invocation,
    completed: Completion | None,
) -> Violation:
    return Violation(promise, message, (str(invoked), str(completed)))


CHECKS: tuple[Check, ...] = (
    check_memory,
    check_reachable,
    check_workspaces,
    check_keys,
    check_withdrawn,
    check_rates,
    check_whole,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_versions,
)
