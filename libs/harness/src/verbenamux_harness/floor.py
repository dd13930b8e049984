"""Floors to compare with: a bare HTTP handler and a bare message echo."""

import sys
from collections.abc import Iterable
from typing import Any

import zmq.green as zmq
from gevent import monkey
from verbenamux_runtime.webserver import serve

BODY = b'{"ok":true}'


def answer(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
    """Read the body and answer something short."""
    environ['wsgi.input'].read()
    start('200 OK', [('Content-Length', str(len(BODY)))])
    return [BODY]


def echo(address: str) -> None:
    """Send every message back to where it came from."""
    socket = zmq.Context().socket(zmq.ROUTER)
    socket.bind(f'tcp://{address}')
    while True:
        socket.send_multipart(socket.recv_multipart())


def main() -> None:
    """Run one floor: `http` or `echo`, at an address."""
    kind, address = sys.argv[1:]
    monkey.patch_all()
    if kind == 'http':
        serve(address, answer).serve_forever()
    else:
        echo(address)


if __name__ == '__main__':
    main()
