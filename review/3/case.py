"""A server goes dark in its streams; where they are to go on they are rejected.

BROKEN_OFF=1 adds streams that their server breaks off behind the last event,
and that are to go on at a server which has nothing left to send. They are told
apart in what is seen, and don't decide.
"""

import os
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import ENGINE, MODEL, Callers, configuration, route  # noqa: E402
from fleet import STABLE_WINDOW_S, TROUBLE, play  # noqa: E402

# One of six servers goes dark for 4 s, twice.
SERVERS, GATEWAYS = range(1, 7), (1, 2)
DARK, DARK_S, DARK_AT = 1, 4.0, (4.0, 14.0)
LATE = 'break001'
EVENTS = 12
PLAY_S = 25.0
BODY = b'p' * 18000


def go_dark(fleet):
    process = fleet.servers[DARK]
    began = time.monotonic()
    for at in DARK_AT:
        time.sleep(max(began + at - time.monotonic(), 0))
        fleet.note(f'server process {process.pid} is stopped')
        process.send_signal(signal.SIGSTOP)
        time.sleep(DARK_S)
        process.send_signal(signal.SIGCONT)
        fleet.note(f'server process {process.pid} goes on')


def run(fleet):
    breaks = TROUBLE and os.environ.get('BROKEN_OFF') == '1'
    fields = {
        'service': ENGINE,
        'models': [MODEL],
        'events': EVENTS,
        'event_ms': 100,
        'break_parts': {LATE: EVENTS} if breaks else {},
        'reject_above_bytes': 16000 if TROUBLE else None,
        'nothing_left_status': 204,
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

    if TROUBLE:
        threading.Thread(target=go_dark, args=(fleet,), daemon=True).start()
    callers = Callers(fleet)
    cut_late = set()
    ends_at = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < ends_at:
        is_late = breaks and number % 20 == 7
        own = LATE if is_late else f'own{number}'
        parts = ['first001', f'session{number % 7}', own]
        gateway = GATEWAYS[number % len(GATEWAYS)]
        body = BODY[:1700] if is_late else BODY
        request_id = callers.send(gateway, '/draft/x', parts, body)
        if is_late:
            cut_late.add(request_id)
        number += 1
        time.sleep(0.05)
    callers.wait(8)

    answers = callers.answers
    whole = sum(
        answer.status == 200 and answer.complete for answer in answers.values()
    )
    rejected = {entry['id'] for entry in fleet.book_lines('rejected')}
    spoiled = {
        request_id: f'{request_id} got: {answer.malformed}'
        for request_id, answer in sorted(answers.items())
        if answer.malformed
    }
    seen = [
        f'{len(answers)} requests, {whole} whole answers,'
        f' {len(rejected)} rejected early, {len(spoiled)} with bytes that are'
        ' no answer'
    ]
    if breaks:
        seen.append(f'{len(cut_late)} streams cut behind their last event')
        seen += [spoiled[name] for name in sorted(cut_late & spoiled.keys())]
    broken = [
        f'MIXED: {text}'
        for request_id, text in spoiled.items()
        if request_id not in cut_late
    ]
    if not TROUBLE and whole < len(answers):
        broken.append('requests fail without the disruption')
    return broken, seen


if __name__ == '__main__':
    sys.exit(play(FOLDER, run))
