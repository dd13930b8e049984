"""Runs the soak for one seed, or for many from the command line."""

import argparse
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import gevent

from soak.callers import Callers
from soak.checking import RECOVERY_SECONDS, violations
from soak.evidence import Evidence
from soak.faults import FAULT_PHASE_SECONDS, Injector, draw
from soak.world import World

# Callers continue for this long after the recovery time.
AFTER_RECOVERY_SECONDS = 2.0


def run_seed(seed: int, folder: Path, slot: int, recovers: bool = True):
    """Run the faults of a seed; return the evidence of the run.

    `slot` selects a separate loopback network. Without `recovers` the run
    ends with its last fault.
    """
    random = Random(f'run {seed}')
    evidence = Evidence()
    world = World(folder, slot, random)
    world.all_keys = dict(world.keys)
    evidence.book = world.book
    callers = Callers(world, evidence, random)
    world.start()
    began_at = world.now()
    try:
        callers.start()
        Injector(world, evidence, random).run(draw(seed))
        gevent.sleep(max(began_at + FAULT_PHASE_SECONDS - world.now(), 0))
        if recovers:
            gevent.sleep(RECOVERY_SECONDS + AFTER_RECOVERY_SECONDS)
        callers.stop()
        evidence.unexpected_exits = [
            f'{name} exited unexpectedly with {process.popen.returncode}'
            for name, process in world.programs.items()
            if not process.running
        ]
    finally:
        evidence.exit_codes = world.stop()
    evidence.ended_at = world.now()
    return evidence


def main() -> int:
    """Run seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=10)
    parser.add_argument('--slot', type=int, default=20)
    parser.add_argument('--keep', type=Path, default=None)
    options = parser.parse_args()
    folder = options.keep or Path(tempfile.mkdtemp(prefix='soak-'))
    failed_seeds = 0
    for seed in range(options.first, options.first + options.count):
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        evidence = run_seed(seed, seed_folder, options.slot)
        broken_promises = violations(evidence)
        failed_seeds += bool(broken_promises)
        report(seed, evidence, broken_promises)
    return 1 if failed_seeds else 0


def report(seed, evidence, broken_promises):
    """Print a run as one line of JSON."""
    statuses = Counter(str(attempt.status) for attempt in evidence.attempts)
    line = {
        'seed': seed,
        'attempts': len(evidence.attempts),
        'statuses': dict(sorted(statuses.items())),
        'runs': len(evidence.book.runs),
        'orders': len(evidence.book.orders),
        'faults': [
            f'{step.at} {step.kind} {step.name} {step.seconds}'
            for step in draw(seed)
        ],
        'violations': broken_promises[:20],
    }
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
