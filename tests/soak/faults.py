"""Faults drawn from a seed, injected from outside the programs.

The programs use the wall clock only in their logs and have no storage of
their own, so there are no clock or storage faults.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from signal import SIGHUP, SIGTERM

import gevent

from soak.evidence import FaultPeriod, Stop
from soak.world import (
    BOUNDS,
    GATEWAYS,
    KEEPERS,
    OBJECTIVE_MS_BY_KIND,
    PLAINS,
    STORE_PORT,
    World,
)
from verbenamux_standin.relay import Cuts

FAULT_PHASE_SECONDS = 16.0
FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS = 1.5, 10.0
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.3, 4.0
MIN_FAULTS, MAX_FAULTS = 5, 9
REFUSING_FAULTS = 3
LINE_FAULTS = ('lines', 'silent_to', 'silent_from')
MIN_DRAIN_SECONDS = 2.5
MIN_REFUSING_SECONDS = 3.0
MIN_POISON_SECONDS = 12.0
# How long an engine is away after a request crashed it.
DOWN_SECONDS = 0.4
# A late answer is this much slower: 1.5 objectives.
LATE_SECONDS = 1.5 * OBJECTIVE_MS_BY_KIND['look'] / 1000
SERIES_PAUSE_SECONDS = 0.3
# How long the store is away before it comes back from a copy.
AWAY_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: its start, duration, kind and subject."""

    at: float
    seconds: float
    kind: str
    name: str


def draw(seed: int) -> list[Step]:
    """Return the faults of a seed, in order; several may overlap."""
    names_by_kind = NAMES_BY_KIND
    if seed >= FIRST_SEED_WITH_ADDED_KINDS:
        names_by_kind = NAMES_BY_KIND | ADDED_NAMES_BY_KIND
    random = Random(seed)
    steps = [
        _draw_step(random, names_by_kind)
        for _ in range(random.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    if seed >= FIRST_SEED_WITH_POISON:
        is_mute = seed >= FIRST_SEED_WITH_MUTE_POISON
        kind = 'mute_poison' if is_mute else 'poison'
        steps.append(Step(FIRST_FAULT_SECONDS, 0, kind, KEEPERS[0]))
    if seed >= FIRST_SEED_WITH_ROLLBACKS:
        steps.append(_draw_step(random, {'store_goes_back': ('store',)}))
    if seed >= FIRST_SEED_WITH_REFUSALS:
        steps.extend(
            _draw_step(random, REFUSING_NAMES_BY_KIND)
            for _ in range(REFUSING_FAULTS)
        )
    return sorted(steps, key=lambda step: step.at)


def _draw_step(random: Random, names_by_kind) -> Step:
    kind = random.choice(tuple(names_by_kind))
    return Step(
        round(random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS), 2),
        round(random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 2),
        kind,
        random.choice(names_by_kind[kind]),
    )


class Injector:
    """Injects the faults of a run and records them."""

    def __init__(self, world: World, evidence, random: Random):
        self.world = world
        self.evidence = evidence
        self.random = random
        self.cuts = Cuts()
        self.reserved = set()

    def run(self, steps):
        """Inject all faults; return when the last is over."""
        began_at = self.world.now()
        tasks = []
        for step in steps:
            gevent.sleep(max(began_at + step.at - self.world.now(), 0))
            tasks.append(gevent.spawn(self.inject, step))
        gevent.joinall(tasks, raise_error=True)

    def inject(self, step):
        begin = self.world.now()
        affected = ACTIONS[step.kind](self, step) or ()
        end = self.world.now()
        for name, ends_program in affected:
            self.evidence.fault_periods.append(
                FaultPeriod(step.kind, name, begin, end, ends_program),
            )

    def fault_lines(self, field, lines, seconds):
        faulty_lines = set(getattr(self.cuts, field))
        self.cuts = replace_cuts(self.cuts, field, faulty_lines | set(lines))
        self.world.apply(self.cuts)
        gevent.sleep(seconds)
        faulty_lines = set(getattr(self.cuts, field))
        self.cuts = replace_cuts(self.cuts, field, faulty_lines - set(lines))
        self.world.apply(self.cuts)

    def reserve(self, name):
        """Reserve a program for a fault; return whether it was free."""
        if name in self.reserved:
            return False
        self.reserved.add(name)
        return True


def replace_cuts(cuts, field, lines):
    """Return cuts with one kind of cut lines replaced."""
    current = {name: getattr(cuts, name) for name in Cuts.__struct_fields__}
    return Cuts(**(current | {field: tuple(sorted(lines))}))


def pause(injector, step):
    """Pause a program with SIGSTOP."""
    if not injector.reserve(step.name):
        return ()
    process = injector.world.programs[step.name]
    process.suspend()
    gevent.sleep(step.seconds)
    process.resume()
    injector.reserved.discard(step.name)
    return ((step.name, True),)


def kill(injector, step):
    """Kill a program and restart it."""
    if not injector.reserve(step.name):
        return ()
    process = injector.world.programs[step.name]
    process.popen.kill()
    process.popen.wait()
    gevent.sleep(step.seconds)
    process.start()
    injector.reserved.discard(step.name)
    return ((step.name, True),)


def stop(injector, step):
    """Stop a gateway gracefully and restart it once it has ended."""
    if not injector.reserve(step.name):
        return ()
    process = injector.world.programs[step.name]
    was_ready = injector.world.is_ready(step.name)
    began_at = injector.world.now()
    process.terminate()
    deadline = began_at + BOUNDS['grace_s'] + 1
    while process.running and injector.world.now() < deadline:
        gevent.sleep(0.05)
    ended_at = None if process.running else injector.world.now()
    code = None if process.running else process.popen.returncode
    injector.evidence.stops.append(
        Stop(step.name, began_at, ended_at, code, was_ready),
    )
    if process.running:
        process.popen.kill()
        process.popen.wait()
    process.start()
    injector.reserved.discard(step.name)
    return ((step.name, True),)


def reload(injector, step):
    """Send SIGHUP, so that a program reloads its settings."""
    injector.world.programs[step.name].popen.send_signal(1)
    return ()


def store_down(injector, step):
    """Make the store drop every call."""
    injector.world.faults.down = True
    gevent.sleep(step.seconds)
    injector.world.faults.down = False
    return (('store', False),)


def store_slow(injector, step):
    """Make the store respond 250 ms late."""
    injector.world.faults.delay_ms = 250
    gevent.sleep(step.seconds)
    injector.world.faults.delay_ms = 0
    return (('store', False),)


def store_loses(injector, step):
    """Make the store lose some responses."""
    injector.world.faults.lose_answers += 5
    gevent.sleep(step.seconds)
    return (('store', False),)


def store_forgets(injector, step):
    """Make the store trim the history of its topics."""
    for topic in ('keyed.servers', 'keyed.op', 'keyed.gateways'):
        injector.world.call_store(
            'POST',
            '/api/log-trim',
            topic,
            before='1000000',
        )
    return (('store', False),)


def store_goes_back(injector, step):
    """Make the store come back from an older copy of itself."""
    world = injector.world
    earlier, put_count = world.contents.copy(), len(world.puts)
    gevent.sleep(step.seconds)
    world.faults.down = True
    gevent.sleep(AWAY_SECONDS)
    world.go_back(earlier, put_count)
    world.faults.down = False
    return (('store', False),)


def store_refuses(injector, step):
    """Make the store refuse one host and serve the others."""
    faults = injector.world.faults
    host = f'{injector.world.host(step.name)}:{STORE_PORT}'
    faults.refused_hosts = (*faults.refused_hosts, host)
    gevent.sleep(step.seconds)
    faults.refused_hosts = tuple(
        current for current in faults.refused_hosts if current != host
    )
    return ((f'store>{step.name}', False),)


def store_acts_late(injector, step):
    """Make the store execute some calls late, without a response."""
    injector.world.faults.late_ms = 1500
    injector.world.faults.act_late += 3
    gevent.sleep(step.seconds)
    return (('store', False),)


def cut_line(field):
    """Return an action that cuts or silences a line."""

    def action(injector, step):
        injector.fault_lines(field, (step.name,), step.seconds)
        return ((step.name.removeprefix('store>'), False), (step.name, False))

    return action


def delay_line(injector, step):
    """Make a line forward all data late."""
    delays = injector.cuts.delay_ms_by_line | {step.name: 200}
    injector.cuts = Cuts(
        injector.cuts.lines,
        injector.cuts.silent_to,
        injector.cuts.silent_from,
        0,
        delays,
    )
    injector.world.apply(injector.cuts)
    gevent.sleep(step.seconds)
    injector.cuts.delay_ms_by_line.pop(step.name, None)
    return ((step.name.removeprefix('store>'), False), (step.name, False))


def reset_line(injector, step):
    """Reset the open connections of a line."""
    injector.world.relay.reset(step.name)
    gevent.sleep(0.1)
    return ((step.name.removeprefix('store>'), False), (step.name, False))


def crash(injector, step):
    """Crash a target; it restarts at its address as a new instance."""
    target = injector.world.targets[step.name]
    if target.server is None or not injector.reserve(step.name):
        return ()
    old_instance = target.instance
    target.crash()
    injector.world.relay.reset(step.name)
    gevent.sleep(step.seconds)
    target.start()
    injector.world.put('keyed.servers', old_instance, None)
    injector.reserved.discard(step.name)
    return ((step.name, False),)


def leave(injector, step):
    """Drain a target, then end it and start a new instance in its place."""
    world = injector.world
    target = world.targets[step.name]
    if target.server is None or not injector.reserve(step.name):
        return ()
    world.targets_without_heartbeat.add(step.name)
    old_instance = target.instance
    entry = world.entry(step.name, 'draining')
    acknowledged_at = world.put('keyed.servers', old_instance, entry)
    injector.evidence.draining_at[old_instance] = acknowledged_at
    gevent.sleep(MIN_DRAIN_SECONDS + step.seconds)
    world.put('keyed.servers', old_instance, None)
    target.crash()
    world.relay.reset(step.name)
    gevent.sleep(0.3)
    target.start()
    world.targets_without_heartbeat.discard(step.name)
    injector.reserved.discard(step.name)
    return ((step.name, False),)


def poison(injector, step, *, is_mute=False):
    """Let a part of prompts crash the engines that begin to answer it."""
    world = injector.world
    for name in KEEPERS:
        world.targets[name].is_crash_mute = is_mute
        world.targets[name].on_deadly = partial(
            crash, injector, Step(step.at, DOWN_SECONDS, 'crash', name)
        )
    world.is_poisoned = True
    gevent.sleep(step.seconds + MIN_POISON_SECONDS)
    world.is_poisoned = False
    return tuple((name, False) for name in KEEPERS)


def degrade(min_seconds=0, **amounts):
    """Return an action that degrades a target for a while."""

    def action(injector, step):
        target = injector.world.targets[step.name]
        for field, amount in amounts.items():
            setattr(target, field, amount)
        gevent.sleep(min_seconds + step.seconds)
        for field in amounts:
            setattr(target, field, 0.0)
        return ((step.name, False),)

    return action


def herd(injector, step):
    """Kill all gateways at once and start them again, twice in a row."""
    names = [name for name in GATEWAYS if injector.reserve(name)]
    processes = [injector.world.programs[name] for name in names]
    for _ in range(2):
        for process in processes:
            process.popen.kill()
            process.popen.wait()
        for process in processes:
            process.start()
        gevent.sleep(step.seconds)
    injector.reserved.difference_update(names)
    return tuple((name, True) for name in names)


def series(injector, step):
    """Overlap reloads, configurations and a graceful stop of a gateway."""
    if step.name in injector.reserved:
        return ()
    popen = injector.world.programs[step.name].popen
    stopping = gevent.spawn(stop, injector, step)
    for change in (move, withdraw, move):
        # The process that stops, not the one that is started in its place.
        popen.send_signal(SIGHUP)
        change(injector, step)
        gevent.sleep(SERIES_PAUSE_SECONDS)
        popen.send_signal(SIGTERM)
    return stopping.get()


def withdraw(injector, step):
    """Withdraw a key and grant another one."""
    world = injector.world
    # Must differ from all earlier keys; the first one is doomed-1.
    key = f'doomed-by-{world.version + 1}'
    withdrawn_keys = [name for name in world.keys if name.startswith('doomed')]
    for name in withdrawn_keys:
        world.keys.pop(name)
    world.keys[key] = 'w1'
    world.all_keys[key] = 'w1'
    acknowledged_at = world.put_config()
    for name in withdrawn_keys:
        injector.evidence.withdrawn_at_by_key[name] = acknowledged_at
    return ()


def move(injector, step):
    """Move the plain routes to the other service."""
    world = injector.world
    world.plain_service = (
        'archive' if world.plain_service == 'ledger' else 'ledger'
    )
    acknowledged_at = world.put_config()
    injector.evidence.route_changes.append(
        (acknowledged_at, world.plain_service)
    )
    return ()


LINES = (
    *(f'store>{name}' for name in (*GATEWAYS, *KEEPERS)),
    *GATEWAYS,
    *PLAINS,
    *KEEPERS,
)
TARGETS = (*PLAINS[:2], *KEEPERS)
NAMES_BY_KIND = {
    'pause': (*GATEWAYS, *KEEPERS),
    'kill': (*GATEWAYS, *KEEPERS),
    'stop': GATEWAYS,
    'reload': (*GATEWAYS, *KEEPERS),
    'store_down': ('store',),
    'store_slow': ('store',),
    'store_loses': ('store',),
    'store_forgets': ('store',),
    'cut': LINES,
    'silence_to': LINES,
    'silence_from': LINES,
    'delay': LINES,
    'reset': LINES,
    'crash': TARGETS,
    'leave': TARGETS,
    'fail': PLAINS,
    'slow': (*PLAINS, *KEEPERS),
    'withdraw': ('store',),
    'move': ('store',),
}
# Kinds for seeds from FIRST_SEED_WITH_ADDED_KINDS on; older seeds must
# keep their draws.
ADDED_NAMES_BY_KIND = {
    'store_refuses': (*GATEWAYS, *KEEPERS),
    'store_acts_late': ('store',),
}
FIRST_SEED_WITH_ADDED_KINDS = 100
# From FIRST_SEED_WITH_REFUSALS on some of these come beside the faults drawn:
# targets that refuse, that answer late, and that write copies of refusals;
# gateways that restart together; signals and changes that overlap.
REFUSING_NAMES_BY_KIND = {
    'refuse': TARGETS,
    'late': PLAINS,
    'copy': TARGETS,
    'herd': ('gateways',),
    'series': GATEWAYS,
}
FIRST_SEED_WITH_REFUSALS = 9000
# From this one on the store comes back once from an older copy.
FIRST_SEED_WITH_ROLLBACKS = 11_000
# From this seed on a part of prompts crashes engines, beside the faults drawn.
FIRST_SEED_WITH_POISON = 5000
# From this one on they end before any byte of the answer.
FIRST_SEED_WITH_MUTE_POISON = 10_000
ACTIONS: dict[str, Callable] = {
    'pause': pause,
    'kill': kill,
    'stop': stop,
    'reload': reload,
    'store_down': store_down,
    'store_slow': store_slow,
    'store_loses': store_loses,
    'store_forgets': store_forgets,
    'store_goes_back': store_goes_back,
    'store_refuses': store_refuses,
    'store_acts_late': store_acts_late,
    'cut': cut_line('lines'),
    'silence_to': cut_line('silent_to'),
    'silence_from': cut_line('silent_from'),
    'delay': delay_line,
    'reset': reset_line,
    'crash': crash,
    'leave': leave,
    'fail': degrade(fail_share=0.4),
    'slow': degrade(slow=0.3),
    'withdraw': withdraw,
    'move': move,
    'poison': poison,
    'mute_poison': partial(poison, is_mute=True),
    'refuse': degrade(MIN_REFUSING_SECONDS, refuse_share=0.5, hold_share=0.3),
    'late': degrade(slow=LATE_SECONDS),
    'copy': degrade(MIN_REFUSING_SECONDS, refuse_share=0.5, copy_share=0.5),
    'herd': herd,
    'series': series,
}
