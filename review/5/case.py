"""A part of a prompt that crashes servers after their first event.

CRASH_AFTER=0 has them crash between the head and the first event instead: the
gateways detect that, and the rule holds.
"""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import ENGINE, MODEL, Callers, configuration, route  # noqa: E402
from fleet import STABLE_WINDOW_S, TROUBLE, play  # noqa: E402

SERVERS, GATEWAYS = range(1, 6), (1, 2)
DEADLY = 'dead0001'
DOWN_S = 3.0
PLAY_S = 60.0
ALLOWED = 3


def restart_crashed(fleet, fields, over):
    """Start each server again some seconds after its end, with a new id."""
    down_since = {}
    while not over.wait(0.1):
        for number, process in tuple(fleet.servers.items()):
            if process.poll() is None:
                continue
            since = down_since.setdefault(number, time.monotonic())
            if time.monotonic() - since > DOWN_S:
                del down_since[number]
                fleet.start_server(number, **fields)


def run(fleet):
    fields = {
        'service': ENGINE,
        'models': [MODEL],
        'deadly_part': DEADLY if TROUBLE else None,
        'crash_after_events': int(os.environ.get('CRASH_AFTER', '1')),
    }
    routes = [route('draft', 'streaming', ENGINE, resumable=True)]
    fleet.store.put('keyed.op', 'config', configuration(routes))
    for number in SERVERS:
        fleet.start_server(number, **fields)
        fleet.start_keeper(number, ENGINE)
    for number in GATEWAYS:
        fleet.start_gateway(number)
    fleet.wait_ready(GATEWAYS)
    time.sleep(STABLE_WINDOW_S)

    over = threading.Event()
    threading.Thread(
        target=restart_crashed, args=(fleet, fields, over), daemon=True
    ).start()
    callers = Callers(fleet)
    ends_at = time.monotonic() + PLAY_S
    tick, deadly_ids = 0, set()
    while time.monotonic() < ends_at:
        gateway = GATEWAYS[tick % len(GATEWAYS)]
        parts = ['first001', f'session{tick % 7}', f'own{tick}']
        callers.send(gateway, '/draft/x', parts, prefix='sound')
        if tick % 12 == 6:
            parts = ['first001', DEADLY, f'last{tick}']
            gateway = GATEWAYS[tick // 12 % len(GATEWAYS)]
            deadly_ids.add(
                callers.send(gateway, '/draft/x', parts, prefix='deadly')
            )
        tick += 1
        time.sleep(1 / 6)
    callers.wait(8)
    over.set()

    crashes = [entry['at'] for entry in fleet.book_lines('crash')]
    seen = [f'{len(deadly_ids)} requests with the part, {len(crashes)} crashes']
    sound = [
        answer
        for request_id, answer in callers.answers.items()
        if request_id not in deadly_ids
    ]
    whole = sum(answer.status == 200 and answer.complete for answer in sound)
    seen.append(f'{len(sound)} sound requests, {whole} got a whole answer')
    if not TROUBLE and whole < len(sound) * 0.95:
        return ['sound requests fail without the disruption'], seen
    if len(crashes) < 5:
        return [], seen
    bound = crashes[4] + STABLE_WINDOW_S
    late = [
        entry
        for entry in fleet.book_lines('run')
        if entry['id'] in deadly_ids and entry['at'] > bound
    ]
    seen.append(
        f'{len(late)} requests with the part reached servers later than'
        f' {STABLE_WINDOW_S} s after the fifth crash; {ALLOWED} are allowed'
    )
    if len(late) > ALLOWED:
        return ['BUDGET: requests with a part that crashes servers'], seen
    return [], seen


if __name__ == '__main__':
    sys.exit(play(FOLDER, run))
