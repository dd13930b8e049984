"""Which targets qualify for a request."""

from datetime import timedelta

import pytest

from verbenamux_relay.catalog import EngineTerms, Service
from verbenamux_relay.picking import (
    BYTES_PER_TOKEN,
    Beliefs,
    PaceBook,
    Query,
    UnavailableReason,
    pick,
)
from verbenamux_relay.prompts import PromptMemory
from verbenamux_relay.targets import (
    InFlight,
    TargetBook,
    TargetEntry,
    TargetReport,
)
from verbenamux_relay.terms import PromptPart, RequestTerms

NOW = timedelta(seconds=100)
SERVICE = Service('s', connections_most=2)


@pytest.fixture
def beliefs():
    book = TargetBook()
    for number in (1, 2):
        entry = TargetEntry(f't{number}', 's', ('h', number), 'z', 1)
        book.put(entry, NOW)
    return Beliefs(book, PromptMemory(), PaceBook(), 'z')


def add_in_flight(beliefs, name, count):
    target = beliefs.book.by_id[name]
    for number in range(count):
        target.in_flight[number] = InFlight(NOW, NOW, 0, 0)


def test_no_target_gets_more_connections_than_its_limit(beliefs):
    """In a burst, targets reset connections beyond their limit."""
    query = Query(SERVICE, RequestTerms('r', 'h'))
    add_in_flight(beliefs, 't1', 2)
    assert pick(query, beliefs, NOW).target_id == 't2'
    add_in_flight(beliefs, 't2', 2)
    assert pick(query, beliefs, NOW) is UnavailableReason.TARGET


ENGINES = Service(
    's',
    connections_most=99,
    engine=EngineTerms(64, 240_000, 200, 8, 7.5, {}),
)
PARTS = (PromptPart('shared', 500), PromptPart('own', 300))


@pytest.fixture
def spread_beliefs():
    """Two engines in each of three data centres, all with the model."""
    book = TargetBook()
    for number in range(6):
        name = f't{number}'
        entry = TargetEntry(name, 's', ('h', number), f'z{number % 3}', 64)
        book.put(entry, NOW)
        target = book.by_id[name]
        target.report = TargetReport(name, NOW, frozenset(('m',)))
        target.heard_at = NOW
    return book


@pytest.mark.parametrize('number', range(20))
@pytest.mark.parametrize('data_centre', ['z0', 'z1', 'z2'])
def test_prompts_stay_in_their_own_data_centre(
    spread_beliefs, data_centre, number
):
    """With copies everywhere, all requests were sent to one target."""
    beliefs = Beliefs(spread_beliefs, PromptMemory(), PaceBook(), data_centre)
    parts = (PromptPart(f'shared-{number}', 500), PromptPart('own', 300))
    terms = RequestTerms(
        'r', 'h', model='m', prompt_tokens=800, output_tokens=290, parts=parts
    )
    option = pick(Query(ENGINES, terms, 900), beliefs, NOW)
    assert option.is_local
    assert option.transferred_bytes == 900 + 290 * BYTES_PER_TOKEN


def test_adapter_requests_share_one_target_of_all_data_centres(spread_beliefs):
    """Adapter slots are few: one in each data centre is too many."""
    chosen = set()
    for data_centre in ('z0', 'z1', 'z2'):
        beliefs = Beliefs(
            spread_beliefs, PromptMemory(), PaceBook(), data_centre
        )
        terms = RequestTerms(
            'r', 'h', model='m', adapter='a', prompt_tokens=9000, parts=PARTS
        )
        query = Query(ENGINES, terms, body_bytes=9200)
        chosen.add(pick(query, beliefs, NOW).target_id)
    assert len(chosen) == 1
