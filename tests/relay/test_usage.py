"""Usage told in pieces: what a peer puts together is what was meant."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from verbenamux_relay.usage import Usage, UsageReader, UsageTeller

AMOUNTS = st.dictionaries(st.sampled_from('abc'), st.integers(0, 3))
USAGES = st.builds(
    Usage, spent=AMOUNTS, left=AMOUNTS, waiting=AMOUNTS, asked=AMOUNTS
)


def same(told, meant):
    """Tell whether two usages are the same but for zeros."""
    return all(
        {name: amount for name, amount in first.items() if amount}
        == {name: amount for name, amount in second.items() if amount}
        for first, second in (
            (told.spent, meant.spent),
            (told.waiting, meant.waiting),
            (told.asked, meant.asked),
        )
    )


def teller(instance='one'):
    return UsageTeller('gateway', instance)


@given(st.lists(st.tuples(USAGES, st.booleans())))
def test_whatever_is_lost_nothing_wrong_is_read(steps):
    """Notices get lost; the reader then asks for everything again."""
    sender, reader = teller(), UsageReader()
    for usage, is_lost in steps:
        notice = sender.notice(usage)
        if is_lost:
            continue
        known = reader.read(notice)
        if known is None:
            sender.forget()
            known = reader.read(sender.notice(usage))
        assert known is not None
        assert same(known, usage)


def test_only_what_changed_is_told():
    sender = teller()
    usage = Usage(spent={'w': 5.0, 'v': 1.0}, asked={'m': 3}, left={'w': 9.0})
    whole = sender.notice(usage)
    assert whole.whole
    assert whole.left == {'w': 9.0}
    later = sender.notice(replace(usage, spent={'w': 6.0, 'v': 1.0}))
    assert not later.whole
    assert (later.spent, later.asked, later.left) == ({'w': 6.0}, {}, {})


def test_a_piece_without_the_ones_before_is_not_read():
    sender = teller()
    sender.notice(Usage(spent={'w': 5.0}))
    assert UsageReader().read(sender.notice(Usage(spent={'w': 6.0}))) is None


def test_what_waits_no_more_counts_zero():
    sender, reader = teller(), UsageReader()
    reader.read(sender.notice(Usage(waiting={'m': 2})))
    known = reader.read(sender.notice(Usage()))
    assert known is not None
    assert known.waiting == {'m': 0}
