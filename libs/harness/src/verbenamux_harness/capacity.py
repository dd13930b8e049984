"""Resource use at the required size, computed from measured slopes."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from verbenamux_gateway.fleet import (
    HELLO_BYTES,
    HELLO_BYTES_PER_SECOND,
)
from verbenamux_gateway.peering import HELLOS_PER_ROUND
from verbenamux_gateway.planning import (
    REPORT_BYTES_PER_MODEL,
    REPORT_BYTES_PER_SECOND,
)
from verbenamux_gateway.shares import (
    HOLDERS_PER_WORKSPACE,
    WITNESSES_PER_HOLDER,
)
from verbenamux_harness.microbench import Slope

NODES = 390
SERVERS = 12_000
DATA_CENTRES = 13
REQUESTS_PER_SECOND = 64_000
TOKENS_PER_SECOND = 14_000_000
MODELS = 660
CHANGES_PER_DAY = 18_000
FAILURES_PER_DAY, REPLACEMENTS_PER_DAY = 89, 1300
SECONDS_PER_DAY = 86_400

CPU_BUDGET_PERCENT = 3.4
MEMORY_BUDGET_KB = 32_000
BYTES_PER_SECOND_BUDGET = 9000

# Assumptions that the requirements do not state.
WORKSPACES = 2000
KEYS = 20_000
PATCH_BYTES = 400
POLL_BYTES = 300
POLLED_STREAMS = 3
HELLO_INTERVAL_SECONDS = 1.0
LEASE_DURATION_SECONDS = 10.0
RENEWALS_PER_LEASE = 4
CLAIM_BATCHES_PER_SECOND = 1
BENCH_AGENTS = 10
BYTES_PER_KILOBYTE = 1000
MICROSECONDS_PER_SECOND = 1_000_000
PERCENT = 100
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; `budget` is None if there is none."""

    role: str
    quantity: str
    figure: float
    unit: str
    budget: float | None
    mechanism: str

    def line(self) -> str:
        """Return the row in Markdown, with the factor by which it is over."""
        assessment = ''
        if self.budget is not None:
            fits = self.figure <= self.budget
            factor = self.figure / self.budget
            assessment = 'fits' if fits else f'**over by {factor:.1f} times**'
        budget = '' if self.budget is None else f'{self.budget:g}'
        return (
            f'| {self.role} | {self.quantity} | {self.figure:.4g} {self.unit} '
            f'| {budget} | {assessment} | {self.mechanism} |'
        )


class Slopes:
    """Measured slopes by name."""

    def __init__(self, path: Path) -> None:
        """Read the slopes file of the bench."""
        slopes = msgspec.json.decode(path.read_bytes(), type=list[Slope])
        self._by_name = {slope.name: slope.figure for slope in slopes}

    def get(self, name: str) -> float:
        """Return a figure."""
        return self._by_name[name]


def markdown_table(slopes: Slopes) -> Iterator[str]:
    """Yield the lines of the Markdown table."""
    yield '| role | what | at that size | budget | | mechanism |'
    yield '| --- | --- | --- | --- | --- | --- |'
    for row in all_rows(slopes):
        yield row.line()


def all_rows(slopes: Slopes) -> Iterator[Row]:
    """Yield every row."""
    yield from gateway_control(slopes)
    yield from gateway_data(slopes)
    yield from agent_rows(slopes)
    yield from planner_rows(slopes)
    yield from log_rows()


def gateway_control(slopes: Slopes) -> Iterator[Row]:
    """Yield the cost of control traffic at a gateway."""
    agents = SERVERS / DATA_CENTRES
    period = agents * HELLO_BYTES / HELLO_BYTES_PER_SECOND
    yield Row(
        'gateway',
        f'bytes of heartbeats and hellos, {agents:.0f} agents followed',
        HELLO_BYTES_PER_SECOND,
        'B/s',
        None,
        f'period grows with the fleet, here {period:.0f} s; load comes with '
        'answers, changes at once',
    )
    yield from _gateway_bytes(slopes)
    bench_period = float(BENCH_AGENTS * HELLO_BYTES)
    bench_period /= HELLO_BYTES_PER_SECOND
    per_agent = (
        slopes.get('idle gateway CPU, each agent') * bench_period / period
    )
    base = slopes.get('idle gateway CPU, base')
    patches = (
        CHANGES_PER_DAY / SECONDS_PER_DAY * _fold_seconds(slopes) * PERCENT
    )
    planner = _planner_percent(slopes)
    yield Row(
        'gateway',
        'CPU of control, planner duty included',
        base + max(0, per_agent) * agents + patches + planner,
        '% of a core',
        CPU_BUDGET_PERCENT,
        'paced heartbeats, one fold for each patch, sampled decisions',
    )
    yield from _gateway_memory(slopes, agents)


def _gateway_bytes(slopes: Slopes) -> Iterator[Row]:
    peers = 2 * HELLOS_PER_ROUND * slopes.get('hello') / HELLO_INTERVAL_SECONDS
    leases = 2 * WITNESSES_PER_HOLDER * slopes.get('lease ask')
    leases *= RENEWALS_PER_LEASE / LEASE_DURATION_SECONDS
    polls = POLLED_STREAMS * POLL_BYTES
    patches = CHANGES_PER_DAY / SECONDS_PER_DAY * PATCH_BYTES
    claims = CLAIM_BATCHES_PER_SECOND * POLL_BYTES
    total = HELLO_BYTES_PER_SECOND + peers + leases + polls + patches
    yield Row(
        'gateway',
        f'bytes of control in all (peers {peers:.0f}, leases {leases:.0f}, '
        f'polls {polls:.0f}, patches {patches:.0f})',
        total + claims,
        'B/s',
        BYTES_PER_SECOND_BUDGET,
        'six peers greeted a round, whatever their number; long polls',
    )
    yield Row(
        'gateway',
        "time until every peer's version was compared once",
        NODES / HELLOS_PER_ROUND * HELLO_INTERVAL_SECONDS,
        's',
        None,
        'the log brings versions in one read; peers matter only without it',
    )


def _gateway_memory(slopes: Slopes, agents: float) -> Iterator[Row]:
    base = slopes.get('idle gateway memory, base')
    per_agent = slopes.get('idle gateway memory, each agent')
    declared = (
        SERVERS * slopes.get('declared target')
        + KEYS * slopes.get('declared key')
        + WORKSPACES * slopes.get('bucket of a workspace')
    ) / BYTES_PER_KILOBYTE
    yield Row(
        'gateway',
        f'memory: base {base:.0f} KB, links and views of {agents:.0f} agents '
        f'{per_agent * agents:.0f} KB, declared {declared:.0f} KB',
        base + per_agent * agents + declared,
        'KB',
        MEMORY_BUDGET_KB,
        'follows one data centre closely; the base is the interpreter and '
        'its libraries',
    )


def gateway_data(slopes: Slopes) -> Iterator[Row]:
    """Yield the cost of callers at a gateway at peak load."""
    requests = REQUESTS_PER_SECOND / NODES
    tokens = TOKENS_PER_SECOND / NODES
    request_cores = slopes.get('gateway CPU, a request') * requests
    chunk_cores = slopes.get('gateway CPU, a chunk') * tokens
    cores = (request_cores + chunk_cores) / MS_PER_SECOND
    yield Row(
        'gateway',
        f'cores for {requests:.0f} requests/s and {tokens:.0f} tokens/s, '
        'one chunk a token',
        cores,
        'cores',
        None,
        f'{request_cores / MS_PER_SECOND:.2f} for requests, '
        f'{chunk_cores / MS_PER_SECOND:.2f} for chunks: several gateway '
        'processes a node; joining tokens into a chunk within 34 ms is not '
        'built',
    )


def agent_rows(slopes: Slopes) -> Iterator[Row]:
    """Yield the cost of the agent beside a target."""
    view_bytes = slopes.get(f"agent's part, {SERVERS} targets, {MODELS} models")
    followers = NODES / DATA_CENTRES
    agents = SERVERS / DATA_CENTRES
    period = agents * HELLO_BYTES / HELLO_BYTES_PER_SECOND
    yield Row(
        'agent',
        'memory, its part of the configuration included',
        slopes.get('idle agent memory') + view_bytes / BYTES_PER_KILOBYTE,
        'KB',
        MEMORY_BUDGET_KB,
        'no keys, no other targets, no log stream',
    )
    yield Row(
        'agent',
        f'bytes of control to {followers:.0f} gateways',
        followers * HELLO_BYTES / period,
        'B/s',
        BYTES_PER_SECOND_BUDGET,
        'paced by the gateways',
    )
    yield Row(
        'agent',
        'idle CPU',
        slopes.get('idle agent CPU'),
        '% of a core',
        CPU_BUDGET_PERCENT,
        'mostly polls of the target ten times a second',
    )
    tokens = TOKENS_PER_SECOND / SERVERS
    cores = slopes.get('agent CPU, a chunk') * tokens / MS_PER_SECOND
    yield Row(
        'agent',
        f'cores for {tokens:.0f} tokens/s',
        cores,
        'cores',
        None,
        'one process a target',
    )


def planner_rows(slopes: Slopes) -> Iterator[Row]:
    """Yield the cost of the planner duty and the command line."""
    yield Row(
        'planner duty',
        f'CPU of a step each 2 s, {SERVERS // DATA_CENTRES} hosts',
        _planner_percent(slopes),
        '% of a core',
        CPU_BUDGET_PERCENT,
        'one gateway of a data centre; hosts indexed by model',
    )
    gateways = NODES / DATA_CENTRES
    report_bytes = gateways * MODELS * REPORT_BYTES_PER_MODEL
    period = report_bytes / REPORT_BYTES_PER_SECOND
    yield Row(
        'planner duty',
        'bytes of demand reports taken in, all models seen everywhere',
        REPORT_BYTES_PER_SECOND,
        'B/s',
        BYTES_PER_SECOND_BUDGET,
        f'the period of reports grows with the group, here {period:.0f} s; '
        'demand moves within an hour',
    )
    yield Row(
        'verbenamuxctl',
        'bytes read for a patch (a snapshot of all)',
        slopes.get(f'snapshot, {SERVERS} targets, {MODELS} models'),
        'B',
        None,
        'newest snapshot and the records after it',
    )
    yield Row(
        'all',
        'routing decision at 12,000 targets',
        slopes.get(f'route predicted, {SERVERS} targets'),
        'us',
        None,
        'twelve candidates sampled',
    )


def log_rows() -> Iterator[Row]:
    """Yield the rate of appends to the platform's log."""
    claims = NODES * CLAIM_BATCHES_PER_SECOND
    starts = (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    moves = WORKSPACES * HOLDERS_PER_WORKSPACE / SECONDS_PER_DAY
    patches = CHANGES_PER_DAY / SECONDS_PER_DAY
    yield Row(
        'log',
        f'appends (claims {claims}, starts {starts:.3f}, units {moves:.2f}, '
        f'patches {patches:.2f})',
        claims + starts + moves + patches,
        '1/s',
        300,
        'one batch of claims under way for each gateway; batches joined in a '
        'data centre are not built. Leases cost no appends',
    )


def _fold_seconds(slopes: Slopes) -> float:
    name = f'fold a patch, {SERVERS} targets, {MODELS} models'
    return slopes.get(name) / MICROSECONDS_PER_SECOND


def _planner_percent(slopes: Slopes) -> float:
    hosts = SERVERS // DATA_CENTRES
    microseconds = slopes.get(f'plan, {hosts} hosts, {MODELS} models')
    return microseconds / MICROSECONDS_PER_SECOND / 2 * PERCENT
