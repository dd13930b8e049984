"""A server of a service, as a process of its own: server.py SETTINGS.

It checks in at the store and answers requests. What else it does is set by
the fields that a case gives it; without them it is a sound server.
"""

import json
import os
import sys
import threading
import time

from store import RECORD, SERVERS, keyed
from wire import HttpServer, ask, encode

FIELDS = {
    'slots': 64,
    'models': [],
    'service': '',
    'zone': 'zone-a',
    # Work of a plain request; prompt and pause between events of a stream.
    'work_ms': 50,
    'first_event_ms': 60,
    'event_ms': 30,
    'events': 12,
    # A part that crashes the server as it begins to write an answer on it,
    # after this many events were written.
    'deadly_part': None,
    'crash_after_events': 1,
    # Streams with these parts are broken off after so many events.
    'break_parts': {},
    # The answer to a request to go on behind the last event.
    'nothing_left_status': 200,
    # Resumed requests with a longer body are rejected before it is read.
    'reject_above_bytes': None,
    # The answer on this part goes on without end.
    'endless_part': None,
    'endless_bytes': '\n\n',
    # So many of all answers to plain requests, all refusals, are written once
    # more, so much later, on the same channel. A refusal names no request, as
    # in the examples of `fleetbench wire`.
    'copied_share': 0,
    'copied_after_ms': 100,
    # Memory for weights, the size of each model, and how long a load takes.
    'weights_mb': 200000,
    'size_by_model': {},
    'load_s': 4.2,
    # So many orders to load get no answer; they are carried out this late.
    'unanswered_loads': 0,
    'carried_out_after_s': 2.0,
}


class Server(HttpServer):
    """An engine with its models in place, or a plain service."""

    def __init__(self, settings):
        self.field = FIELDS | settings
        host, _, port = settings['address'].rpartition(':')
        super().__init__((host, int(port)))
        self.id = settings['id']
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.lock = threading.Lock()
        self.runs = {}
        self.held = list(self.field['models'])
        self.on_disk = list(self.field['models'])
        self.busy = False
        self.highest_token = 0
        self.unanswered_loads = self.field['unanswered_loads']
        self.working = 0
        self.answers = self.copies = 0
        self.book = open(settings['book'], 'a', buffering=1)

    def note(self, what, request_id='', **more):
        line = {'at': time.monotonic(), 'server': self.id, 'what': what}
        line |= {'id': request_id} | more
        self.book.write(json.dumps(line) + '\n')

    def check_in(self, state='ready'):
        entry = {
            'service': self.field['service'],
            'address': self.field['address'],
            'zone': self.field['zone'],
            'version': 'v1',
            'slots': self.field['slots'],
            'state': state,
            'cold_remaining_ms': 0,
            'stage': 'combined',
            'models': self.models(),
            'sequence': self.sequence,
            'born': self.born,
        }
        record = keyed(self.id, json.dumps(entry).encode())
        body = RECORD.pack(len(record)) + record
        host, _, port = self.field['store'].rpartition(':')
        start = f'POST /api/log-append?topic={SERVERS}&part=0 HTTP/1.1'
        headers = (('Host', 'store'), ('Content-Length', len(body)))
        ask((host, int(port)), start, headers, body, 2.0)

    def models(self):
        return [
            {'name': name, 'version': 1, 'adapters': []}
            for name in self.held
        ]

    def handle(self, opened, reader):
        request = reader.head()
        path = request.start.split(' ')[1]
        long_body = int(request.headers.get('content-length', 0))
        limit = self.field['reject_above_bytes']
        if (
            limit is not None
            and long_body > limit
            and 'last-event-id' in request.headers
        ):
            return self.reject_early(opened, reader, request, long_body)
        request.body = reader.body(request.headers)
        if path == '/api/report':
            self.reply_json(opened, self.report())
        elif path == '/health':
            headers = (('Instance-Id', self.id), ('Content-Length', 0))
            opened.sendall(encode('HTTP/1.1 200 OK', headers))
        elif path == '/api/order':
            return self.take_order(opened, request)
        else:
            return self.answer(opened, request)
        return True

    def take_order(self, opened, request):
        order = json.loads(request.body)
        expected = request.headers.get('expected-instance')
        is_late = order['operation'] == 'loading' and self.unanswered_loads > 0
        if is_late:
            self.unanswered_loads -= 1
            self.note('order left unanswered', order=order)
            after = self.field['carried_out_after_s']
            threading.Timer(after, self.decide, (order, expected)).start()
            # The channel returns nothing further.
            time.sleep(30)
            return False
        status = self.decide(order, expected)
        headers = (('Instance-Id', self.id), ('Content-Length', 0))
        opened.sendall(encode(f'HTTP/1.1 {status} Status', headers))
        return True

    def decide(self, order, expected):
        """Carry an order out, unless it is refused; return the status."""
        with self.lock:
            status = self.status_of(order, expected)
            self.note('order', status=status, order=order)
            if status == 202:
                self.sequence += 1
                self.busy = True
                threading.Thread(
                    target=self.carry_out, args=(order,), daemon=True
                ).start()
        return status

    def status_of(self, order, expected):
        is_held = order['model'] in self.held
        if expected not in (None, self.id):
            return 421
        if order['fencing_token'] < self.highest_token:
            return 412
        self.highest_token = order['fencing_token']
        if self.busy or order.get('expect') not in (None, self.sequence):
            return 409
        return 200 if is_held is (order['operation'] == 'loading') else 202

    def carry_out(self, order):
        model = order['model']
        sizes = self.field['size_by_model']
        if order['operation'] == 'loading':
            ordered_mb = sum(sizes[name] for name in (*self.held, model))
            if ordered_mb > self.field['weights_mb']:
                self.note(
                    'ordered to load more than it holds',
                    models=[*self.held, model],
                    mb=ordered_mb,
                )
                os._exit(1)
            time.sleep(self.field['load_s'])
        else:
            time.sleep(0.05)
        with self.lock:
            if order['operation'] == 'loading':
                self.held.append(model)
                self.on_disk = sorted({*self.on_disk, model})
            else:
                self.held.remove(model)
            self.busy = False
        self.note('order carried out', order=order)
        self.check_in()

    def reply_json(self, opened, value):
        body = json.dumps(value).encode()
        headers = (
            ('Content-Type', 'application/json'),
            ('Content-Length', len(body)),
        )
        opened.sendall(encode('HTTP/1.1 200 OK', headers, body))

    def report(self):
        with self.lock:
            runs = [[name, 100, made, 5] for name, made in self.runs.items()]
        return {
            'stage': 'combined',
            'models': self.models(),
            'busy': self.busy,
            'sequence': self.sequence,
            'queued': 0,
            'active': len(runs),
            'kv_cache_used': 100 * len(runs),
            'kv_cache_total': 280000,
            'handles': 0,
            'pending': [],
            'runs': runs,
            'available': {'in_memory': [], 'on_disk': self.on_disk},
            'born': self.born,
        }

    def own_headers(self, request_id):
        return [
            ('Attempt-Id', request_id),
            ('Server-Signature', f'proof.{self.id}.{request_id}'),
        ]

    def reject_early(self, opened, reader, request, long_body):
        """Answer before the body is in, then read on."""
        request_id = request.headers.get('attempt-id', '')
        self.note('rejected', request_id)
        body = b'too long'
        headers = [
            *self.own_headers(request_id),
            ('Content-Length', len(body)),
        ]
        opened.sendall(
            encode('HTTP/1.1 413 Content Too Large', headers, body)
        )
        reader.exactly(long_body)
        return True

    def answer(self, opened, request):
        request_id = request.headers.get('attempt-id', '')
        self.note(
            'arrived',
            request_id,
            parts=request.headers.get('prompt-prefix', ''),
            last=request.headers.get('last-event-id', ''),
        )
        model = request.headers.get('model')
        is_other = request.headers.get('expected-instance') != self.id
        if is_other or (model and model not in self.held):
            headers = (
                ('Not-Executed', 1),
                ('Instance-Id', self.id),
                ('Attempt-Id', request_id),
                ('Content-Length', 0),
            )
            opened.sendall(encode('HTTP/1.1 421 Misdirected', headers))
            return True
        if model is None:
            return self.answer_plain(opened, request_id)
        return self.answer_stream(opened, request, request_id)

    def answer_plain(self, opened, request_id):
        with self.lock:
            is_full = self.working >= self.field['slots']
            self.working += not is_full
        if is_full:
            self.note('turned away', request_id)
            headers = (('Not-Executed', 1), ('Content-Length', 0))
            answer = encode('HTTP/1.1 503 Service Unavailable', headers)
        else:
            self.note('run', request_id)
            time.sleep(self.field['work_ms'] / 1000)
            with self.lock:
                self.working -= 1
            body = f'answer to {request_id}'.encode()
            headers = [
                *self.own_headers(request_id),
                ('Content-Length', len(body)),
            ]
            answer = encode('HTTP/1.1 200 OK', headers, body)
            self.note('done', request_id)
        opened.sendall(answer)
        with self.lock:
            self.answers += 1
        if is_full and self.may_copy():
            after = self.field['copied_after_ms'] / 1000
            threading.Timer(
                after, self.copy, (opened, answer, request_id)
            ).start()
        return True

    def may_copy(self):
        with self.lock:
            is_allowed = self.copies < self.answers * self.field['copied_share']
            self.copies += is_allowed
        return is_allowed

    def copy(self, opened, answer, request_id):
        try:
            opened.sendall(answer)
        except OSError:
            return
        self.note('copied', request_id, start=answer[:12].decode())

    def answer_stream(self, opened, request, request_id):
        parts = request.headers.get('prompt-prefix', '')
        part_ids = [part.partition(':')[0] for part in parts.split(',')]
        until = time.monotonic() + int(request.headers['deadline-ms']) / 1000
        first = int(request.headers.get('last-event-id') or 0) + 1
        break_after = min(
            (
                count
                for part, count in self.field['break_parts'].items()
                if part in part_ids
            ),
            default=None,
        )
        is_empty = first > self.field['events']
        if is_empty and self.field['nothing_left_status'] != 200:
            self.note('nothing left', request_id)
            status = self.field['nothing_left_status']
            headers = self.own_headers(request_id)
            opened.sendall(encode(f'HTTP/1.1 {status} Status', headers))
            return True
        with self.lock:
            self.runs[request_id] = 0
        try:
            headers = [
                *self.own_headers(request_id),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'),
            ]
            time.sleep(self.field['first_event_ms'] / 1000)
            self.note('run', request_id)
            opened.sendall(encode('HTTP/1.1 200 OK', headers))
            if self.field['endless_part'] in part_ids:
                self.flood(opened, request_id)
            for number in range(first, self.field['events'] + 1):
                written = number - first
                if (
                    self.field['deadly_part'] in part_ids
                    and written >= self.field['crash_after_events']
                ):
                    self.note('crash', request_id)
                    os._exit(1)
                if first == 1 and written == break_after:
                    return self.break_off(request_id)
                event = f'id: {number}\ndata: {request_id} {number}\n\n'
                opened.sendall(chunk(event.encode()))
                with self.lock:
                    self.runs[request_id] = number
                if time.monotonic() > until:
                    return False
                time.sleep(self.field['event_ms'] / 1000)
            if first == 1 and break_after == self.field['events']:
                return self.break_off(request_id)
            opened.sendall(b'0\r\n\r\n')
            self.note('done', request_id)
            return True
        except OSError:
            self.note('caller gone', request_id)
            return False
        finally:
            with self.lock:
                self.runs.pop(request_id, None)

    def break_off(self, request_id):
        self.note('broke off', request_id)
        return False

    def flood(self, opened, request_id):
        self.note('flood', request_id)
        block = chunk(self.field['endless_bytes'].encode() * 8192)
        while True:
            opened.sendall(block)


def chunk(piece):
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def main():
    settings = json.loads(sys.argv[1])
    server = Server(settings)
    server.start()
    parent = os.getppid()
    while os.getppid() == parent:
        server.check_in()
        time.sleep(settings['check_in_s'])


if __name__ == '__main__':
    main()
