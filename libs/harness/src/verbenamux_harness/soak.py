"""Scenarios with faults drawn at random from a seed."""

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from verbenamux_harness.language import LoadClause, Scenario, Step

RUN_SECONDS = 14.0
FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS = 1.0, 9.0
MIN_FAULTS, MAX_FAULTS = 3, 5
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.5, 4.0
ENGINES = ('engine-0', 'engine-1', 'engine-2')
AGENTS = ('agent-engine-0', 'agent-engine-1', 'agent-hire-ledger-0')
GATEWAYS = ('gateway-0', 'gateway-1')
MODELS = ('desk-0', 'desk-1', 'desk-2')

FaultDraw = Callable[[Random, float, float], Iterator[Step]]


def draw_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed; a seed always draws the same faults."""
    random = Random(seed)
    scenario = Scenario(f'soak-{seed}', seconds=RUN_SECONDS)
    scenario.fleet_options = {
        'gateways': 3,
        'service_work': '50ms',
        'seed': seed,
    }
    scenario.loads = [
        LoadClause('stream', 15, 'counter', {'output_tokens': 40}),
        LoadClause('chat', 15, 'coaches', {'output_tokens': 16}),
        LoadClause('chat', 15, 'noisy', {'output_tokens': 16}),
        LoadClause('booking', 10, 'counter', {}),
        LoadClause('booking', 5, 'counter', {'keys': 'yes', 'repeats': 3}),
    ]
    count = random.randint(MIN_FAULTS, MAX_FAULTS)
    for draw in random.sample(FAULT_DRAWS, count):
        begin = random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        end = begin + random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        scenario.steps.extend(draw(random, begin, end))
    return scenario


def describe_steps(scenario: Scenario) -> Iterator[str]:
    """Yield the drawn steps in order, in the scenario language."""
    for step in sorted(scenario.steps, key=lambda step: step.at):
        options = [
            f'{name}={setting}' for name, setting in step.options.items()
        ]
        line = ' '.join((step.action, *step.arguments, *options))
        yield f'at {step.at:.2f}s {line}'


def _kill_agent(random: Random, begin: float, end: float) -> Iterator[Step]:
    name = random.choice(AGENTS)
    yield Step(begin, 'kill', (name,))
    yield Step(end, 'start', (name,))


def _freeze_agent(random: Random, begin: float, end: float) -> Iterator[Step]:
    # The last engine's agent, because _kill_agent draws from the others.
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


def _fault_engine(random: Random, begin: float, end: float) -> Iterator[Step]:
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


FAULT_DRAWS: tuple[FaultDraw, ...] = (
    _kill_agent,
    _freeze_agent,
    _freeze_gateway,
    _kill_gateway,
    _log_down,
    _cut_line,
    _fault_engine,
    _upgrade,
    _leave,
)
