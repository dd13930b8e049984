"""Targets that crash under one prompt part before any byte of an answer.

Real gateways; each target ends as a process does that had its head buffered.
"""

from functools import partial
from itertools import count
from random import Random

import gevent
import pytest

from soak.deadly_checks import (
    deadly_parts_stop_reaching_targets,
    sound_requests_begin_beside_deadly_ones,
)
from soak.evidence import Evidence
from soak.open_load import OpenLoad
from soak.targets import DEADLY_PART, Streamer
from soak.world import World

pytestmark = [pytest.mark.processes, pytest.mark.timeout(120)]

SLOT = 23
GATEWAYS = tuple(f'gateway-{number}' for number in range(1, 5))
PLAINS = tuple(f'plain-{number}' for number in range(4, 10))
PER_SECOND = 30
DEADLY_FRACTION = 0.06
SHARED_PARTS = ('shared1', 'shared2', 'shared3')
DOWN_SECONDS = 2
CALM_SECONDS, DEADLY_SECONDS = 5, 16


class PromptLoad(OpenLoad):
    """Streams with prompts, no two alike, some of them with a deadly part."""

    deadly_fraction = 0.0

    def __init__(self, *given):
        super().__init__(*given)
        self.numbers = count()

    def draw_prompt(self):
        is_deadly = self.random.random() < self.deadly_fraction
        deadly = f'{DEADLY_PART}:5,' if is_deadly else ''
        shared = self.random.choice(SHARED_PARTS)
        return f'{shared}:5,{deadly}own{next(self.numbers)}:10'


def end(world, name):
    """End a target, and start it again as another one."""
    target = world.targets[name]
    if target.server is None:
        return
    ended = target.instance
    target.crash()
    world.relay.reset(name)
    gevent.sleep(DOWN_SECONDS)
    target.start()
    world.put('keyed.servers', ended, None)


@pytest.fixture
def make_world(tmp_path):
    made = []

    def make(*, is_crash_mute, are_targets_proxied):
        world = World(tmp_path, SLOT, Random(1), GATEWAYS, PLAINS)
        made.append(world)
        world.plain_class = Streamer
        world.stream_service = world.plain_service
        world.are_targets_proxied = are_targets_proxied
        world.max_attempts = 3
        world.is_poisoned = True
        world.start(GATEWAYS)
        for name in PLAINS:
            world.targets[name].is_crash_mute = is_crash_mute
            world.targets[name].on_deadly = partial(end, world, name)
        return world

    yield make
    for world in made:
        world.stop()


@pytest.mark.parametrize('are_targets_proxied', [False, True])
@pytest.mark.parametrize('is_crash_mute', [False, True])
def test_targets_that_crash_without_a_byte_teach_gateways_the_part(
    make_world, *, is_crash_mute, are_targets_proxied
):
    """BUDGET and LOST of incident-49: 38 targets ended, no part was found."""
    world = make_world(
        is_crash_mute=is_crash_mute, are_targets_proxied=are_targets_proxied
    )
    evidence = Evidence(book=world.book)
    load = PromptLoad(world, evidence, Random(1), 'stream', PER_SECOND)
    load.start()
    gevent.sleep(CALM_SECONDS)
    load.deadly_fraction = DEADLY_FRACTION
    gevent.sleep(DEADLY_SECONDS)
    load.stop()
    assert evidence.book.deadly_crashes
    assert not list(deadly_parts_stop_reaching_targets(evidence))
    assert not list(sound_requests_begin_beside_deadly_ones(evidence))
