"""The platform's store: topics as PROTOCOL.md describes them."""

import base64
import json
import struct
import threading
import time
from urllib.parse import parse_qs, urlsplit

from wire import HttpServer, encode

RECORD = struct.Struct('>I')
OFFSETS = struct.Struct('>QQ')
SERVERS = 'keyed.servers'


def keyed(key, value):
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


class Store(HttpServer):
    """One partition for each topic; it loses and delays nothing.

    An entry of a server is removed after three check-in intervals of silence.
    """

    def __init__(self, address, check_in_s):
        super().__init__(address)
        self.check_in_s = check_in_s
        self.changed = threading.Condition()
        self.records = {}
        self.seen_at = {}
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, topic, key, value):
        """Write as the operator or a server; None removes the key."""
        encoded = b'' if value is None else json.dumps(value).encode()
        return self.put_raw(topic, key, encoded)

    def put_raw(self, topic, key, encoded):
        with self.changed:
            if topic == SERVERS:
                self.seen_at[key] = time.monotonic()
            return self._append(topic, [keyed(key, encoded)])

    def _append(self, topic, bodies):
        log = self.records.setdefault(topic, [])
        offset = len(log)
        log.extend(bodies)
        self.changed.notify_all()
        return offset

    def _expire(self):
        while True:
            time.sleep(0.2)
            with self.changed:
                oldest = time.monotonic() - 3 * self.check_in_s
                for key, seen_at in tuple(self.seen_at.items()):
                    if seen_at < oldest:
                        del self.seen_at[key]
                        self._append(SERVERS, [keyed(key, b'')])

    def handle(self, opened, reader):
        request = reader.request()
        method, target, _ = request.start.split(' ')
        url = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        status, kind, body = 404, 'application/json', b'{}'
        if (method, url.path) == ('POST', '/api/log-append'):
            status, body = 200, self._appended(query['topic'], request.body)
        elif (method, url.path) == ('GET', '/api/log-read'):
            kind = 'application/octet-stream'
            status, body = 200, self._read(query)
        elif (method, url.path) == ('GET', '/api/log-newest'):
            status, body = 200, self._newest(query['topic'])
        headers = (('Content-Type', kind), ('Content-Length', len(body)))
        opened.sendall(encode(f'HTTP/1.1 {status} Status', headers, body))
        return True

    def _appended(self, topic, raw):
        bodies = []
        while raw:
            size = RECORD.unpack_from(raw)[0]
            bodies.append(raw[4 : 4 + size])
            raw = raw[4 + size :]
        with self.changed:
            if topic == SERVERS:
                for body in bodies:
                    key = body[1 : 1 + body[0]].decode()
                    self.seen_at[key] = time.monotonic()
            offset = self._append(topic, bodies)
        answer = {'offset': offset, 'end_offset': offset + len(bodies)}
        return json.dumps(answer).encode()

    def _read(self, query):
        start = int(query['from'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self.changed:
            log = self.records.setdefault(query['topic'], [])
            while len(log) <= start and (left := until - time.monotonic()) > 0:
                self.changed.wait(left)
            bodies = log[start:]
            end = len(log)
        encoded = b''.join(RECORD.pack(len(body)) + body for body in bodies)
        return OFFSETS.pack(end, 0) + encoded

    def _newest(self, topic):
        with self.changed:
            log = list(self.records.get(topic, ()))
        newest = {}
        for offset, body in enumerate(log):
            key = body[1 : 1 + body[0]].decode()
            value = body[1 + body[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
        answer = {
            'items': [newest[key] for key in sorted(newest)],
            'has_more': False,
            'end_offset': len(log),
        }
        return json.dumps(answer).encode()
