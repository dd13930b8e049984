"""Orders to load a model get no answer and are carried out late.

Each server leaves its first four orders to load unanswered, once.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import ENGINE, Callers, configuration, route  # noqa: E402
from fleet import STABLE_WINDOW_S, TROUBLE, play  # noqa: E402

GATEWAYS = (1, 2)
# Two of these fit a server.
SIZE_MB, SERVER_MB = 72700, 200000
HELD = {1: ('m1', 'm2'), 2: ('m3', 'm4')}
RARE = ('m5', 'm6', 'm7', 'm8', 'm9')
MODELS = (*(name for names in HELD.values() for name in names), *RARE)
UNANSWERED, LATE_S = 4, 2.0
PLAY_S = 16.0


def run(fleet):
    routes = [
        route(
            'ask',
            'streaming',
            ENGINE,
            timeout_ms=15000,
            target_latency_ms=1500,
        )
    ]
    fleet.store.put(
        'keyed.op', 'config', configuration(routes, MODELS, SIZE_MB)
    )
    for number, models in HELD.items():
        fleet.start_server(
            number,
            service=ENGINE,
            models=models,
            weights_mb=SERVER_MB,
            size_by_model=dict.fromkeys(MODELS, SIZE_MB),
            unanswered_loads=UNANSWERED if TROUBLE else 0,
            carried_out_after_s=LATE_S,
        )
        fleet.start_keeper(number, ENGINE)
    for number in GATEWAYS:
        fleet.start_gateway(number)
    fleet.wait_ready(GATEWAYS)
    time.sleep(STABLE_WINDOW_S)

    callers = Callers(fleet)
    rare = []
    began = time.monotonic()
    # Rare models are asked for at once.
    for model in RARE:
        rare.append(
            callers.send(
                GATEWAYS[0],
                '/ask/x',
                ['first001', 'own'],
                prefix='rare',
                model=model,
                deadline_ms=15000,
            )
        )
    while time.monotonic() - began < PLAY_S:
        for models in HELD.values():
            callers.send(
                GATEWAYS[1],
                '/ask/x',
                ['first001', 'own'],
                model=models[1],
                deadline_ms=15000,
            )
        time.sleep(0.5)
    callers.wait(16)

    orders = fleet.book_lines('order')
    late = fleet.book_lines('order left unanswered')
    over = fleet.book_lines('ordered to load more than it holds')
    whole = sum(callers.answers[name].complete for name in rare)
    seen = [
        f'{len(orders)} orders, of which {len(late)} got no answer;'
        f' {whole} of {len(rare)} requests for rare models got an answer'
    ]
    broken = [
        f'LIMIT: server {entry["server"]} was ordered to load'
        f' {entry["models"]}, {entry["mb"]} MB of {SERVER_MB}'
        for entry in over
    ]
    return broken, seen


if __name__ == '__main__':
    sys.exit(play(FOLDER, run))
