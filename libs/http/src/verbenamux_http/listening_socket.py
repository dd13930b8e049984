"""A socket that callers can connect to.

It only needs the standard library, so that a program can listen
before its other modules are imported.
"""

import socket

# Connections that wait to be accepted.
BACKLOG = 1024
# What the kernel may buffer of a connection each way, about twice of it in all:
# without a limit it grows to megabytes. It bears 60 MB/s over a delay of 1 ms.
SOCKET_BUFFER_BYTES = 65536

Address = tuple[str, int]


def listen(address: Address) -> socket.socket:
    """Bind and listen; raises OSError."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit both.
    for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.setsockopt(socket.SOL_SOCKET, buffer, SOCKET_BUFFER_BYTES)
    listening.setblocking(False)
    try:
        listening.bind(address)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
