"""Runs a program with one of its mechanisms disabled.

This shows that checks can fail: scenarios name a mechanism, and the run
without it must break the promise. The programs have no such switch, so
the mechanism is replaced here before the program starts.
"""

import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any

Patch = Callable[[], None]

MAIN_BY_PROGRAM = {
    'verbenamux-gateway': 'verbenamux_gateway.cli',
    'verbenamux-agent': 'verbenamux_agent.cli',
}


class UnknownMutantError(Exception):
    """No mechanism of that name can be disabled."""


def main() -> None:
    """Disable the named mechanism and run the program."""
    name, console_script, *arguments = sys.argv[1:]
    patch = PATCH_BY_NAME.get(name)
    if patch is None:
        raise UnknownMutantError(name)
    patch()
    sys.argv = [console_script, *arguments]
    import_module(MAIN_BY_PROGRAM[console_script]).main()


def _replace(module: str, path: str, replacement: Any) -> Patch:
    """Return a patch that replaces an attribute of a module's class."""

    def patch() -> None:
        owner = import_module(module)
        *parents, last = path.split('.')
        for parent in parents:
            owner = getattr(owner, parent)
        setattr(owner, last, replacement)

    return patch


def _always(outcome: Any) -> Callable[..., Any]:
    return lambda *_args, **_options: outcome


def _lend_without_debit(
    escrow: Any,
    workspace: str,
    tokens: int,
    at_most: int = 0,
) -> int:
    """Lend tokens without debiting them."""
    return max(tokens, at_most)


def _retry_anything(delivery: Any, run: Any) -> bool:
    """Retry whether or not the request may have run."""
    return bool(delivery.attempts < 3)


def _accept_any_event(executor: Any, attempt: Any, response: Any) -> Any:
    """Relay events without checking which attempt they belong to."""
    target = import_module('verbenamux_agent.target')
    execution = import_module('verbenamux_agent.execution')
    for payload in target.read_events(response):
        if payload == execution.DONE:
            return execution._end(attempt)
        executor._add_chunk(attempt, payload)
    return None


def _resume_as_not_run(executor: Any, attempt: Any) -> Any:
    """Report attempts of an earlier agent instance as not run."""
    messages = import_module('verbenamux_contracts.messages')
    return messages.Broken(
        attempt.dispatch.attempt_id,
        'not_run',
        'outcome_unknown',
        'taken for not run',
    )


def _rebase(configuration: Any, record: Any) -> Any:
    """Apply a patch without checking its base version."""
    fold = import_module('verbenamux_config.fold')
    patch = import_module('verbenamux_config.operations').Patch
    if not isinstance(record, patch):
        return fold.Success(fold.withdraw(configuration, record.key_hashes))
    return fold._apply_patch(configuration, record)


def _pass_keys_on() -> None:
    """Forward the key's header and do not check for the key."""
    request_parsing = import_module('verbenamux_gateway.request_parsing')
    module_globals = request_parsing.__dict__
    module_globals['HOP_HEADERS'] = frozenset()
    module_globals['_check_key_not_exposed'] = module_globals['Success']


def _drain_at_once(gateway: Any) -> None:
    """Stop without waiting for open requests."""


def _free_by_report_only(ledger: Any) -> int:
    """Count only memory that the target's report shows as used."""
    reported_rows = [
        row for row in ledger.row_by_key.values() if row.was_reported
    ]
    return int(ledger.capacity_mb - sum(row.memory_mb for row in reported_rows))


def _claim_nothing(keeper: Any, *_: Any) -> None:
    """Let every request with an Idempotency-Key through."""


GATEWAY = 'verbenamux_gateway'
AGENT = 'verbenamux_agent'

PATCH_BY_NAME: dict[str, Patch] = {
    'resume': _replace(
        f'{GATEWAY}.delivery',
        'Delivery._request_missing_chunks',
        _always(True),
    ),
    'retries': _replace(
        f'{GATEWAY}.delivery',
        'Delivery._may_retry',
        _always(False),
    ),
    'one-attempt': _replace(
        f'{GATEWAY}.delivery',
        'Delivery._may_retry',
        _retry_anything,
    ),
    'proof-of-not-run': _replace(
        f'{AGENT}.execution',
        'Executor.resume',
        _resume_as_not_run,
    ),
    'event-names': _replace(
        f'{AGENT}.execution',
        'Executor._relay_events',
        _accept_any_event,
    ),
    'claims': _replace(
        f'{GATEWAY}.claims',
        'ClaimManager.claim',
        _claim_nothing,
    ),
    'debit-first': _replace(
        'verbenamux_admission.escrow',
        'Escrow.lend',
        _lend_without_debit,
    ),
    'key-checks': _replace(
        f'{GATEWAY}.accounting',
        'make_permission_check',
        _always(_always(None)),
    ),
    'reservations': _replace(
        'verbenamux_placement.ledger',
        'Ledger.free_mb',
        property(_free_by_report_only),
    ),
    'consent': _replace(
        f'{AGENT}.holdings',
        'Holdings.consents_to_keep',
        _always(True),
    ),
    'base-check': _replace(
        'verbenamux_config.fold',
        'apply_record',
        _rebase,
    ),
    'reach-check': _replace(
        f'{GATEWAY}.admission',
        'may_reach_model',
        _always(True),
    ),
    'target-silence': _replace(
        f'{AGENT}.holdings',
        'Holdings.target_up',
        property(_always(True)),
    ),
    'key-strip': _pass_keys_on,
    'leaving-marks': _replace(
        f'{GATEWAY}.fleet',
        'Fleet.mark_leaving',
        _always(None),
    ),
    'drain': _replace(f'{GATEWAY}.running', '_drain', _drain_at_once),
}

if __name__ == '__main__':
    main()
