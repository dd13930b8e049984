"""HTTP/1.1 as the users' pages describe it, for stand-ins and consumers."""

import socket
import threading
from dataclasses import dataclass, field


class Closed(Exception):
    """The peer closed or reset the connection, or nothing came in time."""


class Malformed(Exception):
    """The bytes are no answer in the protocol."""


@dataclass
class Message:
    """One request or answer; `start` is its first line."""

    start: str
    headers: dict
    body: bytes = b''


class Reader:
    """Buffered reading from a socket."""

    def __init__(self, opened):
        self.socket = opened
        self.buffer = b''

    def _fill(self):
        try:
            more = self.socket.recv(65536)
        except OSError as error:
            raise Closed(repr(error)) from error
        if not more:
            raise Closed('end of the connection')
        self.buffer += more

    def until(self, mark):
        while mark not in self.buffer:
            self._fill()
        part, self.buffer = self.buffer.split(mark, 1)
        return part

    def exactly(self, size):
        while len(self.buffer) < size:
            self._fill()
        part, self.buffer = self.buffer[:size], self.buffer[size:]
        return part

    def head(self):
        lines = self.until(b'\r\n\r\n').decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        return Message(lines[0], headers)

    def chunk(self):
        """Return the next chunk; an empty one is the end."""
        line = self.until(b'\r\n')
        try:
            size = int(line.split(b';')[0], 16)
        except ValueError as error:
            raise Malformed(f'no size of a chunk: {line[:80]!r}') from error
        piece = self.exactly(size)
        if self.exactly(2) != b'\r\n':
            raise Malformed('no line end after a chunk')
        return piece

    def body(self, headers):
        if 'chunked' in headers.get('transfer-encoding', ''):
            pieces = []
            while piece := self.chunk():
                pieces.append(piece)
            return b''.join(pieces)
        return self.exactly(int(headers.get('content-length', 0)))

    def request(self):
        message = self.head()
        message.body = self.body(message.headers)
        return message


@dataclass
class Answer:
    """What a consumer saw. `status` is 0 if no head came."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    malformed: str = ''
    failure: str = ''


def read_answer(reader, answer):
    """Read one answer into `answer`, piece by piece."""
    try:
        head = reader.head()
        version, _, rest = head.start.partition(' ')
        if not version.startswith('HTTP/1.') or not rest[:3].isdigit():
            raise Malformed(f'no status line: {head.start[:80]!r}')
        answer.status, answer.headers = int(rest[:3]), head.headers
        if 'chunked' in head.headers.get('transfer-encoding', ''):
            while piece := reader.chunk():
                answer.body += piece
        else:
            answer.body = reader.exactly(
                int(head.headers.get('content-length', 0))
            )
        answer.complete = True
    except Closed as closed:
        answer.failure = str(closed)
    except Malformed as malformed:
        answer.malformed = str(malformed)


def encode(start, headers, body=b''):
    """Return the bytes of a message; its length is added."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def ask(address, start, headers, body=b'', timeout=10.0, opened=None):
    """Send one request on a new connection and return its answer."""
    answer = Answer()
    own = opened is None
    try:
        if own:
            opened = socket.create_connection(address, timeout=1.0)
        opened.settimeout(timeout)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.sendall(encode(start, headers, body))
        read_answer(Reader(opened), answer)
    except OSError as error:
        answer.failure = answer.failure or repr(error)
    finally:
        if own and opened is not None:
            opened.close()
    return answer


class HttpServer:
    """Serves each connection in a thread; `handle` answers a request."""

    def __init__(self, address):
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.bind(address)
        self.listening.listen(512)

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                opened, _ = self.listening.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(opened,), daemon=True
            ).start()

    def _serve(self, opened):
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(opened)
        try:
            while self.handle(opened, reader):
                pass
        except (Closed, OSError):
            pass
        finally:
            opened.close()

    def handle(self, opened, reader):
        """Answer one request; return whether the connection is kept."""
        raise NotImplementedError
