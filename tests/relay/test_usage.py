"""Incremental usage notices: the reassembled usage equals the sent one."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from verbenamux_relay.usage import Usage, UsageReader, UsageReporter

AMOUNTS = st.dictionaries(st.sampled_from('abc'), st.integers(0, 3))
USAGES = st.builds(
    Usage, spent=AMOUNTS, left=AMOUNTS, waiting=AMOUNTS, asked=AMOUNTS
)


def same(actual, expected):
    """Return whether two usages are equal except for zeros."""
    return all(
        {name: amount for name, amount in first.items() if amount}
        == {name: amount for name, amount in second.items() if amount}
        for first, second in (
            (actual.spent, expected.spent),
            (actual.waiting, expected.waiting),
            (actual.asked, expected.asked),
        )
    )


def reporter(instance='one'):
    return UsageReporter('gateway', instance)


@given(st.lists(st.tuples(USAGES, st.booleans())))
def test_lost_notices_never_give_a_wrong_usage(steps):
    """After a lost notice the reader requests the whole usage again."""
    sender, reader = reporter(), UsageReader()
    for usage, is_lost in steps:
        notice = sender.notice(usage)
        if is_lost:
            continue
        received = reader.read(notice)
        if received is None:
            sender.forget()
            received = reader.read(sender.notice(usage))
        assert received is not None
        assert same(received, usage)


def test_a_notice_holds_only_changes():
    sender = reporter()
    usage = Usage(spent={'w': 5.0, 'v': 1.0}, asked={'m': 3}, left={'w': 9.0})
    whole = sender.notice(usage)
    assert whole.whole
    assert whole.left == {'w': 9.0}
    later = sender.notice(replace(usage, spent={'w': 6.0, 'v': 1.0}))
    assert not later.whole
    assert (later.spent, later.asked, later.left) == ({'w': 6.0}, {}, {})


def test_a_notice_after_a_lost_one_is_not_read():
    sender = reporter()
    sender.notice(Usage(spent={'w': 5.0}))
    assert UsageReader().read(sender.notice(Usage(spent={'w': 6.0}))) is None


def test_models_no_longer_waiting_count_zero():
    sender, reader = reporter(), UsageReader()
    reader.read(sender.notice(Usage(waiting={'m': 2})))
    received = reader.read(sender.notice(Usage()))
    assert received is not None
    assert received.waiting == {'m': 0}
