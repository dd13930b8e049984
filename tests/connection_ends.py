"""How a peer ends a connection."""

from gevent import socket

from verbenamux_http.client import RESET_ON_CLOSE


def end(opened):
    """End in good order; more can be read."""
    opened.shutdown(socket.SHUT_WR)


def reset(opened):
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    opened.close()


def end_and_reset(opened):
    end(opened)
    reset(opened)
