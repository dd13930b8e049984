"""Answers that a target breaks off, by a close that may look like an end."""

import pytest

from relay.world import DONE, PROOF, FakeTarget, World, event
from verbenamux_relay.catalog import RouteKind

# An answer with neither a length nor chunks ends with its connection.
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\n%b\r\n' % PROOF
EVENT = b'id: 1\ndata: x\n\n'


def ask_for_a_stream(*pieces):
    world = World(
        FakeTarget([*pieces, None]),
        kind=RouteKind.STREAMING,
        is_resumable=False,
        max_attempts=1,
    )
    return world.ask()


def test_an_unframed_stream_that_ends_behind_an_event_is_complete():
    reply = ask_for_a_stream(UNFRAMED_HEAD, EVENT)
    assert reply.is_complete
    assert reply.body == EVENT


def test_blank_lines_behind_the_last_event_are_no_cut():
    reply = ask_for_a_stream(UNFRAMED_HEAD, EVENT, b'\n\r\n')
    assert reply.is_complete
    assert reply.body == EVENT + b'\n\r\n'


def test_an_unframed_stream_that_ends_inside_an_event_is_broken_off():
    """Issue 28: it reached the caller as a complete stream."""
    reply = ask_for_a_stream(UNFRAMED_HEAD, EVENT, b'id: 2\nda')
    assert not reply.is_complete
    assert reply.body == EVENT


def test_an_unframed_stream_that_ends_before_its_first_event_is_no_answer():
    reply = ask_for_a_stream(UNFRAMED_HEAD)
    assert reply.status == 502


def test_a_framed_stream_that_ends_inside_an_event_is_broken_off():
    cut = b'8\r\nid: 2\nda\r\n0\r\n\r\n'
    head = UNFRAMED_HEAD[:-2] + b'Transfer-Encoding: chunked\r\n\r\n'
    reply = ask_for_a_stream(head, event(1), cut)
    assert not reply.is_complete
    assert reply.body == EVENT


@pytest.mark.parametrize('kind', list(RouteKind))
def test_an_answer_whose_head_is_cut_is_no_success(kind):
    """Other operators: a 200 with an empty body, framed as whole."""
    head_length = DONE.index(b'done')
    for end in range(head_length):
        world = World(FakeTarget([DONE[:end], None]), kind=kind, max_attempts=1)
        assert world.ask().status == 502, DONE[:end]
