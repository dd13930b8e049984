"""Spending through the escrow gate and the fixed gate."""

from datetime import timedelta

import pytest

from verbenamux_admission import unit_table as records
from verbenamux_admission.escrow import Escrow, Limits
from verbenamux_admission.lease import HolderLease
from verbenamux_contracts.clock import ManualClock
from verbenamux_contracts.errors import ErrorCode
from verbenamux_gateway.peering import PeerTable
from verbenamux_gateway.rates import EscrowGate, FixedGate, SpendMeter

LIMITS = Limits(rate=10, burst=100)
LEASE = timedelta(seconds=10)


def make_gate(clock: ManualClock, *, leased: bool = True) -> EscrowGate:
    escrow = Escrow('', clock, lambda _: LIMITS, HolderLease())
    escrow.fold(
        0,
        map(
            records.encode_share_record,
            [
                records.WitnessStart('w', 'i'),
                records.HolderStart('a', ('w',)),
            ],
        ),
    )
    lease = HolderLease(
        ('w',),
        current_instance=escrow.unit_table.instance_by_witness.get,
    )
    if leased:
        lease.renew('w', 'i', clock.elapsed(), LEASE)
    escrow.rename('a', lease)
    peers = PeerTable('a', 'a-1', clock, lambda *_: None)
    return EscrowGate(escrow, peers, clock, lambda _: LIMITS, SpendMeter(clock))


def claim(gate: EscrowGate) -> None:
    record = records.ClaimUnits('a', ('opera',))
    offset = gate.escrow.unit_table.through_offset
    gate.escrow.fold(offset, [records.encode_share_record(record)])


def test_holder_of_all_units_spends_the_burst_and_then_the_rate(
    clock: ManualClock,
) -> None:
    gate = make_gate(clock)
    claim(gate)
    assert gate.admit('opera', 100) is None
    refused = gate.admit('opera', 20)
    assert refused is not None
    assert refused.code is ErrorCode.RATE_EXCEEDED
    assert refused.retry_after == timedelta(seconds=2)
    clock.advance(refused.retry_after)
    assert gate.admit('opera', 20) is None


def test_unused_tokens_are_returned(clock: ManualClock) -> None:
    gate = make_gate(clock)
    claim(gate)
    assert gate.admit('opera', 100) is None
    gate.record_usage('opera', 100, 40)
    assert gate.admit('opera', 60) is None


def test_unclaimed_workspace_is_waited_for(
    clock: ManualClock,
) -> None:
    gate = make_gate(clock)
    before = clock.elapsed()
    assert gate.admit('opera', 1) is not None
    assert clock.elapsed() > before


def test_gateway_without_a_lease_refuses_with_no_lease(
    clock: ManualClock,
) -> None:
    gate = make_gate(clock, leased=False)
    claim(gate)
    refused = gate.admit('opera', 1)
    assert refused is not None
    assert refused.code is ErrorCode.NO_LEASE


@pytest.mark.parametrize('tokens', [101, 10_000])
def test_request_over_the_burst_can_never_run(
    clock: ManualClock,
    tokens: int,
) -> None:
    gate = make_gate(clock)
    refused = gate.admit('opera', tokens)
    assert refused is not None
    assert refused.code is ErrorCode.REQUEST_OVER_BURST


def test_fixed_gate_limits_a_gateway_to_its_share(clock: ManualClock) -> None:
    gate = FixedGate(2, clock, lambda _: LIMITS)
    assert gate.admit('opera', 50) is None
    assert gate.admit('opera', 1) is not None
    clock.advance(timedelta(seconds=1))
    assert gate.admit('opera', 5) is None
    assert gate.admit('opera', 1) is not None
