"""Stand-in of a model server: weights, orders and streams."""

import asyncio
import json
import time

from world import CLOSED, Server, encode, json_answer

READING_SECONDS = 0.1


class Engine(Server):
    """A model server, with a new id after each restart.

    It holds its models from the start; after a restart it holds none, and loads
    them from its own disk when it is ordered to.
    """

    events, event_seconds = 13, 0.03
    # Requests that wait beside those that run, as the site file has it.
    queue = 134

    def __init__(self, world, host, service, server_id, models, slots=64):
        super().__init__(world, host, service, server_id, slots)
        self.models = {model['name']: model for model in models}
        self.held = set(self.models)
        self.sequence = self.fence = self.starts = 0
        self.busy = False
        self.crashes = []
        self.batch = asyncio.Semaphore(slots)
        self.places = slots
        self.slots = slots + self.queue

    async def start(self):
        await super().start()
        self.starts += 1

    def entry(self):
        models = [{'name': name, 'version': 1, 'adapters': []}
                  for name in sorted(self.held)]
        return super().entry() | {
            'stage': 'combined', 'slots': self.places, 'models': models,
        }

    async def crash(self, down_seconds):
        """Be gone at once, and start again under another id."""
        self.record.line('server', self.id, 'crashes')
        self.crashes.append(time.monotonic())
        self.unlisten()
        self.held, self.busy = set(), False
        self.sequence = self.fence = self.runs_now = 0
        await asyncio.sleep(down_seconds)
        # As for a server that is silent for three check-ins.
        await self.world.store.put('keyed.servers', self.id, None)
        self.id = f'{self.id.partition("-again")[0]}-again{self.starts}'
        await self.start()
        await self.world.store.put('keyed.servers', self.id, self.entry())

    async def answer(self, request, writer):
        path = request.start.split(' ')[1]
        if path == '/api/report':
            writer.write(json_answer({
                'stage': 'combined', 'busy': self.busy,
                'models': [{'name': name, 'version': 1, 'adapters': []}
                           for name in sorted(self.held)],
                'sequence': self.sequence, 'queued': 0,
                'active': self.runs_now, 'kv_cache_used': 0,
                'kv_cache_total': 283072, 'handles': 0, 'born': self.born,
                'runs': [], 'pending': [], 'available': {
                    'in_memory': [], 'on_disk': sorted(self.models),
                },
            }))
            return True
        if path == '/api/order':
            writer.write(encode(self.order(request)))
            return True
        return await super().answer(request, writer)

    def order(self, request):
        order = json.loads(request.body)
        if request.get('Expected-Instance', self.id) != self.id:
            return 421
        if order['fencing_token'] < self.fence:
            return 412
        if self.busy or order.get('expect', self.sequence) != self.sequence:
            return 409
        self.fence = order['fencing_token']
        self.sequence += 1
        self.record.line('server', self.id, 'takes', json.dumps(order))
        if order['operation'] == 'unloading':
            self.held.discard(order['model'])
            return 202
        self.busy = True
        asyncio.get_running_loop().call_later(
            self.models[order['model']]['disk_load_s'], self.loaded,
            order['model'], self.born,
        )
        return 202

    def loaded(self, model, born):
        if born == self.born and self.server is not None:
            self.held.add(model)
            self.busy = False

    async def run(self, request, writer):
        model = (request.get('Model') or '').partition('/')[0]
        if model not in self.held:
            writer.write(encode(421, self.own_fields(request)))
            self.runs.pop()
            return True
        async with self.batch:
            return await self.stream(request, writer)

    async def stream(self, request, writer):
        await asyncio.sleep(READING_SECONDS)
        first = int(request.get('Last-Event-Id', '0')) + 1
        lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked',
                 'Content-Type: text/event-stream',
                 f'Server-Signature: {self.proof(request)}']
        lines += [f'{name}: {text}' for name, text in self.own_fields(request)]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        born = self.born
        for number in range(first, self.events + 1):
            await self.before_event(request, writer, number)
            if born != self.born or writer.is_closing():
                raise CLOSED[0]('cut')
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(self.event_seconds)
        writer.write(b'0\r\n\r\n')
        return True

    async def before_event(self, request, writer, number):
        """Do nothing; a test may do otherwise."""


def models(count, weights_mb=72700.0):
    """Return models as the configuration lists them."""
    return [
        {'name': f'model{number}', 'weights_mb': weights_mb,
         'load_time_s': 4.2, 'warm_s': 0.63, 'disk_load_s': 0.84,
         'adapters': 0, 'adapter_size_mb': 66.0}
        for number in range(count)
    ]


def engine_service(name, listed, slots=64):
    """Return a service of model servers for the configuration."""
    return {
        'name': name, 'health_path': '/health', 'max_connections': 370,
        'engine': {
            'slots': slots, 'kv_cache_tokens': 283072, 'models': listed,
            'weights_mb': 200000.0, 'adapter_capacity': 8, 'loads_per_s': 1.4,
        },
    }
