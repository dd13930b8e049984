"""What targets say of themselves in their answers: leaving, and not now."""

import gevent
import pytest

from relay.world import DONE, FULL, PROOF, FakeTarget, World
from verbenamux_relay.catalog import RouteKind
from verbenamux_relay.targets import MAX_HOLD_OFF

LEAVING = b'Server-Leaving: 1\r\n'
DONE_LEAVING = DONE.replace(PROOF, PROOF + LEAVING)
FAILED_LEAVING = b'HTTP/1.1 500 No\r\n%b%bContent-Length: 3\r\n\r\nbad' % (
    PROOF,
    LEAVING,
)
FULL_LEAVING = FULL.replace(
    b'Not-Executed: 1\r\n', b'Not-Executed: 1\r\n' + LEAVING
)


def full_for(seconds):
    return FULL.replace(
        b'Not-Executed: 1\r\n',
        b'Not-Executed: 1\r\nRetry-After: %b\r\n' % seconds,
    )


def count_after_first(world, context, asks=4):
    world.ask(context=context)
    before = len(world.targets['t0'].requests)
    replies = [world.ask(context=context) for _ in range(asks)]
    return len(world.targets['t0'].requests) - before, replies


@pytest.mark.parametrize('answer', [DONE_LEAVING, FAILED_LEAVING, FULL_LEAVING])
def test_a_target_that_says_it_leaves_gets_nothing_more(answer):
    world = World(
        FakeTarget(answer, *[DONE] * 4), kind=RouteKind.NON_IDEMPOTENT
    )
    count, replies = count_after_first(world, world.context())
    assert count == 0
    assert {reply.status for reply in replies} == {503}


def test_a_target_that_turns_a_request_away_gets_nothing_until_its_time():
    """Issue 29: BUDGET; the refusal tells callers when to return."""
    world = World(FakeTarget(full_for(b'1'), *[DONE] * 4))
    context = world.context()
    count, replies = count_after_first(world, context)
    assert count == 0
    assert {reply.status for reply in replies} == {503}
    assert all(reply.headers.get('Retry-After') for reply in replies)
    gevent.sleep(1.05)
    assert world.ask(context=context).status == 200


@pytest.mark.parametrize(
    'odd', [b'', b'-5', b'soon', b'Wed, 21 Oct 2026 07:28:00 GMT', b'1e9']
)
def test_a_malformed_retry_after_holds_nothing_off(odd):
    world = World(FakeTarget(full_for(odd), *[DONE] * 4))
    count, _ = count_after_first(world, world.context(), asks=1)
    assert count == 1


def test_a_long_retry_after_is_bounded():
    world = World(FakeTarget(full_for(b'31536000')))
    world.ask()
    target = world.target_table.by_id['t0']
    assert target.held_off_until - world.clock.elapsed() <= MAX_HOLD_OFF
