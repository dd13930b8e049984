"""Stand-in of a model server: weights, adapters, orders, streams."""

import asyncio
import json
import time

from world import Server, encode, now

EVENTS = 5
EVENT_SECONDS = 0.02


class Engine(Server):
    """A model server of one kind of hardware.

    It keeps its id over a restart if `keeps_id`, and then holds nothing and
    counts orders anew, as the pages say. `late` decides for each order how many
    seconds it is carried out late without an answer, 0 for at once.
    """

    def __init__(self, host, service, record, server_id, models, *,
                 weights_mb, adapter_capacity, held=(), keeps_id=True,
                 late=lambda order: 0, **more):
        super().__init__(host, service, record, server_id, slots=64, **more)
        self.models = {model['name']: model for model in models}
        self.weights_mb, self.places = weights_mb, adapter_capacity
        self.keeps_id, self.late = keeps_id, late
        self.held = {model: set() for model in held}
        self.on_disk = set(held)
        self.sequence = self.fence = self.starts = 0
        self.loading = None
        self.overruns = []
        self.orders = []
        self.pending_orders = set()

    async def start(self):
        self.starts += 1
        await super().start()
        self.record.line('server', self.id, 'starts, holds', sorted(self.held),
                         'sequence', self.sequence)

    async def crash(self, down_seconds):
        """Be down for some seconds, and start again at the same address."""
        self.record.line('server', self.id, 'crashes')
        await self.unlisten()
        self.held, self.loading = {}, None
        self.sequence = self.fence = 0
        self.runs_now = 0
        await asyncio.sleep(down_seconds)
        if not self.keeps_id:
            self.id += 'n'
        await self.start()

    def entry(self):
        models = [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.held.items()
        ]
        return super().entry() | {'stage': 'combined', 'models': models}

    async def answer(self, method, target, fields, body, writer, reader):
        if target == '/api/report':
            writer.write(encode(200, {'Content-Type': 'application/json'},
                                json.dumps(self.report()).encode()))
        elif target == '/api/order':
            await self.take_order(fields, json.loads(body), writer)
        else:
            await super().answer(method, target, fields, body, writer, reader)

    def report(self):
        return self.entry() | {
            'busy': self.loading is not None, 'sequence': self.sequence,
            'queued': 0, 'active': 0, 'kv_cache_used': 0,
            'kv_cache_total': 283072, 'handles': 0, 'pending': [],
            'available': {'in_memory': [], 'on_disk': sorted(self.on_disk)},
            'runs': [],
        }

    async def take_order(self, fields, order, writer):
        seconds = self.late(order)
        text = ' '.join(f'{k}={order[k]}' for k in (
            'operation', 'model', 'adapter', 'expect', 'fencing_token')
            if k in order)
        if seconds:
            self.record.line('server', self.id, 'leaves unanswered:', text)
            # It is the platform's channel that holds it, not the process.
            task = asyncio.create_task(
                self.carry_out_late(seconds, fields, order, text))
            self.pending_orders.add(task)
            task.add_done_callback(self.pending_orders.discard)
            await asyncio.sleep(seconds)
            return
        status = self.decide(fields, order)
        self.record.line('server', self.id, status, 'to', text)
        writer.write(encode(status, {'Instance-Id': self.id}))

    async def carry_out_late(self, seconds, fields, order, text):
        await asyncio.sleep(seconds)
        if self.server is None:
            self.record.line('server', self.id, 'is down for the late', text)
            return
        status = self.decide(fields, order)
        self.record.line('server', self.id, f'{status} to the late', text)

    def decide(self, fields, order):
        """Return the status for an order, and carry it out if it is taken."""
        if fields.get('expected-instance', self.id) != self.id:
            return 421
        if 'holder' not in order or 'fencing_token' not in order:
            return 400
        if order['fencing_token'] < self.fence:
            return 412
        self.fence = order['fencing_token']
        model, adapter = order['model'], order.get('adapter')
        is_load = order['operation'] == 'loading'
        if model not in self.models:
            return 400
        if adapter is None:
            is_there = model in self.held
        else:
            if model not in self.held:
                return 400
            is_there = adapter in self.held[model]
        if is_there is is_load and self.loading != model:
            return 200
        if self.loading is not None:
            return 409
        if order.get('expect', self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.orders.append((now(), order))
        if adapter is not None:
            (self.held[model].add if is_load else self.held[model].discard)(
                adapter)
            return 202
        if not is_load:
            self.held.pop(model)
            return 202
        used = sum(self.models[name]['weights_mb'] for name in self.held)
        if used + self.models[model]['weights_mb'] > self.weights_mb:
            self.overruns.append((now(), order))
            self.record.line(
                'server', self.id, f'is ordered to load {model} beside',
                sorted(self.held), f'and crashes: {self.weights_mb} MB')
            asyncio.create_task(self.crash(2))
            return 202
        self.loading = model
        asyncio.create_task(self.load(model, self.starts))
        return 202

    async def load(self, model, start):
        terms = self.models[model]
        seconds = terms['load_time_s']
        if model in self.on_disk:
            seconds = terms['disk_load_s']
        await asyncio.sleep(seconds)
        if self.starts == start and self.loading == model:
            self.held[model] = set()
            self.on_disk.add(model)
            self.loading = None
            self.record.line('server', self.id, 'holds', sorted(self.held))

    async def run(self, method, target, fields, body, writer, request_id):
        model, _, adapter = fields.get('model', '').partition('/')
        if model not in self.held or (
            adapter and adapter not in self.held[model]
        ):
            self.record.line('server', self.id, '421 to', request_id, model)
            writer.write(encode(421, {'Instance-Id': self.id,
                                      'Attempt-Id': request_id}))
            return
        self.began(request_id, fields)
        head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                'Weight-Versions: 1', 'Transfer-Encoding: chunked']
        head += [f'{k}: {v}' for k, v in self.proof(request_id).items()]
        writer.write(('\r\n'.join(head) + '\r\n\r\n').encode())
        first = int(fields.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
