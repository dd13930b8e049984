"""A consumer, as a process of its own, that reads an answer as it comes.

reader.py HOST PORT SECONDS: the request is read from standard input.
"""

import socket
import sys
import time


def main():
    host, port, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    request = sys.stdin.buffer.read()
    until = time.monotonic() + seconds
    count = 0
    with socket.create_connection((host, port), timeout=1.0) as opened:
        opened.sendall(request)
        opened.settimeout(seconds)
        try:
            while time.monotonic() < until:
                received = opened.recv(1 << 20)
                if not received:
                    break
                count += len(received)
        except OSError:
            pass
    sys.stdout.write(f'{count}\n')


if __name__ == '__main__':
    main()
