"""Baselines for measurements: a bare HTTP handler and message echo."""

import sys
from collections.abc import Iterable
from typing import Any

import msgspec
import zmq.green as zmq
from gevent import monkey

from verbenamux_runtime.webserver import serve


def answer(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
    """Read the body and send it back, as the service stand-in does."""
    echo = environ['wsgi.input'].read().decode()
    body = msgspec.json.encode({'echo': echo})
    start('200 OK', [('Content-Length', str(len(body)))])
    return [body]


def echo_messages(address: str) -> None:
    """Send every message back to its sender."""
    socket = zmq.Context().socket(zmq.ROUTER)
    socket.bind(f'tcp://{address}')
    while True:
        socket.send_multipart(socket.recv_multipart())


def main() -> None:
    """Run one baseline: `http` or `echo`, at an address."""
    kind, address = sys.argv[1:]
    monkey.patch_all()
    if kind == 'http':
        serve(address, answer).serve_forever()
    else:
        echo_messages(address)


if __name__ == '__main__':
    main()
