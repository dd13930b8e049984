"""A part that crashes servers, at the front of prompts with many parts."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))
from engine import Engine  # noqa: E402
from world import (  # noqa: E402
    FRONT_PORT, Disconnected, Platform, call, now, run_case,
)

SLOT = int(os.environ.get('SLOT', '65'))
SERVERS = 6
DOWN_SECONDS = 3
# Parts of each prompt ahead of its own last one: the shared first part, and
# those of the turns that followed. PARTS=10 shows that shorter ones are known.
PARTS = int(os.environ.get('PARTS', '20'))
DEADLY, SOUND = 'dead0001', 'f00d0001'
TURNS = [f'{number:08x}' for number in range(0xa00000, 0xa00000 + 60)]
SECONDS = 60
SOUND_PER_SECOND, DEADLY_PER_SECOND = 8, 1
STABLE_WINDOW_SECONDS = 3
CRASHES, MOST = 5, 3
MODELS = [{
    'name': 'busy', 'weights_mb': 72700, 'load_time_s': 4.2, 'warm_s': 0.63,
    'disk_load_s': 0.84, 'adapters': 0, 'adapter_size_mb': 66,
}]
CONFIG = {
    'version': 3,
    'routes': [{
        'name': 'brief', 'hostname': 'h.example', 'path_prefix': '/brief/',
        'route_kind': 'streaming', 'timeout_ms': 6000,
        'target_latency_ms': 800, 'gap_target_ms': 400, 'priority': 1,
        'max_attempts': 2, 'resumable': True, 'sticky': True,
        'service': 'assist',
    }],
    'services': [{
        'name': 'assist', 'max_connections': 370, 'health_path': '/health',
        'engine': {
            'slots': 64, 'kv_cache_tokens': 283072, 'weights_mb': 200000,
            'adapter_capacity': 8, 'loads_per_s': 1.4, 'models': MODELS,
        },
    }],
    'tenants': [{'name': 'w1', 'api_keys': ['key-w1'], 'priority': 1,
                 'unit': 'token_metering', 'plain_tokens': 200,
                 'rate_per_s': 0, 'burst': 0}],
}


class Crashing(Engine):
    """It crashes as it begins to write an answer on the deadly part."""

    arrivals = []
    crashes = []
    cut = []

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.open = set()

    async def run(self, method, target, fields, body, writer, request_id):
        parts = fields.get('prompt-prefix', '')
        if f'{DEADLY}:' not in parts:
            self.open.add(request_id)
            try:
                await super().run(
                    method, target, fields, body, writer, request_id)
            finally:
                self.open.discard(request_id)
            return
        self.began(request_id, fields)
        self.arrivals.append((now(), request_id))
        await asyncio.sleep(0.05)
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                'Weight-Versions: 1', 'Transfer-Encoding: chunked']
        head += [f'{k}: {v}' for k, v in self.proof(request_id).items()]
        writer.write(('\r\n'.join(head) + '\r\n\r\n6\r\nid: 1\n\r\n').encode())
        await writer.drain()
        await asyncio.sleep(0.02)
        self.crashes.append(now())
        self.cut.extend(self.open)
        self.restarting = asyncio.create_task(self.come_back())
        await asyncio.sleep(1)

    async def come_back(self):
        held = self.held
        models = {name: set() for name in held}
        await self.crash(DOWN_SECONDS)
        # Its model is placed again at once, as at the first start.
        self.held = models


async def main(is_troubled):
    platform = Platform(FOLDER, SLOT)
    record = platform.record
    host = platform.host(1, 1)
    draw = random.Random(10)
    for number in range(1, SERVERS + 1):
        platform.servers.append(Crashing(
            platform.host(2, number), 'assist', record, f'i-{number}', MODELS,
            weights_mb=200000, adapter_capacity=8, held=('busy',),
            keeps_id=False,
        ))
    counts = {}

    async def ask(name, first):
        turns = draw.sample(TURNS, PARTS - 1)
        parts = [first, *turns, f'{draw.getrandbits(32):08x}']
        prefix = ','.join(f'{part}:30' for part in parts)
        try:
            answer = await call(
                host, FRONT_PORT, 'POST', '/brief/x',
                {'Attempt-Id': name, 'Deadline-Ms': 6000, 'Model': 'busy',
                 'Authorization': 'Bearer key-w1',
                 'Token-Usage': f'{30 * len(parts)},80',
                 'Prompt-Prefix': prefix}, b'prompt')
            status = answer.status
        except (OSError, Disconnected, TimeoutError) as error:
            status = type(error).__name__
        kind = 'deadly' if first == DEADLY else 'sound'
        counts[kind, status] = counts.get((kind, status), 0) + 1
        record.line('consumer', name, 'gets', status)

    async def traffic(kind, first, per_second, ends):
        asking = []
        while now() < ends:
            asking.append(asyncio.create_task(
                ask(f'{kind}-{len(asking) + 1}', first)))
            await asyncio.sleep(draw.expovariate(per_second))
        await asyncio.gather(*asking)

    try:
        await platform.begin(CONFIG)
        platform.start_gateway('front-1', host)
        await platform.await_ready(host)
        await asyncio.sleep(4)
        ends = now() + SECONDS
        tasks = [traffic('sound', SOUND, SOUND_PER_SECOND, ends)]
        if is_troubled:
            tasks.append(traffic('deadly', DEADLY, DEADLY_PER_SECOND, ends))
        await asyncio.gather(*tasks)
        crashes = sorted(Crashing.crashes)
        late = []
        if len(crashes) >= CRASHES:
            after = crashes[CRASHES - 1] + STABLE_WINDOW_SECONDS
            late = [name for at, name in Crashing.arrivals if at > after]
        record.line(len(crashes), 'crashes;', len(late),
                    'arrivals of requests with the part later than',
                    f'{STABLE_WINDOW_SECONDS} s after the fifth')
        record.line('sound requests that were at work there:',
                    len(Crashing.cut))
        for (kind, status), count in sorted(counts.items(), key=str):
            record.line(kind, status, count)
        broken = len(late) > MOST
        record.line('BROKEN' if broken else 'held', 'BUDGET')
        return broken
    finally:
        convicted = list(platform.log_lines('front-1', 'parts_convicted'))
        record.line('convicted by the gateway:',
                    [line['parts'] for line in convicted])
        await platform.end()


run_case(main)
