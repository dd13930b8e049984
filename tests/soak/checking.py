"""The promises, checked on what callers and targets saw.

Each check yields what broke its promise. Bounds are those that the programs
are told, or that the platform's rules state.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from signal import SIGTERM

from soak.evidence import Attempt, Evidence, Stop
from soak.targets import (
    EVENTS,
    event_bytes,
    proof_of,
    whole_answer,
)
from soak.world import (
    BOUNDS,
    BURST,
    KEEPERS,
    RATE,
    STREAMS,
    TIMEOUT_MS_BY_KIND,
)

PROMISING = frozenset((408, 421, 429, 503))
OK = 200
UNAVAILABLE = 503
# Beyond the time named in a request its end may take this long.
ANSWER_SECONDS = 0.5
# A configuration is in force at every gateway in touch after this time.
APPLY_SECONDS = 2.0
# After the word that a target leaves, nothing new reaches it behind this.
DRAIN_SECONDS = 2.0
# Trouble before this time in front of a request excuses nothing any more.
MEMORY_SECONDS = 4.0
QUOTA_WINDOW = 8.0
QUOTA_OVERAGE = 1.1
QUOTA_SLACK = 20
RECOVERY_SECONDS = 12.0
# Of the requests behind the recovery time at least this part is served.
RECOVERED_PART = 0.25


def violations(evidence: Evidence) -> list[str]:
    """Return all broken promises, each with what shows it."""
    return [
        f'{check.__name__}: {found}'
        for check in CHECKS
        for found in check(evidence)
    ]


def run_once(evidence: Evidence) -> Iterator[str]:
    """What may not be repeated runs at most once."""
    runs = _runs_by_request(evidence)
    for attempt in evidence.attempts:
        count = len(runs[attempt.request_id])
        if attempt.kind == 'order' and count > 1:
            yield f'{attempt.request_id} ran {count} times'


def refused_never_ran(evidence: Evidence) -> Iterator[str]:
    """An answer that promises no run is true."""
    runs = _runs_by_request(evidence)
    for attempt in evidence.attempts:
        if attempt.status in PROMISING and runs[attempt.request_id]:
            yield f'{attempt.request_id} got {attempt.status} and ran'


def answers_are_the_targets(evidence: Evidence) -> Iterator[str]:
    """Answers and proofs arrive as the target made them."""
    for attempt in evidence.attempts:
        if attempt.status != OK or attempt.has_left:
            continue
        if attempt.proof != proof_of(attempt.request_id):
            yield f'{attempt.request_id} has proof {attempt.proof}'
        wanted = _body(attempt)
        is_right = (
            attempt.body == wanted
            if attempt.is_whole
            else wanted.startswith(attempt.body)
        )
        if not is_right:
            yield f'{attempt.request_id} got {attempt.body!r}'


def workspaces_are_told(evidence: Evidence) -> Iterator[str]:
    """A target learns the workspace that holds the caller's key."""
    workspaces = {
        attempt.request_id: attempt.workspace for attempt in evidence.attempts
    }
    for run in evidence.book.runs:
        if run.workspace != workspaces.get(run.request_id):
            yield f'{run.request_id} ran for {run.workspace!r}'


def keys_reach_no_target(evidence: Evidence) -> Iterator[str]:
    """A caller's key is not passed on."""
    if 'HTTP_AUTHORIZATION' in evidence.book.fields:
        yield 'a target saw the field that names a key'


def withdrawn_keys_open_nothing(evidence: Evidence) -> Iterator[str]:
    """No request with a withdrawn key runs, whoever is out of touch."""
    runs = _runs_by_request(evidence)
    for attempt in evidence.attempts:
        withdrawn_at = evidence.key_withdrawn_at.get(attempt.key)
        if withdrawn_at is None or not runs[attempt.request_id]:
            continue
        late = attempt.sent_at - withdrawn_at
        if late > BOUNDS['revoke_ms'] / 1000:
            yield f'{attempt.request_id} ran {late:.2f} s behind its key'


def gateways_in_touch_trust_keys(evidence: Evidence) -> Iterator[str]:
    """A gateway that reaches the store refuses no key as unsure.

    Another gateway that reads for it may be in trouble.
    """
    for attempt in evidence.attempts:
        is_unsure = attempt.status == UNAVAILABLE and (
            b'could not be confirmed' in attempt.body
        )
        if not is_unsure:
            continue
        begin = attempt.sent_at - BOUNDS['revoke_ms'] / 1000 - MEMORY_SECONDS
        names = {attempt.gateway, 'store', f'store>{attempt.gateway}'}
        if not evidence.is_touched(names, begin, attempt.sent_at):
            yield f'{attempt.request_id} was refused at {attempt.gateway}'


def routes_follow_the_configuration(evidence: Evidence) -> Iterator[str]:
    """A gateway in touch uses a new route in time."""
    runs = _runs_by_request(evidence)
    for attempt in evidence.attempts:
        past = [
            moved for moved in evidence.moved if moved[0] <= attempt.sent_at
        ]
        if not past or attempt.kind in STREAMS:
            continue
        acked_at, service = past[-1]
        begin = acked_at - MEMORY_SECONDS
        names = {attempt.gateway, 'store', f'store>{attempt.gateway}'}
        if attempt.sent_at - acked_at <= APPLY_SECONDS:
            continue
        if evidence.is_touched(names, begin, attempt.sent_at):
            continue
        for run in runs[attempt.request_id]:
            if run.service != service:
                yield (
                    f'{attempt.request_id} ran at {run.service} '
                    f'{attempt.sent_at - acked_at:.2f} s behind the move'
                )


def leaving_targets_get_nothing(evidence: Evidence) -> Iterator[str]:
    """A gateway in touch sends nothing to a target that leaves."""
    gateways = {
        attempt.request_id: attempt.gateway for attempt in evidence.attempts
    }
    for arrived_at, request_id, instance in evidence.book.arrivals:
        acked_at = evidence.draining_at.get(instance)
        if acked_at is None or arrived_at - acked_at <= DRAIN_SECONDS:
            continue
        gateway = gateways.get(request_id, '')
        names = {gateway, 'store', f'store>{gateway}'}
        begin = acked_at - MEMORY_SECONDS
        if not evidence.is_touched(names, begin, arrived_at):
            late = arrived_at - acked_at
            yield f'{request_id} came to {instance} after {late:.2f} s'


def callers_get_an_end_in_time(evidence: Evidence) -> Iterator[str]:
    """Every request has its final answer when its time is over."""
    for attempt in evidence.attempts:
        if attempt.has_left or attempt.ended_at is None:
            continue
        took = attempt.ended_at - attempt.sent_at
        allowed = TIMEOUT_MS_BY_KIND[attempt.kind] / 1000
        limit = allowed + ANSWER_SECONDS
        if took <= limit:
            continue
        begin = attempt.sent_at - MEMORY_SECONDS
        if not evidence.is_touched({attempt.gateway}, begin, attempt.ended_at):
            yield f'{attempt.request_id} took {took:.2f} s'


def stops_lose_nothing(evidence: Evidence) -> Iterator[str]:
    """A program told to stop ends what it took, itself, and in time."""
    for stop in evidence.stops:
        # Told before it handles signals, a program ends by the signal.
        fine = {0} if stop.was_ready else {0, -SIGTERM}
        if stop.code not in fine:
            yield f'{stop.name} ended with {stop.code}'
        end = stop.ended_at or stop.began_at + BOUNDS['grace_s']
        for attempt in evidence.attempts:
            is_open = (
                attempt.gateway == stop.name
                and attempt.sent_at <= end
                and (attempt.ended_at or end) >= stop.began_at
            )
            if not is_open or not _is_lost(evidence, attempt, stop):
                continue
            if not _is_troubled(evidence, attempt, end, but='stop'):
                yield f'{attempt.request_id} was lost: {attempt.failure}'


def _is_lost(evidence: Evidence, attempt: Attempt, stop: Stop) -> bool:
    """Tell whether a stop cut a request that its gateway had taken.

    One sent behind the signal may cross the close of its connection, unless
    it was passed on or held. A stream may be cut in the last sixth of a stop.
    """
    ended_at = attempt.ended_at or evidence.ended_at
    if attempt.has_left or attempt.is_whole:
        return False
    if attempt.status is not None:
        return ended_at < stop.began_at + BOUNDS['grace_s'] * 5 / 6
    if attempt.sent_at <= stop.began_at:
        return True
    has_run = bool(_runs_by_request(evidence)[attempt.request_id])
    return has_run or ended_at - attempt.sent_at > ANSWER_SECONDS


def engines_have_one_holder(evidence: Evidence) -> Iterator[str]:
    """An engine gets its orders from one holder, with rising tokens."""
    holders: defaultdict[str, set[str]] = defaultdict(set)
    highest: dict[str, int] = {}
    for _at, instance, order in evidence.book.orders:
        holders[instance].add(order['holder'])
        token = order['fencing_token']
        if token < highest.get(instance, 0):
            yield f'{instance} was ordered with an old token {token}'
        highest[instance] = max(token, highest.get(instance, 0))
    for instance, names in holders.items():
        if len(names) > 1:
            yield f'{instance} was ordered by {sorted(names)}'


def engines_are_not_overrun(evidence: Evidence) -> Iterator[str]:
    """No order asks for more than an engine holds."""
    yield from evidence.book.crashes


def limits_hold(evidence: Evidence) -> Iterator[str]:
    """A workspace runs no more than its limit, over all gateways."""
    most = (RATE * QUOTA_WINDOW + BURST) * QUOTA_OVERAGE + QUOTA_SLACK
    times = sorted(
        run.arrived_at for run in evidence.book.runs if run.workspace == 'w2'
    )
    for begin in times:
        within = sum(begin <= at <= begin + QUOTA_WINDOW for at in times)
        if within > most:
            yield f'{within} requests ran in {QUOTA_WINDOW} s'
            return


def service_recovers(evidence: Evidence) -> Iterator[str]:
    """Behind the last fault and the time to recover, callers are served."""
    last = max((trouble.end for trouble in evidence.troubles), default=0)
    recent = [
        attempt
        for attempt in evidence.attempts
        if attempt.sent_at > last + RECOVERY_SECONDS
        and attempt.key == 'kept'
        and not attempt.has_left
    ]
    served = sum(attempt.status == OK for attempt in recent)
    if recent and served < RECOVERED_PART * len(recent):
        yield f'{served} of {len(recent)} were served in the end'


def programs_keep_running(evidence: Evidence) -> Iterator[str]:
    """No program ends by itself, and all stop when told to."""
    yield from evidence.ended_alone
    for name, code in evidence.exit_codes.items():
        if code != 0:
            yield f'{name} ended with {code}'


def _is_troubled(
    evidence: Evidence,
    attempt: Attempt,
    end: float,
    but: str,
) -> bool:
    """Tell whether any fault but one kind may explain a lost request."""
    begin = attempt.sent_at - MEMORY_SECONDS
    return any(
        trouble.begin <= end and trouble.end >= begin
        for trouble in evidence.troubles
        if not (trouble.kind == but and trouble.name == attempt.gateway)
        and (
            trouble.name == attempt.gateway
            or trouble.name in KEEPERS
            or trouble.name.startswith('plain')
        )
    )


def _body(attempt: Attempt) -> bytes:
    if attempt.kind in STREAMS:
        return b''.join(
            event_bytes(attempt.request_id, number)
            for number in range(1, EVENTS + 1)
        )
    return whole_answer(attempt.request_id)


def _runs_by_request(evidence: Evidence):
    runs = defaultdict(list)
    for run in evidence.book.runs:
        runs[run.request_id].append(run)
    return runs


CHECKS: tuple[Callable[[Evidence], Iterator[str]], ...] = (
    run_once,
    refused_never_ran,
    answers_are_the_targets,
    workspaces_are_told,
    keys_reach_no_target,
    withdrawn_keys_open_nothing,
    gateways_in_touch_trust_keys,
    routes_follow_the_configuration,
    leaving_targets_get_nothing,
    callers_get_an_end_in_time,
    stops_lose_nothing,
    engines_have_one_holder,
    engines_are_not_overrun,
    limits_hold,
    service_recovers,
    programs_keep_running,
)
