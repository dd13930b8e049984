"""Slopes of single operations, measured in this process."""

import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random
from statistics import median

import msgspec

from verbenamux_admission import unit_table as records
from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_admission.fairqueue import FairQueue
from verbenamux_admission.lease import HolderLease
from verbenamux_config import entities, operations
from verbenamux_config.access import authenticate
from verbenamux_config.fold import apply_record
from verbenamux_config.state import (
    Configuration,
    encode_snapshot,
    view_for_target,
)
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.ids import AttemptId, InstanceId
from verbenamux_contracts.messages import (
    Chunk,
    Heartbeat,
    Hello,
    LeaseAsk,
    ResidentModel,
    decode_message,
    encode_message,
)
from verbenamux_placement.planner import DemandTable, HostState, plan_moves
from verbenamux_routing.choose import RoutingPolicy, make_chooser
from verbenamux_routing.score import RequestNeeds
from verbenamux_routing.views import ViewTable

ROUNDS = 5
ROUND_SECONDS = 0.1
MICROSECONDS_PER_SECOND = 1_000_000
NOW = timedelta(seconds=1)
FLEET_SIZES = (10, 100, 1000, 12_000)
CURRENT_MODELS, PLANNED_MODELS = 30, 660
LIMITS = Limits(1000, 1000)


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured figure with its unit."""

    name: str
    figure: float
    unit: str


def time_step(step: Callable[[], object]) -> float:
    """Return the median time of a step in microseconds."""
    return median(_time_round(step) for _ in range(ROUNDS))


def all_slopes() -> Iterator[Slope]:
    """Yield every slope that needs no process."""
    yield from routing_slopes()
    yield from message_slopes()
    yield from fold_slopes()
    yield from admission_slopes()
    yield from planner_slopes()
    yield from memory_slopes()


def routing_slopes() -> Iterator[Slope]:
    """Yield the time of a decision against the size of the fleet."""
    need = RequestNeeds(model='m0', prompt_tokens=64, prefix_blocks=(1, 2))
    for policy in RoutingPolicy:
        for count in FLEET_SIZES:
            table = fleet_table(count)
            choose = make_chooser(policy, 'dc', Random(1))
            microseconds = time_step(
                partial(choose, table, need, frozenset(), NOW)
            )
            yield Slope(
                f'route {policy.value}, {count} targets', microseconds, 'us'
            )
    for models in (CURRENT_MODELS, PLANNED_MODELS):
        table = fleet_table(1000, models)
        choose = make_chooser(RoutingPolicy.PREDICTED, 'dc', Random(1))
        microseconds = time_step(partial(choose, table, need, frozenset(), NOW))
        yield Slope(f'route predicted, {models} models', microseconds, 'us')


def message_slopes() -> Iterator[Slope]:
    """Yield the size and time of control messages."""
    table = fleet_table(1000)
    heartbeat_message = heartbeat('t1', 4)
    frame = encode_message(heartbeat_message)
    yield Slope('heartbeat', len(frame), 'B')
    yield Slope(
        'heartbeat encode',
        time_step(lambda: encode_message(heartbeat_message)),
        'us',
    )
    yield Slope(
        'heartbeat decode and learn',
        time_step(partial(_learn_frame, table, frame)),
        'us',
    )
    hello = Hello(
        'gateway-0', InstanceId('i' * 30), 1, 'd' * 64, 'h' * 40, 'dc'
    )
    yield Slope('hello', len(encode_message(hello)), 'B')
    lease_ask = LeaseAsk('a' * 22, InstanceId('h' * 40), 10_000)
    yield Slope('lease ask', len(encode_message(lease_ask)), 'B')
    chunk = Chunk(AttemptId('a' * 22), 7, b'x' * 150)
    chunk_frame = encode_message(chunk)
    yield Slope('chunk encode', time_step(lambda: encode_message(chunk)), 'us')
    yield Slope(
        'chunk decode',
        time_step(lambda: decode_message(chunk_frame)),
        'us',
    )


def fold_slopes() -> Iterator[Slope]:
    """Yield the time of a patch and the size of a snapshot."""
    for targets, models in ((15, CURRENT_MODELS), (12_000, PLANNED_MODELS)):
        state = configuration_of(targets, models)
        size = f'{targets} targets, {models} models'
        patch = operations.Patch(
            'p',
            state.version,
            (operations.PutModel(entities.Model('m0', 'v2', 10)),),
        )
        microseconds = time_step(partial(apply_record, state, patch))
        yield Slope(f'fold a patch, {size}', microseconds, 'us')
        snapshot = encode_snapshot(state)
        yield Slope(f'snapshot, {size}', len(snapshot), 'B')
        view = encode_snapshot(view_for_target(state, 't0'))
        yield Slope(f"agent's part, {size}", len(view), 'B')
        microseconds = time_step(partial(authenticate, state, 'k'))
        yield Slope(f'authenticate, {size}', microseconds, 'us')


def admission_slopes() -> Iterator[Slope]:
    """Yield the time of spending, lending and queueing."""
    for workspaces in (1, 1000):
        escrow = escrow_of(workspaces)
        microseconds = time_step(partial(escrow.spend, 'w0', 1))
        yield Slope(f'escrow take, {workspaces} workspaces', microseconds, 'us')
    for workspaces in (1, 10, 100):
        queue: FairQueue[int] = FairQueue()
        for number in range(workspaces * 4):
            queue.push(f'w{number % workspaces}', number, 10)

        yield Slope(
            f'fair queue push and pop, {workspaces} workspaces waiting',
            time_step(partial(_push_and_pop, queue)),
            'us',
        )


def planner_slopes() -> Iterator[Slope]:
    """Yield the time of one planner step."""
    for hosts, models in ((9, CURRENT_MODELS), (923, PLANNED_MODELS)):
        demand = DemandTable()
        demand.observe({f'm{offset}': 10 for offset in range(models)}, NOW)
        declared = [
            entities.Model(f'm{offset}', 'v1', 10) for offset in range(models)
        ]
        states = [
            HostState(
                f't{number}',
                10,
                1000,
                {
                    f'm{(number * 4 + offset) % models}': 'v1'
                    for offset in range(4)
                },
            )
            for number in range(hosts)
        ]
        microseconds = time_step(
            partial(plan_moves, declared, states, demand, 4)
        )
        yield Slope(f'plan, {hosts} hosts, {models} models', microseconds, 'us')


def memory_slopes() -> Iterator[Slope]:
    """Yield the memory of each declared or tracked item."""
    yield Slope('view of a target', _bytes_per_item(1000, fleet_table), 'B')
    yield Slope('bucket of a workspace', _bytes_per_item(1000, escrow_of), 'B')
    yield Slope(
        'declared target',
        _bytes_per_item(1000, lambda count: configuration_of(count, 1)),
        'B',
    )
    yield Slope('declared key', _bytes_per_item(1000, _keys_of), 'B')


def heartbeat(
    name: str, models: int, first: int = 0, model_count: int = 1
) -> Heartbeat:
    """Return a heartbeat of an engine that holds some models."""
    return Heartbeat(
        target=name,
        instance=InstanceId(f'{name}-{"0" * 18}'),
        version=12,
        resident=tuple(
            ResidentModel(
                f'm{(first + offset) % max(model_count, models)}', 'v1'
            )
            for offset in range(models)
        ),
        slots=16,
        running=7,
        queued_tokens=900,
        free_mb=2000,
        prefill_tokens_per_second=8000,
        decode_ms=20,
    )


def fleet_table(count: int, models: int = 1) -> ViewTable:
    """Return a table of engines that hold one to four models each."""
    table = ViewTable()
    table.replace_targets(
        entities.Target(
            f't{number}',
            entities.TargetKind.ENGINE,
            '127.0.0.1:1',
            'dc',
        )
        for number in range(count)
    )
    models_per_target = min(4, models)
    for number in range(count):
        table.apply_heartbeat(
            heartbeat(
                f't{number}',
                models_per_target,
                number * models_per_target,
                models,
            ),
            NOW,
        )
    return table


def escrow_of(workspaces: int) -> Escrow:
    """Return an escrow that holds every unit of some workspaces."""
    clock = ManualClock()
    escrow = Escrow('', clock, lambda _: LIMITS, HolderLease())
    names = tuple(f'w{number}' for number in range(workspaces))
    first = [
        records.WitnessStart('w', 'i'),
        records.HolderStart('g', ('w',)),
        records.ClaimUnits('g', names),
    ]
    lease = HolderLease(
        ('w',),
        current_instance=escrow.unit_table.instance_by_witness.get,
    )
    escrow.rename('g', lease)
    escrow.fold(0, map(records.encode_share_record, first))
    lease.renew('w', 'i', clock.elapsed(), timedelta(hours=1))
    return escrow


def configuration_of(targets: int, models: int) -> Configuration:
    """Return a configuration with some targets and models."""
    return Configuration(
        version=1,
        models_by_name={
            f'm{number}': entities.Model(f'm{number}', 'v1', 10)
            for number in range(models)
        },
        targets_by_name={
            f't{number}': entities.Target(
                f't{number}',
                entities.TargetKind.ENGINE,
                f'10.0.{number // 250}.{number % 250}:7000',
                f'dc-{number % 13}',
                memory_mb=80_000,
            )
            for number in range(targets)
        },
    )


def _push_and_pop(queue: FairQueue[int]) -> None:
    queue.push('w0', 1, 10)
    queue.pop()


def _learn_frame(table: ViewTable, frame: bytes) -> None:
    message = decode_message(frame)
    if isinstance(message, Heartbeat):
        table.apply_heartbeat(message, NOW)


def _keys_of(count: int) -> dict[str, entities.Key]:
    keys = [
        entities.Key(f'{number:064x}', 'workspace') for number in range(count)
    ]
    return {key.key_hash: key for key in keys}


def _bytes_per_item(count: int, build: Callable[[int], object]) -> float:
    build(1)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / count


def _time_round(step: Callable[[], object]) -> float:
    step()
    count = 0
    started = time.perf_counter()
    while time.perf_counter() - started < ROUND_SECONDS:
        step()
        count += 1
    return (time.perf_counter() - started) / count * MICROSECONDS_PER_SECOND


def encode_slopes(slopes: list[Slope]) -> bytes:
    """Return slopes as JSON."""
    return msgspec.json.format(msgspec.json.encode(slopes))
