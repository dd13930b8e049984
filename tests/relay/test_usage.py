"""Usage told in pieces: what a peer puts together is what was meant."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from verbenamux_relay.usage import Usage, UsageReader, UsageReporter

AMOUNTS = st.dictionaries(st.sampled_from('abc'), st.integers(0, 3))
USAGES = st.builds(
    Usage, spent=AMOUNTS, left=AMOUNTS, waiting=AMOUNTS, asked=AMOUNTS
)


def same(actual, expected):
    """Tell whether two usages are the same but for zeros."""
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
def test_whatever_is_lost_nothing_wrong_is_read(steps):
    """Notices get lost; the reader then asks for everything again."""
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


def test_only_what_changed_is_told():
    sender = reporter()
    usage = Usage(spent={'w': 5.0, 'v': 1.0}, asked={'m': 3}, left={'w': 9.0})
    whole = sender.notice(usage)
    assert whole.whole
    assert whole.left == {'w': 9.0}
    later = sender.notice(replace(usage, spent={'w': 6.0, 'v': 1.0}))
    assert not later.whole
    assert (later.spent, later.asked, later.left) == ({'w': 6.0}, {}, {})


def test_a_piece_without_the_ones_before_is_not_read():
    sender = reporter()
    sender.notice(Usage(spent={'w': 5.0}))
    assert UsageReader().read(sender.notice(Usage(spent={'w': 6.0}))) is None


def test_what_waits_no_more_counts_zero():
    sender, reader = reporter(), UsageReader()
    reader.read(sender.notice(Usage(waiting={'m': 2})))
    received = reader.read(sender.notice(Usage()))
    assert received is not None
    assert received.waiting == {'m': 0}
