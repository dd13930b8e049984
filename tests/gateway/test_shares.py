"""A holder's lease while witnesses are slow, silent or gone."""

from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace

import gevent
import pytest

from verbenamux_admission.lease import HolderLease
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import LeaseAsk, LeasePromise
from verbenamux_gateway.shares import ASK_TIMEOUT, ShareKeeper

LEASE = timedelta(seconds=3)
WITNESSES = ('w-0', 'w-1', 'w-2', 'w-3')
NEVER = timedelta(hours=1)
LATE = ASK_TIMEOUT + timedelta(milliseconds=200)


class SlowWitnesses:
    """Links to witnesses that promise after a while, each its own."""

    def __init__(self, **delay_by_witness: timedelta) -> None:
        self.delay_by_witness = delay_by_witness

    def link_to(self, address: str) -> SimpleNamespace:
        return SimpleNamespace(ask=self._asker(address))

    def _asker(self, witness: str) -> Callable[..., LeasePromise | None]:
        name = witness.replace('-', '_')
        delay = self.delay_by_witness.get(name, timedelta())

        def ask(
            ask_id: str,
            message: LeaseAsk,
            timeout: timedelta,
        ) -> LeasePromise | None:
            gevent.sleep(min(delay, timeout).total_seconds())
            if delay > timeout:
                return None
            return LeasePromise(
                ask_id, witness, InstanceId(f'{witness}/1'), granted=True
            )

        return ask


def keeper(clock: ManualClock, witnesses: SlowWitnesses) -> ShareKeeper:
    lease = HolderLease(WITNESSES, current_instance='{}/1'.format)
    escrow = SimpleNamespace(holder='h', lease=lease)
    return ShareKeeper(
        'g',
        InstanceId('g-1'),
        clock,
        None,
        witnesses,
        None,
        SimpleNamespace(escrow=escrow),
        LEASE,
        lambda *_, **__: None,
    )


def renew_for(made: ShareKeeper, spell: timedelta) -> None:
    """Let renewals and their promises go on for a spell."""
    renewal = gevent.spawn(made.renew, list(WITNESSES))
    gevent.sleep(spell.total_seconds())
    assert renewal.ready()


def test_promise_that_comes_late_counts_from_when_it_was_asked_for(
    clock: ManualClock,
) -> None:
    late = dict.fromkeys(('w_0', 'w_1', 'w_2', 'w_3'), LATE)
    made = keeper(clock, SlowWitnesses(**late))
    renew_for(made, LATE + timedelta(milliseconds=200))
    clock.advance(LEASE - timedelta(milliseconds=1))
    assert made.escrow.lease.is_valid(clock.elapsed())
    clock.advance(timedelta(milliseconds=1))
    assert not made.escrow.lease.is_valid(clock.elapsed())


def test_silent_witness_holds_up_no_renewal(clock: ManualClock) -> None:
    made = keeper(clock, SlowWitnesses(w_0=NEVER))
    renew_for(made, ASK_TIMEOUT / 2)
    assert made.renewed_at == clock.elapsed()
    assert made.escrow.lease.is_valid(clock.elapsed())


@pytest.mark.parametrize('gone', [('w_0', 'w_1'), ('w_0', 'w_1', 'w_2')])
def test_renewal_without_a_majority_ends_in_time(
    clock: ManualClock,
    gone: tuple[str, ...],
) -> None:
    made = keeper(clock, SlowWitnesses(**dict.fromkeys(gone, NEVER)))
    renew_for(made, ASK_TIMEOUT + timedelta(milliseconds=200))
    assert not made.escrow.lease.is_valid(clock.elapsed())
