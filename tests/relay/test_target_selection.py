"""Which targets qualify for a request."""

from datetime import timedelta

import pytest

from verbenamux_relay.catalog import EngineTerms, Service
from verbenamux_relay.prompt_cache import PromptMemory
from verbenamux_relay.target_selection import (
    BYTES_PER_TOKEN,
    Query,
    ReadRateTable,
    RoutingState,
    UnavailableReason,
    pick,
)
from verbenamux_relay.targets import (
    InFlight,
    TargetEntry,
    TargetReport,
    TargetTable,
)
from verbenamux_relay.terms import PromptPart, RequestTerms

NOW = timedelta(seconds=100)
SERVICE = Service('s', max_connections=2)


@pytest.fixture
def routing_state():
    target_table = TargetTable()
    for number in (1, 2):
        entry = TargetEntry(f't{number}', 's', ('h', number), 'z', 1)
        target_table.add_or_update(entry, NOW)
    return RoutingState(target_table, PromptMemory(), ReadRateTable(), 'z')


def add_in_flight(routing_state, name, count):
    target = routing_state.target_table.by_id[name]
    for number in range(count):
        target.in_flight[number] = InFlight(NOW, NOW, 0, 0)


def test_no_target_gets_more_connections_than_its_limit(routing_state):
    """In a burst, targets reset connections beyond their limit."""
    query = Query(SERVICE, RequestTerms('r', 'h'))
    add_in_flight(routing_state, 't1', 2)
    assert pick(query, routing_state, NOW).target_id == 't2'
    add_in_flight(routing_state, 't2', 2)
    assert pick(query, routing_state, NOW) is UnavailableReason.TARGET


ENGINES = Service(
    's',
    max_connections=99,
    engine=EngineTerms(64, 240_000, 200, 8, 7.5, {}),
)
PARTS = (PromptPart('shared', 500), PromptPart('own', 300))


@pytest.fixture
def spread_routing_state():
    """Two engines in each of three data centres, all with the model."""
    target_table = TargetTable()
    for number in range(6):
        name = f't{number}'
        entry = TargetEntry(name, 's', ('h', number), f'z{number % 3}', 64)
        target_table.add_or_update(entry, NOW)
        target = target_table.by_id[name]
        target.report = TargetReport(name, NOW, frozenset(('m',)))
        target.last_received_at = NOW
    return target_table


@pytest.mark.parametrize('number', range(20))
@pytest.mark.parametrize('data_centre', ['z0', 'z1', 'z2'])
def test_prompts_stay_in_their_own_data_centre(
    spread_routing_state, data_centre, number
):
    """With copies everywhere, all requests were sent to one target."""
    routing_state = RoutingState(
        spread_routing_state, PromptMemory(), ReadRateTable(), data_centre
    )
    parts = (PromptPart(f'shared-{number}', 500), PromptPart('own', 300))
    terms = RequestTerms(
        'r', 'h', model='m', prompt_tokens=800, output_tokens=290, parts=parts
    )
    option = pick(Query(ENGINES, terms, 900), routing_state, NOW)
    assert option.is_local
    assert option.transferred_bytes == 900 + 290 * BYTES_PER_TOKEN


def test_adapter_requests_share_one_target_of_all_data_centres(
    spread_routing_state,
):
    """Adapter slots are few: one in each data centre is too many."""
    chosen = set()
    for data_centre in ('z0', 'z1', 'z2'):
        routing_state = RoutingState(
            spread_routing_state, PromptMemory(), ReadRateTable(), data_centre
        )
        terms = RequestTerms(
            'r', 'h', model='m', adapter='a', prompt_tokens=9000, parts=PARTS
        )
        query = Query(ENGINES, terms, body_bytes=9200)
        chosen.add(pick(query, routing_state, NOW).target_id)
    assert len(chosen) == 1
