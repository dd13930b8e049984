"""Which targets come into question for a request."""

from datetime import timedelta

import pytest

from verbenamux_relay.catalog import Service
from verbenamux_relay.picking import Beliefs, Lack, PaceBook, Query, pick
from verbenamux_relay.prompts import PromptMemory
from verbenamux_relay.targets import InFlight, TargetBook, TargetEntry
from verbenamux_relay.terms import RequestTerms

NOW = timedelta(seconds=100)
SERVICE = Service('s', connections_most=2)


@pytest.fixture
def beliefs():
    book = TargetBook()
    for number in (1, 2):
        entry = TargetEntry(f't{number}', 's', ('h', number), 'z', 1)
        book.put(entry, NOW)
    return Beliefs(book, PromptMemory(), PaceBook(), 'z')


def fill(beliefs, name, count):
    target = beliefs.book.by_id[name]
    for number in range(count):
        target.in_flight[number] = InFlight(NOW, NOW, 0, 0)


def test_no_target_gets_more_connections_than_it_takes(beliefs):
    """A burst on a service whose targets reset what is beyond their limit."""
    query = Query(SERVICE, RequestTerms('r', 'h'))
    fill(beliefs, 't1', 2)
    assert pick(query, beliefs, NOW).target_id == 't2'
    fill(beliefs, 't2', 2)
    assert pick(query, beliefs, NOW) is Lack.TARGET
