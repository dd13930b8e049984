"""Log lines are bounded, and a slow reader does not block the process."""

import json
import os
import time

import pytest

from verbenamux_runtime.logs import LineRing


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read(reader):
    return os.read(reader, 1_000_000).decode().splitlines()


def test_lines_are_written_whole_and_notable_ones_first(pipe):
    ring = LineRing(pipe[1])
    ring.put(b'routine\n', True)
    ring.put(b'notable\n', False)
    ring.flush()
    assert read(pipe[0]) == ['notable', 'routine']


def test_a_full_ring_drops_routine_lines_and_counts_them(pipe):
    ring = LineRing(pipe[1], 3)
    ring.put(b'bad\n', False)
    for _ in range(5):
        ring.put(b'good\n', True)
    ring.flush()
    lines = read(pipe[0])
    assert lines[:3] == ['bad', 'good', 'good']
    assert json.loads(lines[3])['by_kind'] == {'routine': 3}


def test_a_reader_that_stalls_blocks_nothing(pipe):
    ring = LineRing(pipe[1], 1000)
    line = b'x' * 999 + b'\n'
    started = time.monotonic()
    for _ in range(20):
        for _ in range(100):
            ring.put(line, True)
        ring.flush()
    assert time.monotonic() - started < 1
    assert ring.dropped['routine'] > 0


def test_lines_stay_whole_and_in_order_when_the_reader_returns(pipe):
    ring = LineRing(pipe[1], 1000)
    for number in range(300):
        ring.put(b'%d%s\n' % (number, b'x' * 997), True)
    lines = []
    partial = b''
    while len(lines) < 300:
        ring.flush()
        *complete, partial = (partial + os.read(pipe[0], 30_000)).split(b'\n')
        lines.extend(complete)
    assert [int(line.rstrip(b'x')) for line in lines] == list(range(300))
