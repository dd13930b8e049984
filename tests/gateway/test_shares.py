"""A holder's lease while witnesses are slow or unresponsive."""

from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace

import gevent
import pytest

from verbenamux_admission.lease import HolderLease
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import LeaseAsk, LeasePromise
from verbenamux_gateway.shares import WITNESS_TIMEOUT, ShareManager

LEASE = timedelta(seconds=3)
WITNESSES = ('w-0', 'w-1', 'w-2', 'w-3')
NEVER = timedelta(hours=1)
LATE = WITNESS_TIMEOUT + timedelta(milliseconds=200)


class SlowWitnesses:
    """Links to witnesses that each promise after their own delay."""

    def __init__(self, **delay_by_witness: timedelta) -> None:
        self.delay_by_witness = delay_by_witness

    def link_to(self, address: str) -> SimpleNamespace:
        return SimpleNamespace(ask=self._make_ask(address))

    def _make_ask(self, witness: str) -> Callable[..., LeasePromise | None]:
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


def make_manager(clock: ManualClock, witnesses: SlowWitnesses) -> ShareManager:
    lease = HolderLease(WITNESSES, current_instance='{}/1'.format)
    escrow = SimpleNamespace(holder='h', lease=lease)
    return ShareManager(
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


def run_renewal(manager: ShareManager, duration: timedelta) -> None:
    """Run a renewal and its promises for a duration."""
    renewal = gevent.spawn(manager.renew, list(WITNESSES))
    gevent.sleep(duration.total_seconds())
    assert renewal.ready()


def test_late_promise_counts_from_when_it_was_requested(
    clock: ManualClock,
) -> None:
    late = dict.fromkeys(('w_0', 'w_1', 'w_2', 'w_3'), LATE)
    manager = make_manager(clock, SlowWitnesses(**late))
    run_renewal(manager, LATE + timedelta(milliseconds=200))
    clock.advance(LEASE - timedelta(milliseconds=1))
    assert manager.escrow.lease.is_valid(clock.elapsed())
    clock.advance(timedelta(milliseconds=1))
    assert not manager.escrow.lease.is_valid(clock.elapsed())


def test_unresponsive_witness_delays_no_renewal(clock: ManualClock) -> None:
    manager = make_manager(clock, SlowWitnesses(w_0=NEVER))
    run_renewal(manager, WITNESS_TIMEOUT / 2)
    assert manager.renewed_at == clock.elapsed()
    assert manager.escrow.lease.is_valid(clock.elapsed())


@pytest.mark.parametrize(
    'unresponsive', [('w_0', 'w_1'), ('w_0', 'w_1', 'w_2')]
)
def test_renewal_without_a_majority_ends_in_time(
    clock: ManualClock,
    unresponsive: tuple[str, ...],
) -> None:
    manager = make_manager(
        clock, SlowWitnesses(**dict.fromkeys(unresponsive, NEVER))
    )
    run_renewal(manager, WITNESS_TIMEOUT + timedelta(milliseconds=200))
    assert not manager.escrow.lease.is_valid(clock.elapsed())
