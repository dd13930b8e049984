"""The answers that a stopping gateway gives to each accepted request.

Real processes; every caller reads until the gateway closes its connection.
"""

from random import Random

import gevent
import pytest
from gevent import socket

from soak.targets import event_bytes
from soak.world import BOUNDS, CALLERS_PORT, World
from soak.world import TIMEOUT_MS_BY_KIND as TIMEOUTS
from verbenamux_http.parsing import ResponseParser

pytestmark = pytest.mark.processes

SLOT = 16
GATEWAY, KEEPER = 'gateway-1', 'keeper-1'
# Longer than a stop may take, so that no deadline ends a request first.
TIMEOUT_MS_BY_KIND = dict.fromkeys(TIMEOUTS, 20_000)
GRACE_SECONDS = BOUNDS['grace_s']
OK, BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 200, 502, 503, 504


class Caller:
    """A caller on a connection of its own, and its answer."""

    def __init__(self, world, request_id):
        self.request_id = request_id
        self.parser = ResponseParser()
        self.body = b''
        self.opened = socket.create_connection(
            (world.host(GATEWAY), CALLERS_PORT),
        )

    def ask(self, path, length=0, **fields):
        headers = {
            'Host': 'h',
            'Attempt-Id': self.request_id,
            'Authorization': 'Bearer kept',
            'Content-Length': str(length),
        } | {name.replace('_', '-'): text for name, text in fields.items()}
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        self.opened.sendall(f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode())
        return self

    def read(self):
        """Read the answer until the connection is closed."""
        try:
            while received := self.opened.recv(65536):
                self.parser.feed(received)
        except ConnectionResetError:
            pass
        self.body = b''.join(self.parser.pieces)
        return self

    @property
    def status(self):
        return self.parser.head.status if self.parser.head else None

    @property
    def is_refused_as_not_run(self):
        return (
            self.status == UNAVAILABLE
            and self.parser.is_complete
            and self.parser.head.headers.get('Retry-After') is not None
        )


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path, SLOT, Random(1))
    made.timeout_ms_by_kind = TIMEOUT_MS_BY_KIND
    made.objective_ms_by_kind = TIMEOUT_MS_BY_KIND
    made.start((KEEPER, GATEWAY))
    yield made
    made.stop()


def stop(world):
    """Stop the gateway; return after how many seconds it ended."""
    process = world.programs[GATEWAY]
    process.terminate()
    began_at = world.now()
    with gevent.Timeout(GRACE_SECONDS + 2):
        while process.running:
            gevent.sleep(0.02)
    assert process.popen.returncode == 0
    return world.now() - began_at


def runs_of(world, request_id):
    return [run for run in world.book.runs if run.request_id == request_id]


def load(world, model):
    """Have a model loaded by requesting it."""
    caller = Caller(world, f'load-{model}').ask('/model/', Model=model)
    caller.opened.settimeout(5)
    while not caller.parser.is_complete:
        caller.parser.feed(caller.opened.recv(65536))
    assert caller.status == OK


def test_no_request_ends_without_an_answer_as_its_gateway_stops(world):
    """Waiting requests got no answer at the end of the stop."""
    load(world, 'm1')
    for target in world.targets.values():
        target.slow = GRACE_SECONDS * 2
    for engine in ('keeper-1', 'keeper-2'):
        world.targets[engine].busy_until = float('inf')
        world.targets[engine].loading = None
    callers = {
        'waits for a model': Caller(world, 'a').ask('/model/', Model='m3'),
        'sent once': Caller(world, 'b').ask('/order/'),
        'sent, repeatable': Caller(world, 'c').ask('/look/'),
        'sent to an engine': Caller(world, 'd').ask('/model/', Model='m1'),
        'still arriving': Caller(world, 'e').ask('/order/', length=4),
    }
    gevent.sleep(0.5)
    reading = [gevent.spawn(caller.read) for caller in callers.values()]
    took = stop(world)
    gevent.joinall(reading, timeout=2, raise_error=True)

    assert took < GRACE_SECONDS
    assert callers['waits for a model'].is_refused_as_not_run
    assert callers['still arriving'].is_refused_as_not_run
    for name in ('sent once', 'sent, repeatable', 'sent to an engine'):
        assert callers[name].status in {BAD_GATEWAY, GATEWAY_TIMEOUT}, name
        assert callers[name].parser.is_complete, name
    assert len(runs_of(world, 'b')) == 1
    assert not runs_of(world, 'a')
    assert not runs_of(world, 'e')


def test_a_model_that_loads_too_late_is_refused_long_before_the_end(world):
    """A refused caller still has most of its time for another gateway."""
    world.targets['keeper-1'].busy_until = float('inf')
    world.targets['keeper-1'].loading = None
    caller = Caller(world, 'a').ask('/model/', Model='m3')
    gevent.sleep(0.5)
    world.programs[GATEWAY].terminate()
    began_at = world.now()
    caller.read()
    assert caller.is_refused_as_not_run
    assert world.now() - began_at < GRACE_SECONDS / 2


def test_a_stream_is_relayed_until_its_gateway_ends(world):
    """Its missing end makes the caller resume elsewhere."""
    load(world, 'm1')
    world.targets['keeper-1'].slow = 1.9
    caller = Caller(world, 'a').ask('/model/', Model='m1')
    gevent.sleep(0.3)
    reading = gevent.spawn(caller.read)
    stop(world)
    reading.get(timeout=2)
    assert caller.status == OK
    assert not caller.parser.is_complete
    relayed_events = caller.body.count(b'id: ')
    assert relayed_events >= 3
    assert caller.body == b''.join(
        event_bytes('a', number + 1) for number in range(relayed_events)
    )


def test_an_answer_is_whole_though_its_caller_sent_more_after_it(world):
    """Closing with bytes unread resets a connection and loses the answer."""
    for name in ('plain-1', 'plain-2', 'plain-3'):
        world.targets[name].slow = 1.0
    caller = Caller(world, 'a').ask('/order/')
    gevent.sleep(0.3)
    world.programs[GATEWAY].terminate()
    caller.ask('/order/x')
    gevent.sleep(2)
    caller.read()
    assert caller.status == OK
    assert caller.body == b'answer to a'


def test_callers_are_served_while_the_entry_may_have_no_other_gateway(world):
    """All gateways of a site were stopping, and none accepted callers."""
    for name in ('plain-1', 'plain-2', 'plain-3'):
        world.targets[name].slow = 5.0
    first = Caller(world, 'a').ask('/order/')
    gevent.sleep(0.3)
    for name in ('plain-1', 'plain-2', 'plain-3'):
        world.targets[name].slow = 0.0
    world.programs[GATEWAY].terminate()
    gevent.sleep(3)
    assert Caller(world, 'b').ask('/look/').read().status == OK
    late = Caller(world, 'c').ask('/model/', Model='m1').read()
    assert late.is_refused_as_not_run
    assert first.read().status == OK
