"""Scenarios with faults drawn at random from a seed."""

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from verbenamux_harness.language import LoadClause, Scenario, Step

SECONDS = 14.0
FIRST_FAULT, LAST_FAULT = 1.0, 9.0
FAULTS_LEAST, FAULTS_MOST = 3, 5
SHORTEST, LONGEST = 0.5, 4.0
ENGINES = ('engine-0', 'engine-1', 'engine-2')
AGENTS = ('agent-engine-0', 'agent-engine-1', 'agent-hire-ledger-0')
GATEWAYS = ('gateway-0', 'gateway-1')
MODELS = ('desk-0', 'desk-1', 'desk-2')

Draw = Callable[[Random, float, float], Iterator[Step]]


def draw_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed: the same seed draws the same faults."""
    random = Random(seed)
    drawn = Scenario(f'soak-{seed}', seconds=SECONDS)
    drawn.fleet_options = {'gateways': 3, 'service_work': '50ms', 'seed': seed}
    drawn.loads = [
        LoadClause('stream', 15, 'counter', {'output_tokens': 40}),
        LoadClause('chat', 15, 'coaches', {'output_tokens': 16}),
        LoadClause('chat', 15, 'noisy', {'output_tokens': 16}),
        LoadClause('booking', 10, 'counter', {}),
        LoadClause('booking', 5, 'counter', {'keys': 'yes', 'repeats': 3}),
    ]
    count = random.randint(FAULTS_LEAST, FAULTS_MOST)
    for draw in random.sample(DRAWS, count):
        begin = random.uniform(FIRST_FAULT, LAST_FAULT)
        end = begin + random.uniform(SHORTEST, LONGEST)
        drawn.steps.extend(draw(random, begin, end))
    return drawn


def describe_steps(scenario: Scenario) -> Iterator[str]:
    """Yield the drawn steps in order, as the scenario language has them."""
    for step in sorted(scenario.steps, key=lambda step: step.at):
        options = [f'{name}={each}' for name, each in step.options.items()]
        words = ' '.join((step.action, *step.words, *options))
        yield f'at {step.at:.2f}s {words}'


def _kill_agent(random: Random, begin: float, end: float) -> Iterator[Step]:
    name = random.choice(AGENTS)
    yield Step(begin, 'kill', (name,))
    yield Step(end, 'start', (name,))


def _freeze_agent(random: Random, begin: float, end: float) -> Iterator[Step]:
    # The last engine's agent: kills draw from the others.
    yield Step(begin, 'freeze', ('agent-engine-2',))
    yield Step(end, 'thaw', ('agent-engine-2',))


def _freeze_gateway(random: Random, begin: float, end: float) -> Iterator[Step]:
    yield Step(begin, 'freeze', ('gateway-1',))
    yield Step(end, 'thaw', ('gateway-1',))


def _kill_gateway(random: Random, begin: float, end: float) -> Iterator[Step]:
    yield Step(begin, 'kill', ('gateway-2',))
    yield Step(end, 'start', ('gateway-2',))


def _log_down(random: Random, begin: float, end: float) -> Iterator[Step]:
    yield Step(begin, 'fault', ('log',), {'down': 'true'})
    yield Step(end, 'fault', ('log',))


def _cut_line(random: Random, begin: float, end: float) -> Iterator[Step]:
    name = random.choice((*ENGINES, *GATEWAYS, 'hire-ledger-0'))
    yield Step(begin, 'cut', (name,))
    yield Step(end, 'cut')


def _spoil_streams(random: Random, begin: float, end: float) -> Iterator[Step]:
    switches: dict[str, Any] = random.choice(
        (
            {'cut_after_chunks': 3},
            {'cross_answers': 2},
            {'lose_orders': 1},
        )
    )
    yield Step(begin, 'fault', (random.choice(ENGINES),), switches)


def _upgrade(random: Random, begin: float, end: float) -> Iterator[Step]:
    yield Step(begin, 'upgrade', (random.choice(MODELS), 'v2'))


def _leave(random: Random, begin: float, end: float) -> Iterator[Step]:
    yield Step(begin, 'leave', ('engine-1',))


DRAWS: tuple[Draw, ...] = (
    _kill_agent,
    _freeze_agent,
    _freeze_gateway,
    _kill_gateway,
    _log_down,
    _cut_line,
    _spoil_streams,
    _upgrade,
    _leave,
)
