"""What a stopping keeper process sends to its gateways."""

from datetime import timedelta
from random import Random

import gevent
import pytest

from soak.world import ENGINE_MB, MODEL_MB, PEER_PORT, World
from verbenamux_contracts.messages import (
    EngineNotice,
    KeeperHello,
    KeeperLeaving,
    KeeperReport,
    LoadReply,
    ModelAsk,
    ModelSize,
)
from verbenamux_runtime.peers import PeerLink

pytestmark = pytest.mark.processes

SLOT = 17
KEEPER = 'keeper-1'
# A load that lasts longer than any stop.
LOAD_SECONDS = 6
STOP_SECONDS = 2
NOTICE = EngineNotice(
    version=1,
    models=(ModelSize('m1', MODEL_MB), ModelSize('m2', MODEL_MB)),
    weights_mb=ENGINE_MB,
    adapter_places=1,
    store_loads_per_second=10,
    targets=1,
)


class Gateway:
    """A link to the keeper, and the messages received over it."""

    def __init__(self, world):
        self.received = []
        self.link = PeerLink(
            f'{world.host(KEEPER)}:{PEER_PORT}',
            'gateway',
            self.received.append,
        )

    def introduce(self):
        """Send the keeper what its engine may hold once it is connected."""
        with gevent.Timeout(20):
            while not any(
                isinstance(message, KeeperReport) for message in self.received
            ):
                self.link.send(KeeperHello('gateway', wants_report=True))
                gevent.sleep(0.1)
        self.link.send(NOTICE)

    def ask(self, model):
        timeout = timedelta(seconds=LOAD_SECONDS)
        ask = ModelAsk(f'ask-{model}', model)
        return gevent.spawn(self.link.ask, ask.ask_id, ask, timeout)


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path, SLOT, Random(1))
    made.start((KEEPER,))
    yield made
    made.stop()


def test_a_stopping_keeper_answers_and_sends_its_shutdown_notice(world):
    """Its requests were left open: gateways waited up to 12 s for them."""
    engine = world.targets[KEEPER]
    carry_out = engine.carry_out

    def carry_out_slowly(order):
        carry_out(order)
        engine.busy_until = world.now() + LOAD_SECONDS

    engine.carry_out = carry_out_slowly
    gateway = Gateway(world)
    gateway.introduce()
    requests = [gateway.ask('m1'), gateway.ask('m2')]
    with gevent.Timeout(LOAD_SECONDS):
        while not engine.taken:
            gevent.sleep(0.02)
    world.programs[KEEPER].terminate()
    gevent.joinall(requests, timeout=STOP_SECONDS)
    replies = [ask.value for ask in requests]
    assert all(isinstance(reply, LoadReply) for reply in replies), replies
    assert not any(reply.in_place for reply in replies)
    with gevent.Timeout(STOP_SECONDS):
        while world.programs[KEEPER].running:
            gevent.sleep(0.02)
    assert any(
        isinstance(message, KeeperLeaving) for message in gateway.received
    )
    assert world.programs[KEEPER].popen.returncode == 0
