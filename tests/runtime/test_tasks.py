"""Tasks that run until the process ends."""

from datetime import timedelta

import gevent

from verbenamux_contracts.messages import Accepted, encode_message
from verbenamux_harness.processes import free_addresses
from verbenamux_runtime import tasks
from verbenamux_runtime.peers import PeerLink, PeerServer


def test_task_that_fails_is_restarted(monkeypatch: object) -> None:
    monkeypatch.setattr(tasks, 'TASK_RESTART_DELAY', timedelta())
    started = []

    def task() -> None:
        started.append(1)
        if len(started) < 3:
            raise ValueError(len(started))
        gevent.sleep(60)

    running = tasks.keep_running(task)
    for _ in range(20):
        gevent.sleep(0)
    running.kill()
    assert len(started) == 3


def test_message_whose_handling_fails_does_not_stop_the_next() -> None:
    handled = []

    def handle(sender: bytes, message: Accepted) -> None:
        handled.append(message.attempt_id)
        if message.attempt_id == 'bad':
            raise ValueError(message.attempt_id)

    address = free_addresses(1)[0]
    server = PeerServer(address, handle)
    serving = gevent.spawn(server.run)
    link = PeerLink(address, 'caller', lambda _: None)
    with gevent.Timeout(10):
        while not link.send(Accepted('first')):
            gevent.sleep(0.01)
        link.send(Accepted('bad'))
        link._socket.send(b'no message at all')
        link.send(Accepted('last'))
        while len(handled) < 3:
            gevent.sleep(0.01)
    serving.kill()
    link.close()
    server.close()
    assert handled == ['first', 'bad', 'last']
    assert encode_message(Accepted('x'))
