"""One run of the soak from a seed, and many of them by hand."""

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
from soak.faults import SECONDS, Injector, draw
from soak.world import World

# Behind the recovery time callers go on for this long.
SERVED_SECONDS = 2.0


def run_seed(seed: int, folder: Path, slot: int, recovers: bool = True):
    """Play the faults of a seed; return the evidence of the run.

    `slot` picks loopback addresses of its own. Without `recovers` the run
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
        gevent.sleep(max(began_at + SECONDS - world.now(), 0))
        if recovers:
            gevent.sleep(RECOVERY_SECONDS + SERVED_SECONDS)
        callers.stop()
        evidence.ended_alone = [
            f'{name} ended by itself with {process.popen.returncode}'
            for name, process in world.programs.items()
            if not process.running
        ]
    finally:
        evidence.exit_codes = world.stop()
    evidence.ended_at = world.now()
    return evidence


def main() -> int:
    """Play seeds one after the other; return 1 if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=10)
    parser.add_argument('--slot', type=int, default=20)
    parser.add_argument('--keep', type=Path, default=None)
    options = parser.parse_args()
    folder = options.keep or Path(tempfile.mkdtemp(prefix='soak-'))
    broken = 0
    for seed in range(options.first, options.first + options.count):
        place = folder / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        evidence = run_seed(seed, place, options.slot)
        found = violations(evidence)
        broken += bool(found)
        report(seed, evidence, found)
    return 1 if broken else 0


def report(seed, evidence, found):
    """Print one line of JSON about a run."""
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
        'violations': found[:20],
    }
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
