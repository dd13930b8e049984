"""Slopes measured on processes: CPU per request and token, idle cost."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from verbenamux_harness.fleet import Fleet, running
from verbenamux_harness.microbench import Slope
from verbenamux_harness.processes import Process, free_addresses, program
from verbenamux_harness.shapes import FleetShape, nakhla
from verbenamux_harness.web import call, wait_until
from verbenamux_load.history import read_history
from verbenamux_load.summary import outcome_of, pair_calls

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
BYTES_PER_KILOBYTE = 1024
LOAD_SECONDS = 6
IDLE_SECONDS = 10
FEW_ENGINES, MANY_ENGINES = 2, 10
BASELINE_RATE = 200
SHORT_TOKENS, LONG_TOKENS = 2, 100
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class LoadCost:
    """The cost of a load; CPU in seconds."""

    gateway_cpu: float
    agent_cpu: float
    calls: int
    chunks: int
    first_token_ms: float


def all_process_slopes(folder: Path) -> Iterator[Slope]:
    """Yield every slope that needs processes."""
    yield from baseline_slopes(folder)
    yield from request_slopes(folder)
    yield from idle_slopes(folder)


def baseline_slopes(folder: Path) -> Iterator[Slope]:
    """Yield the CPU of a bare HTTP handler per request."""
    address = free_addresses(1)[0]
    command = [
        sys.executable,
        '-m',
        'verbenamux_harness.floor',
        'http',
        address,
    ]
    process = Process('floor', command, folder / 'floor.log')
    process.start()
    try:
        cost = _baseline_cost(folder, process, address)
    finally:
        process.kill()
    yield Slope('CPU of a bare HTTP handler, a request', cost, 'ms')


def _baseline_cost(folder: Path, process: Process, address: str) -> float:
    url = f'http://{address}/x'
    wait_until(lambda: call('POST', url, b'{}').status > 0, 'floor')
    before = cpu_seconds(process.pid)
    calls = _run_load(folder, [address], [_service_caller(BASELINE_RATE)])
    return (cpu_seconds(process.pid) - before) / calls * MILLISECONDS_PER_SECOND


def request_slopes(folder: Path) -> Iterator[Slope]:
    """Yield the CPU per request and chunk and the added latency."""
    with running(_bench_shape(), folder) as fleet:
        service = measure(fleet, folder, [_service_caller(100, fleet)])
        short = measure(
            fleet, folder, [_stream_caller(fleet, SHORT_TOKENS, 60)]
        )
        long = measure(fleet, folder, [_stream_caller(fleet, LONG_TOKENS, 20)])
        direct_ms = _direct_first_token(fleet)
        gateway_ms = _gateway_first_token(fleet)
    yield Slope(
        'gateway CPU, a service call',
        service.gateway_cpu / service.calls * MILLISECONDS_PER_SECOND,
        'ms',
    )
    yield from _split_cost(short, long)
    yield Slope('first token at the engine', direct_ms, 'ms')
    yield Slope('first token through a gateway', gateway_ms, 'ms')
    yield Slope('first token added', gateway_ms - direct_ms, 'ms')


def idle_slopes(folder: Path) -> Iterator[Slope]:
    """Yield the cost of control traffic without callers."""
    with_few = _measure_idle(folder, FEW_ENGINES)
    with_many = _measure_idle(folder, MANY_ENGINES)
    engines = MANY_ENGINES - FEW_ENGINES
    for name, unit in (
        ('gateway CPU', '% of a core'),
        ('gateway received', 'B/s'),
        ('gateway sent', 'B/s'),
        ('gateway memory', 'KB'),
    ):
        slope = (with_many[name] - with_few[name]) / engines
        yield Slope(
            f'idle {name}, base', with_few[name] - slope * FEW_ENGINES, unit
        )
        yield Slope(f'idle {name}, each agent', slope, unit)
    yield Slope('idle agent CPU', with_many['agent CPU'], '% of a core')
    yield Slope('idle agent memory', with_many['agent memory'], 'KB')


def measure(
    fleet: Fleet,
    folder: Path,
    callers: list[dict[str, Any]],
) -> LoadCost:
    """Send a load and return what it cost."""
    gateway = fleet.process_by_name['gateway-0'].pid
    agents = [
        fleet.process_by_name[f'agent-{name}'].pid
        for name in [*fleet.engines, *fleet.services]
    ]
    before = cpu_seconds(gateway), sum(map(cpu_seconds, agents))
    addresses = [fleet.address_by_name['gateway-0']]
    _run_load(folder, addresses, callers)
    after = cpu_seconds(gateway), sum(map(cpu_seconds, agents))
    lines = read_history(folder / 'bench-history.jsonl')
    calls = [
        (invoked, completed)
        for invoked, completed in pair_calls(lines)
        if outcome_of(invoked, completed) == 'whole' and completed is not None
    ]
    return LoadCost(
        after[0] - before[0],
        after[1] - before[1],
        len(calls),
        sum(invoked.output_tokens + 1 for invoked, _ in calls),
        median(
            ((completed.first_token or 0) - invoked.time)
            * MILLISECONDS_PER_SECOND
            for invoked, completed in calls
        ),
    )


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


def memory_kilobytes(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return float(line.split()[1])
    return 0


def _split_cost(short: LoadCost, long: LoadCost) -> Iterator[Slope]:
    """Yield the cost per request and per chunk, solved from two loads."""
    for name in ('gateway', 'agent'):
        short_cpu = getattr(short, f'{name}_cpu') / short.calls
        long_cpu = getattr(long, f'{name}_cpu') / long.calls
        short_chunks = short.chunks / short.calls
        long_chunks = long.chunks / long.calls
        chunk = (long_cpu - short_cpu) / (long_chunks - short_chunks)
        request = short_cpu - chunk * short_chunks
        yield Slope(
            f'{name} CPU, a request', request * MILLISECONDS_PER_SECOND, 'ms'
        )
        yield Slope(
            f'{name} CPU, a chunk', chunk * MILLISECONDS_PER_SECOND, 'ms'
        )
    yield Slope(
        'requests a second on a gateway core, two tokens each',
        short.calls / short.gateway_cpu,
        '1/s',
    )


def _bench_shape(**changes: Any) -> FleetShape:
    settings = {
        'gateways': 1,
        'slots': 64,
        'decode_ms': 5,
        'prefill_rate': 100_000,
        'engine_memory_mb': 6000,
        'copies_least': 3,
    }
    return nakhla(**(settings | changes))


def _stream_caller(fleet: Fleet, tokens: int, rate: int) -> dict[str, Any]:
    return {
        'name': 'bench-stream-0',
        'key': fleet.key_by_workspace['counter'],
        'kind': 'stream',
        'rate': rate,
        'models': [model.name for model in fleet.shape.models],
        'output_tokens': tokens,
    }


def _service_caller(rate: int, fleet: Fleet | None = None) -> dict[str, Any]:
    return {
        'name': 'bench-service-0',
        'key': fleet.key_by_workspace['counter'] if fleet else '',
        'kind': 'service',
        'rate': rate,
        'path': '/services/hire-ledger/bookings',
    }


def _run_load(
    folder: Path,
    addresses: list[str],
    callers: list[dict[str, Any]],
) -> int:
    plan = folder / 'bench-load.json'
    history = folder / 'bench-history.jsonl'
    plan.write_bytes(
        msgspec.json.encode(
            {
                'gateways': addresses,
                'duration': f'{LOAD_SECONDS}s',
                'callers': callers,
            }
        ),
    )
    subprocess.run(
        [program('verbenamux-load'), 'run', plan, '--history', history],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    return sum(1 for _ in pair_calls(read_history(history)))


def _measure_idle(folder: Path, engines: int) -> dict[str, float]:
    shape = _bench_shape(engines=engines, copies_least=1)
    with running(shape, folder) as fleet:
        gateway = fleet.process_by_name['gateway-0'].pid
        agent = fleet.process_by_name['agent-engine-0'].pid
        before = _read_counters(fleet, gateway, agent)
        time.sleep(IDLE_SECONDS)
        after = _read_counters(fleet, gateway, agent)
        percent = 100 / IDLE_SECONDS
        return {
            'gateway CPU': (after[0] - before[0]) * percent,
            'agent CPU': (after[1] - before[1]) * percent,
            'gateway received': (after[2] - before[2]) / IDLE_SECONDS,
            'gateway sent': (after[3] - before[3]) / IDLE_SECONDS,
            'gateway memory': memory_kilobytes(gateway),
            'agent memory': memory_kilobytes(agent),
        }


def _read_counters(
    fleet: Fleet,
    gateway: int,
    agent: int,
) -> tuple[float, float, float, float]:
    text = call('GET', f'{fleet.url("gateway-0")}/metrics').body.decode()
    rows = dict(line.rsplit(' ', 1) for line in text.splitlines())
    return (
        cpu_seconds(gateway),
        cpu_seconds(agent),
        float(rows['verbenamux_peer_received_bytes']),
        float(rows['verbenamux_peer_sent_bytes']),
    )


def _direct_first_token(fleet: Fleet) -> float:
    model = fleet.shape.models[0].name
    body = msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': 'a b c'}],
            'max_tokens': 1,
        }
    )
    url = f'{fleet.url(fleet.engines[0])}/v1/chat/completions'
    return median(
        _call_milliseconds(url, body, {'X-Request-Id': f'direct-{number}'})
        for number in range(100)
    )


def _gateway_first_token(fleet: Fleet) -> float:
    key = fleet.key_by_workspace['counter']
    body = msgspec.json.encode(
        {
            'model': fleet.shape.models[0].name,
            'messages': [{'role': 'user', 'content': 'a b c'}],
            'max_tokens': 1,
            'stream': True,
        }
    )
    url = f'{fleet.url("gateway-0")}/v1/chat/completions'
    headers = {'Authorization': f'Bearer {key}'}
    return median(_call_milliseconds(url, body, headers) for _ in range(100))


def _call_milliseconds(url: str, body: bytes, headers: dict[str, str]) -> float:
    all_headers = headers | {'Content-Type': 'application/json'}
    started = time.perf_counter()
    call('POST', url, body, all_headers)
    return (time.perf_counter() - started) * MILLISECONDS_PER_SECOND
