"""Findings in journal entries, and that each is documented on a page."""

import json
from pathlib import Path

import pytest

from verbenamux_harness.findings import (
    Finding,
    JournalEntryError,
    find_undocumented,
    read_findings,
)

ROOT = Path(__file__).parents[2]
PAGES = (ROOT / 'KNOWN-RED.txt', *sorted((ROOT / 'docs').rglob('*.md')))
COMMANDS = ('run', 'hunt', 'incident', 'replay', 'score')
CLEAN_DAY = {'name': 'quiet-1', 'rules': {}, 'fault': None}
LOST_DAY = {'name': 'trouble-2', 'rules': {'LOST': 2}, 'fault': None}
LOST_OBSERVATION = 'rules {"LOST":2}'


def write_entry(journal, entry_id, *days, command='run', **fields):
    entry = {'id': entry_id, 'cmd': command, 'site': 'huts', 'days': days}
    path = journal / f'{entry_id}.json'
    path.write_text(json.dumps(entry | fields))


def test_every_finding_of_the_journal_is_named_on_a_page():
    """Each rule violation and fault is on a page or in KNOWN-RED.txt."""
    missing = find_undocumented(read_findings(ROOT / 'journal'), PAGES)
    lines = '\n'.join(map(str, missing))
    assert not missing, f'neither in docs/ nor in KNOWN-RED.txt:\n{lines}'


@pytest.mark.parametrize('command', COMMANDS)
def test_a_broken_rule_is_found_whatever_the_command(tmp_path, command):
    write_entry(tmp_path, 'aaaa1111', CLEAN_DAY, LOST_DAY, command=command)
    assert list(read_findings(tmp_path)) == [
        Finding('aaaa1111', command, 'huts', 'trouble-2', LOST_OBSERVATION),
    ]


def test_a_fault_is_found(tmp_path):
    write_entry(
        tmp_path, 'aaaa1111', CLEAN_DAY | {'fault': 'a process was killed'}
    )
    (found,) = read_findings(tmp_path)
    assert str(found) == (
        'aaaa1111 (run of huts), quiet-1: fault a process was killed'
    )


def test_each_rule_and_fault_of_each_day_is_found(tmp_path):
    write_entry(
        tmp_path, 'aaaa1111', LOST_DAY, LOST_DAY | {'fault': {'code': 132}}
    )
    write_entry(tmp_path, 'bbbb2222', LOST_DAY)
    assert [
        (finding.entry_id, finding.observation)
        for finding in read_findings(tmp_path)
    ] == [
        ('aaaa1111', LOST_OBSERVATION),
        ('aaaa1111', LOST_OBSERVATION),
        ('aaaa1111', 'fault {"code":132}'),
        ('bbbb2222', LOST_OBSERVATION),
    ]


def test_a_nested_finding_belongs_to_its_day(tmp_path):
    played = {'again': [[{'rules': {'DRAIN': 1}}]]}
    write_entry(tmp_path, 'aaaa1111', CLEAN_DAY | played, fault='no bench')
    assert [
        (finding.day, finding.observation)
        for finding in read_findings(tmp_path)
    ] == [
        ('no day named', 'fault no bench'),
        ('quiet-1', 'rules {"DRAIN":1}'),
    ]


def test_an_entry_without_findings_yields_none(tmp_path):
    write_entry(tmp_path, 'aaaa1111', CLEAN_DAY)
    write_entry(tmp_path, 'bbbb2222', ok=False, error='the run did not finish')
    assert not list(read_findings(tmp_path))


def test_only_findings_that_no_page_names_are_missing(tmp_path):
    write_entry(tmp_path, 'aaaa1111', LOST_DAY)
    write_entry(tmp_path, 'bbbb2222' + '0' * 24, LOST_DAY)
    write_entry(tmp_path, 'cccc3333', LOST_DAY)
    pages = (tmp_path / 'one.md', tmp_path / 'two.md')
    pages[0].write_text('- bbbb2222, run of huts: traced')
    pages[1].write_text('aaaa111 is another; trouble-2 had LOST.')
    missing = find_undocumented(read_findings(tmp_path), pages)
    assert [finding.entry_id for finding in missing] == ['aaaa1111', 'cccc3333']


@pytest.mark.parametrize(
    ('text', 'cause'),
    [
        ('{"id": "aaaa1111", "days": [', 'truncated'),
        ('', 'truncated'),
        ('[]', 'not an object'),
        ('{"cmd": "run"}', 'no id'),
        ('{"id": ""}', 'no id'),
        ('{"id": 5}', 'no id'),
    ],
)
def test_a_malformed_file_is_an_error_that_names_it(tmp_path, text, cause):
    write_entry(tmp_path, 'aaaa1111', CLEAN_DAY)
    (tmp_path / 'broken.json').write_text(text)
    with pytest.raises(JournalEntryError, match=f'broken.json.*{cause}'):
        list(read_findings(tmp_path))


def test_a_journal_without_entries_is_an_error(tmp_path):
    with pytest.raises(JournalEntryError, match='no entries'):
        list(read_findings(tmp_path))
