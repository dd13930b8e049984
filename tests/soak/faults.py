"""Faults drawn from a seed, injected from outside the programs.

The programs use no wall clock but in their logs, and no storage of their
own; neither has faults here.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent

from soak.evidence import Stop, Trouble
from soak.world import (
    BOUNDS,
    GATEWAYS,
    KEEPERS,
    PLAINS,
    STORE_PORT,
    World,
)
from verbenamux_standin.relay import Cuts

SECONDS = 16.0
FIRST, LAST = 1.5, 10.0
SHORTEST, LONGEST = 0.3, 4.0
LEAST, MOST = 5, 9
LINE_FAULTS = ('lines', 'silent_to', 'silent_from')
DRAIN_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: when it begins, for how long, and what it is."""

    at: float
    seconds: float
    kind: str
    name: str


def draw(seed: int) -> list[Step]:
    """Return the faults of a seed, in order; several may overlap."""
    names_by_kind = NAMES_BY_KIND
    if seed >= FIRST_LATER_SEED:
        names_by_kind = NAMES_BY_KIND | LATER_NAMES_BY_KIND
    random = Random(seed)
    steps = [
        _draw_step(random, names_by_kind)
        for _ in range(random.randint(LEAST, MOST))
    ]
    return sorted(steps, key=lambda step: step.at)


def _draw_step(random: Random, names_by_kind) -> Step:
    kind = random.choice(tuple(names_by_kind))
    return Step(
        round(random.uniform(FIRST, LAST), 2),
        round(random.uniform(SHORTEST, LONGEST), 2),
        kind,
        random.choice(names_by_kind[kind]),
    )


class Injector:
    """Carries out the steps of a run and writes them down."""

    def __init__(self, world: World, evidence, random: Random):
        self.world = world
        self.evidence = evidence
        self.random = random
        self.cuts = Cuts()
        self.busy = set()

    def run(self, steps):
        """Carry out all steps; return once each of them is over."""
        began_at = self.world.now()
        tasks = []
        for step in steps:
            gevent.sleep(max(began_at + step.at - self.world.now(), 0))
            tasks.append(gevent.spawn(self.inject, step))
        gevent.joinall(tasks, raise_error=True)

    def inject(self, step):
        begin = self.world.now()
        touched = ACTIONS[step.kind](self, step) or ()
        end = self.world.now()
        for name, is_program_end in touched:
            self.evidence.troubles.append(
                Trouble(step.kind, name, begin, end, is_program_end),
            )

    def with_lines(self, field, lines, seconds):
        before = set(getattr(self.cuts, field))
        self.cuts = replace_cuts(self.cuts, field, before | set(lines))
        self.world.apply(self.cuts)
        gevent.sleep(seconds)
        before = set(getattr(self.cuts, field))
        self.cuts = replace_cuts(self.cuts, field, before - set(lines))
        self.world.apply(self.cuts)

    def occupy(self, name):
        """Tell whether a program is free for a fault, and take it."""
        if name in self.busy:
            return False
        self.busy.add(name)
        return True


def replace_cuts(cuts, field, lines):
    """Return cuts with one kind of cut lines replaced."""
    known = {name: getattr(cuts, name) for name in Cuts.__struct_fields__}
    return Cuts(**(known | {field: tuple(sorted(lines))}))


def pause(injector, step):
    """Hold a program up with SIGSTOP."""
    if not injector.occupy(step.name):
        return ()
    process = injector.world.programs[step.name]
    process.suspend()
    gevent.sleep(step.seconds)
    process.resume()
    injector.busy.discard(step.name)
    return ((step.name, True),)


def kill(injector, step):
    """End a program at once and start it again."""
    if not injector.occupy(step.name):
        return ()
    process = injector.world.programs[step.name]
    process.popen.kill()
    process.popen.wait()
    gevent.sleep(step.seconds)
    process.start()
    injector.busy.discard(step.name)
    return ((step.name, True),)


def stop(injector, step):
    """Stop a gateway gracefully and start it again once it ended."""
    if not injector.occupy(step.name):
        return ()
    process = injector.world.programs[step.name]
    was_ready = injector.world.is_ready(step.name)
    began_at = injector.world.now()
    process.terminate()
    give_up_at = began_at + BOUNDS['grace_s'] + 1
    while process.running and injector.world.now() < give_up_at:
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
    injector.busy.discard(step.name)
    return ((step.name, True),)


def reload(injector, step):
    """Tell a program that its settings file changed."""
    injector.world.programs[step.name].popen.send_signal(1)
    return ()


def store_down(injector, step):
    """Have the store drop every call."""
    injector.world.faults.down = True
    gevent.sleep(step.seconds)
    injector.world.faults.down = False
    return (('store', False),)


def store_slow(injector, step):
    """Have the store answer late."""
    injector.world.faults.delay_ms = 250
    gevent.sleep(step.seconds)
    injector.world.faults.delay_ms = 0
    return (('store', False),)


def store_loses(injector, step):
    """Have the store lose some answers."""
    injector.world.faults.lose_answers += 5
    gevent.sleep(step.seconds)
    return (('store', False),)


def store_forgets(injector, step):
    """Have the store drop the history of the topics."""
    for topic in ('keyed.servers', 'keyed.op', 'keyed.gateways'):
        injector.world.ask_store(
            'POST',
            '/api/log-trim',
            topic,
            before='1000000',
        )
    return (('store', False),)


def store_refuses(injector, step):
    """Have the store turn one machine away and serve the others."""
    faults = injector.world.faults
    host = f'{injector.world.host(step.name)}:{STORE_PORT}'
    faults.refused_hosts = (*faults.refused_hosts, host)
    gevent.sleep(step.seconds)
    faults.refused_hosts = tuple(
        known for known in faults.refused_hosts if known != host
    )
    return ((f'store>{step.name}', False),)


def store_acts_late(injector, step):
    """Have the store carry some calls out late, without an answer."""
    injector.world.faults.late_ms = 1500
    injector.world.faults.act_late += 3
    gevent.sleep(step.seconds)
    return (('store', False),)


def cut_line(field):
    """Return an action that cuts or silences one line."""

    def action(injector, step):
        injector.with_lines(field, (step.name,), step.seconds)
        return ((step.name.removeprefix('store>'), False), (step.name, False))

    return action


def delay_line(injector, step):
    """Have a line pass everything on late."""
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
    """Reset every connection that a line has now."""
    injector.world.relay.reset(step.name)
    gevent.sleep(0.1)
    return ((step.name.removeprefix('store>'), False), (step.name, False))


def crash(injector, step):
    """End a target; it starts again at its address as another one."""
    target = injector.world.targets[step.name]
    if target.server is None or not injector.occupy(step.name):
        return ()
    old = target.instance
    target.crash()
    injector.world.relay.reset(step.name)
    gevent.sleep(step.seconds)
    target.start()
    injector.world.put('keyed.servers', old, None)
    injector.busy.discard(step.name)
    return ((step.name, False),)


def leave(injector, step):
    """Empty a target, then end it and start another one in its place."""
    world = injector.world
    target = world.targets[step.name]
    if target.server is None or not injector.occupy(step.name):
        return ()
    world.silent_targets.add(step.name)
    old = target.instance
    entry = world.entry(step.name, 'draining')
    acked_at = world.put('keyed.servers', old, entry)
    injector.evidence.draining_at[old] = acked_at
    gevent.sleep(DRAIN_SECONDS + step.seconds)
    world.put('keyed.servers', old, None)
    target.crash()
    world.relay.reset(step.name)
    gevent.sleep(0.3)
    target.start()
    world.silent_targets.discard(step.name)
    injector.busy.discard(step.name)
    return ((step.name, False),)


def worsen(field, amount):
    """Return an action by which a target works worse for a while."""

    def action(injector, step):
        target = injector.world.targets[step.name]
        setattr(target, field, amount)
        gevent.sleep(step.seconds)
        setattr(target, field, 0.0)
        return ((step.name, False),)

    return action


def withdraw(injector, step):
    """Take a key away, and hand another one out."""
    world = injector.world
    # Unlike any key before: the first one is doomed-1.
    key = f'doomed-by-{world.version + 1}'
    doomed = [name for name in world.keys if name.startswith('doomed')]
    for name in doomed:
        world.keys.pop(name)
    world.keys[key] = 'w1'
    world.all_keys[key] = 'w1'
    acked_at = world.put_config()
    for name in doomed:
        injector.evidence.key_withdrawn_at[name] = acked_at
    return ()


def move(injector, step):
    """Lead the plain routes to another service."""
    world = injector.world
    world.plain_service = (
        'archive' if world.plain_service == 'ledger' else 'ledger'
    )
    acked_at = world.put_config()
    injector.evidence.moved.append((acked_at, world.plain_service))
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
# Kinds that came later; seeds from before draw as they did.
LATER_NAMES_BY_KIND = {
    'store_refuses': (*GATEWAYS, *KEEPERS),
    'store_acts_late': ('store',),
}
FIRST_LATER_SEED = 100
ACTIONS: dict[str, Callable] = {
    'pause': pause,
    'kill': kill,
    'stop': stop,
    'reload': reload,
    'store_down': store_down,
    'store_slow': store_slow,
    'store_loses': store_loses,
    'store_forgets': store_forgets,
    'store_refuses': store_refuses,
    'store_acts_late': store_acts_late,
    'cut': cut_line('lines'),
    'silence_to': cut_line('silent_to'),
    'silence_from': cut_line('silent_from'),
    'delay': delay_line,
    'reset': reset_line,
    'crash': crash,
    'leave': leave,
    'fail': worsen('fail_share', 0.4),
    'slow': worsen('slow', 0.3),
    'withdraw': withdraw,
    'move': move,
}
