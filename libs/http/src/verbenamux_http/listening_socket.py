"""A socket that callers can connect to.

It only needs the standard library, so that a program can listen
before its other modules are imported.
"""

import socket

# Connections that wait to be accepted.
BACKLOG = 1024

Address = tuple[str, int]


def listen(address: Address) -> socket.socket:
    """Bind and listen; raises OSError."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    try:
        listening.bind(address)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
