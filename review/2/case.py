"""Answers of faulty servers that go on without end, one line end after another."""

import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import (  # noqa: E402
    ENGINE,
    HOST,
    MODEL,
    PLAIN,
    Callers,
    configuration,
    route,
)
from fleet import STABLE_WINDOW_S, STANDINS, TROUBLE, play  # noqa: E402
from wire import encode  # noqa: E402

ENGINES, PLAINS, GATEWAYS = range(1, 4), range(4, 6), (1, 2)
ENDLESS = 'endless1'
PLAY_S = 30.0
TIMEOUT_MS = 2000
STREAM_MS = 6000
# Fewer than three streams in a hundred.
EVERY = 40


def start_reader(fleet, gateway, request_id):
    headers = (
        ('Host', HOST),
        ('Attempt-Id', request_id),
        ('Deadline-Ms', STREAM_MS),
        ('Authorization', 'Bearer key-a'),
        ('Model', MODEL),
        ('Token-Usage', '1400,80'),
        ('Prompt-Prefix', f'first001:400,{ENDLESS}:400'),
        ('Content-Length', 0),
    )
    reader = subprocess.Popen(
        [
            sys.executable,
            str(STANDINS / 'reader.py'),
            fleet.gateway_host(gateway),
            str(fleet.front_port),
            str(STREAM_MS / 1000 + 1),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    fleet.servers[request_id] = reader
    fleet.note(f'consumer sends {request_id} to frontend-{gateway}: /draft/x')
    reader.stdin.write(encode('POST /draft/x HTTP/1.1', headers))
    reader.stdin.close()


def run(fleet):
    engine = {
        'service': ENGINE,
        'models': [MODEL],
        'endless_part': ENDLESS if TROUBLE else None,
    }
    routes = [
        route(
            'draft', 'streaming', ENGINE, resumable=False, timeout_ms=STREAM_MS
        ),
        route('look', 'idempotent', PLAIN, timeout_ms=TIMEOUT_MS),
    ]
    fleet.store.put('keyed.op', 'config', configuration(routes))
    for number in ENGINES:
        fleet.start_server(number, **engine)
        fleet.start_keeper(number, ENGINE)
    for number in PLAINS:
        fleet.start_server(number, service=PLAIN)
    for number in GATEWAYS:
        fleet.start_gateway(number)
    fleet.wait_ready(GATEWAYS)
    time.sleep(STABLE_WINDOW_S)

    callers = Callers(fleet)
    looks = []
    ends_at = time.monotonic() + PLAY_S
    tick = 0
    while time.monotonic() < ends_at:
        gateway = GATEWAYS[tick % len(GATEWAYS)]
        if tick % EVERY == EVERY // 2:
            number = GATEWAYS[tick // EVERY % len(GATEWAYS)]
            start_reader(fleet, number, f'endless{tick}')
        else:
            parts = ['first001', f'session{tick % 7}', f'own{tick}']
            callers.send(gateway, '/draft/x', parts, prefix='stream')
        looks.append(
            callers.send(
                gateway,
                '/look/x',
                prefix='look',
                method='GET',
                deadline_ms=4000,
            )
        )
        tick += 1
        time.sleep(0.1)
    callers.wait(12)

    took = sorted(
        callers.ended_at.get(name, fleet.now()) - callers.sent_at[name]
        for name in looks
    )
    limit = TIMEOUT_MS / 1000
    unanswered = [seconds for seconds in took if seconds > limit]
    late = [seconds for seconds in unanswered if seconds > limit + 0.5]
    seen = [
        f'{len(looks)} looks; half within {took[len(took) // 2]:.3f} s,'
        f' the slowest took {took[-1]:.3f} s',
        f'{len(unanswered)} had no answer at {limit} s, {len(late)} none half'
        ' a second later',
    ]
    if len(late) >= 8 and len(late) > len(unanswered) / 2:
        return ['CONFIG: requests without an answer at their timeout'], seen
    if not TROUBLE and unanswered:
        return ['requests are late without the disruption'], seen
    return [], seen


if __name__ == '__main__':
    sys.exit(play(FOLDER, run))
