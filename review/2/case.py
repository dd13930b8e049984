"""Two servers crash at once while requests that crash servers still come."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import ENGINE, MODEL, Callers, configuration, route  # noqa: E402
from fleet import STABLE_WINDOW_S, TROUBLE, play  # noqa: E402

SERVERS, GATEWAYS = range(1, 7), (1, 2)
DEADLY, FIRST = 'dead0001', 'first001'
DEADLY_DOWN_S = 3.0
# Two of six servers crash for 2 s, as the bench does at a share of .25.
CRASH_AT, CRASH_DOWN_S = (9.0, 13.0, 17.0, 21.0), 2.0
CRASHED = ((1, 2), (3, 4), (5, 6), (1, 2))
SESSIONS = 24
PLAY_S = 60.0
RATE = 60
# 9,190 tokens, read at 38.4 in a ms.
PROMPT_MS = 239


class Platform:
    """Crashes servers, and starts each again under a new id."""

    def __init__(self, fleet, fields):
        self.fleet = fleet
        self.fields = fields
        self.over = threading.Event()
        self.planned = {}

    def crash(self):
        began = time.monotonic()
        for at, numbers in zip(CRASH_AT, CRASHED, strict=True):
            time.sleep(max(began + at - time.monotonic(), 0))
            for number in numbers:
                self.planned[number] = True
                self.fleet.servers[number].kill()
            self.fleet.note(f'servers {numbers} crash')

    def restart(self):
        down_since = {}
        while not self.over.wait(0.05):
            for number, process in tuple(self.fleet.servers.items()):
                if process.poll() is None:
                    continue
                since = down_since.setdefault(number, time.monotonic())
                down_s = (
                    CRASH_DOWN_S if self.planned.get(number) else DEADLY_DOWN_S
                )
                if time.monotonic() - since > down_s:
                    del down_since[number]
                    self.planned.pop(number, None)
                    self.fleet.start_server(number, **self.fields)


def run(fleet):
    fields = {
        'service': ENGINE,
        'models': [MODEL],
        'head_at_once': True,
        'first_event_ms': PROMPT_MS,
        'deadly_part': DEADLY if TROUBLE else None,
        'crash_after_events': 0,
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

    platform = Platform(fleet, fields)
    threading.Thread(target=platform.restart, daemon=True).start()
    if TROUBLE:
        threading.Thread(target=platform.crash, daemon=True).start()
    callers = Callers(fleet)
    began, began_at = time.monotonic(), fleet.now()
    deadly_ids, sound_ids = set(), set()
    tick = 0
    while time.monotonic() - began < PLAY_S:
        time.sleep(max(began + tick / RATE - time.monotonic(), 0))
        gateway = GATEWAYS[tick % len(GATEWAYS)]
        parts = [FIRST, f'session{tick % SESSIONS}', f'own{tick}']
        sound_ids.add(
            callers.send(gateway, '/draft/x', parts, prefix='sound')
        )
        if tick % (4 * RATE) == 2 * RATE:
            parts = [FIRST, DEADLY, f'last{tick}']
            gateway = GATEWAYS[tick // (4 * RATE) % len(GATEWAYS)]
            deadly_ids.add(
                callers.send(gateway, '/draft/x', parts, prefix='deadly')
            )
        tick += 1
    callers.wait(10)
    platform.over.set()

    crashes = [entry['at'] for entry in fleet.book_lines('crash')]
    started = {entry['id'] for entry in fleet.book_lines('run')}

    def share(names):
        return len(names & started) / max(len(names), 1)

    def sent_between(names, first, last):
        return {name for name in names if first <= callers.sent_at[name] < last}

    convicted = {
        line['parts']
        for number in GATEWAYS
        for line in fleet.log_lines(f'frontend-{number}', 'parts_convicted')
    }
    seen = [
        f'{len(deadly_ids)} requests with the part, {len(crashes)} crashes by'
        f' them; the gateways convicted {sorted(convicted)}'
    ]
    if not TROUBLE:
        seen.append(f'{share(sound_ids):.3f} of the sound requests began')
        if share(sound_ids) < 0.95:
            return ['sound requests fail without the disruption'], seen
        return [], seen
    if not crashes:
        return [], seen
    last = crashes[min(4, len(crashes) - 1)]
    calm = sent_between(sound_ids, began_at, crashes[0] - 0.5)
    # After the servers' crashes too, and a stable window.
    quiet_from = began_at + CRASH_AT[-1] + CRASH_DOWN_S + STABLE_WINDOW_S
    judged = sent_between(
        sound_ids,
        max(last + 2 * STABLE_WINDOW_S, quiet_from),
        max(callers.sent_at[name] for name in deadly_ids),
    )
    refused = sum(callers.answers[name].status == 503 for name in judged)
    seen.append(
        f'sound requests that began: {share(calm):.3f} of {len(calm)} before'
        f' the first crash, {share(judged):.3f} of {len(judged)} from 6 s after'
        f' the last one and 3 s after the servers\' crashes on; {refused} were'
        ' refused with 503'
    )
    if min(len(calm), len(judged)) >= 20 and share(judged) < share(calm) / 2:
        return ['LOST: sound requests begin less than half as often'], seen
    return [], seen


if __name__ == '__main__':
    sys.exit(play(FOLDER, run))
