"""State of targets that share an address or restarted."""

from dataclasses import replace
from datetime import timedelta

import pytest

from verbenamux_relay.target_selection import is_serving
from verbenamux_relay.targets import (
    RELISTED_COOLDOWN,
    REPLACED_COOLDOWN,
    SUSPECT_TIMEOUT,
    InFlight,
    Target,
    TargetEntry,
    TargetReport,
    TargetTable,
)
from verbenamux_relay.terms import LoadNotice

NOW = timedelta(seconds=100)
ADDRESS = ('10.0.0.1', 80)


def entry(name, started_ms, address=ADDRESS):
    return TargetEntry(name, 's', address, 'z', 8, started_ms=started_ms)


def serving(target_table, now=NOW):
    return {
        target.entry.target_id
        for target in target_table.by_id.values()
        if is_serving(target, now)
    }


@pytest.mark.parametrize('order', [('old', 'new'), ('new', 'old')])
def test_of_two_targets_at_one_address_the_newest_serves(order):
    """All engines restarted; the registry still lists the previous ones."""
    target_table = TargetTable()
    started = {'old': 1000, 'new': 2000}
    for name in order:
        target_table.add_or_update(entry(name, started[name]), NOW)
    assert serving(target_table) == {'new'}


@pytest.mark.parametrize(
    'second',
    [entry('b', 0), entry('b', 2000, ('10.0.0.2', 80))],
)
def test_without_a_start_or_at_another_address_both_serve(second):
    target_table = TargetTable()
    target_table.add_or_update(entry('a', 1000), NOW)
    target_table.add_or_update(second, NOW)
    assert serving(target_table) == {'a', 'b'}


def test_a_replaced_target_serves_again_after_restart_or_cooldown():
    target_table = TargetTable()
    target_table.add_or_update(entry('a', 1000), NOW)
    target_table.by_id['a'].record_replaced(NOW)
    assert not serving(target_table)
    target_table.add_or_update(entry('a', 1000), NOW)
    assert not serving(target_table)
    assert serving(target_table, NOW + REPLACED_COOLDOWN) == {'a'}
    target_table.add_or_update(entry('a', 3000), NOW)
    assert serving(target_table) == {'a'}


def test_a_keeper_report_takes_precedence_over_answer_load():
    """In a burst each gateway sees only its own share of the requests.

    Load notices in answers count prompts still being read as running.
    """
    target = Target(entry('a', 1000))
    target.report = TargetReport('a', NOW, unstarted=4, active=9)
    target.load = LoadNotice(9, 0, 64)
    target.load_at = NOW + timedelta(milliseconds=100)
    assert target.waiting(target.load_at) == 4
    later = NOW + timedelta(seconds=2)
    target.load_at = later
    assert target.waiting(later) == 0


def test_a_target_is_suspect_when_nothing_is_received_in_time():
    """inc-ccbf: the target answered others just after a send, then crashed."""
    target = Target(entry('a', 1000))
    target.in_flight[1] = InFlight(NOW, NOW, 100, 100)
    last_received_at = NOW + SUSPECT_TIMEOUT / 9
    target.last_received_at = last_received_at
    assert not target.is_suspect(last_received_at + SUSPECT_TIMEOUT)
    assert target.is_suspect(last_received_at + SUSPECT_TIMEOUT * 1.1)
    target.in_flight.clear()
    assert not target.is_suspect(last_received_at + SUSPECT_TIMEOUT * 2)


def test_a_targets_own_word_ends_with_its_lifetime():
    table = TargetTable()
    old = TargetEntry('t', 's', ('127.0.0.1', 1), 'here', 8, started_ms=1)
    table.add_or_update(old, timedelta())
    target = table.by_id['t']
    target.has_said_leaving = True
    target.hold_off(timedelta(), timedelta(seconds=9))
    table.add_or_update(old, timedelta())
    assert target.has_said_leaving
    table.add_or_update(replace(old, started_ms=2), timedelta())
    assert not target.has_said_leaving
    assert not target.held_off_until


def saying(started_ms):
    """Return a table with a target that leaves and holds off for 30 s."""
    table = TargetTable()
    table.add_or_update(entry('a', started_ms), NOW)
    table.by_id['a'].has_said_leaving = True
    table.by_id['a'].hold_off(NOW, timedelta(seconds=30))
    return table


def own_word(table):
    target = table.by_id['a']
    return target.has_said_leaving, target.held_off_until > NOW


@pytest.mark.parametrize('starts', [(0, 1000), (1000, 0, 1000), (1000, 500)])
def test_a_hold_ends_when_the_start_becomes_known(starts):
    """BUDGET of incident-47: an entry without a start came in between."""
    table = saying(starts[0])
    for started_ms in starts[1:]:
        table.add_or_update(entry('a', started_ms), NOW)
    assert own_word(table) == (True, True)


@pytest.mark.parametrize('started_ms', [0, 1000])
def test_a_hold_ends_while_the_entry_is_away(started_ms):
    """BUDGET of incident-47: a lapsed entry is forgotten before its hold."""
    table = saying(1000)
    table.forget('a')
    table.add_or_update(entry('a', started_ms), NOW)
    assert own_word(table) == (True, True)


def test_a_restart_ends_a_hold_though_the_entry_was_away():
    table = saying(1000)
    table.add_or_update(entry('a', 0), NOW)
    table.forget('a')
    table.add_or_update(entry('a', 2000), NOW)
    assert own_word(table) == (False, False)


def test_a_target_that_leaves_goes_on_leaving_in_an_older_list():
    """The store came back from a copy in which it was ready."""
    target_table = TargetTable()
    target_table.add_or_update(entry('a', 1000), NOW)
    target_table.add_or_update(replace(entry('a', 1000), is_draining=True), NOW)
    target_table.add_or_update(entry('a', 1000), NOW)
    assert not serving(target_table)
    target_table.add_or_update(entry('a', 2000), NOW)
    assert serving(target_table) == {'a'}


def test_a_target_that_left_rests_when_an_older_list_has_it_again():
    target_table = TargetTable()
    target_table.add_or_update(entry('a', 1000), NOW)
    assert not target_table.has_left('a')
    target_table.mark_removed('a', NOW, NOW)
    assert target_table.has_left('a')
    target_table.add_or_update(entry('a', 1000), NOW)
    target_table.by_id['a'].record_relisted(NOW)
    assert not serving(target_table)
    assert serving(target_table, NOW + RELISTED_COOLDOWN) == {'a'}
