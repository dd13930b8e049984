"""A hypothesis state machine over gateways that trust keys.

The world checks two guarantees at each event: no gateway uses a withdrawn key
for longer than the bound, and a connected gateway refuses no key, whatever
fault the gateway that reads for it has.
"""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from trust.simulation import (
    FAULT_EFFECT_DURATION,
    MAX_WITHDRAWN_KEY_USE,
    MS,
    NETWORK_DELAY,
    SECOND,
    STORE,
    World,
)

NAMES = ('a', 'b', 'c')
names = st.sampled_from(NAMES)
# Delays that are no fault: some exceed the leader's delay before a read.
USUAL_DELAYS = (NETWORK_DELAY, 15 * MS, 60 * MS)
LONG_DELAYS = (250 * MS, 700 * MS, 1200 * MS)
STEPS = (40 * MS, 300 * MS, 950 * MS, 2 * SECOND)
FAULT_DURATIONS = (100 * MS, SECOND, 3 * SECOND, 6 * SECOND)


class TrustMachine(RuleBasedStateMachine):
    """Three gateways of a data centre, and their faults."""

    @initialize()
    def begin(self) -> None:
        self.world = World()
        for name in NAMES:
            self.world.start(name)

    def teardown(self) -> None:
        self.world.end()

    @rule(step=st.sampled_from(STEPS))
    def pass_time(self, step: timedelta) -> None:
        self.world.timeline.run_for(step)

    @rule()
    def pass_until_connected(self) -> None:
        self.world.timeline.run_for(FAULT_EFFECT_DURATION + SECOND)

    @rule(count=st.integers(1, 5))
    def withdraw(self, count: int) -> None:
        for _ in range(count):
            self.world.store.put()

    @rule(name=names, delay=st.sampled_from(USUAL_DELAYS))
    def slow_peer_link(self, name: str, delay: timedelta) -> None:
        """Requests and answers take longer, as on a busy host."""
        host = self.world.host_by_name.get(name)
        if host is not None:
            host.peer_delay = delay

    @rule(
        name=names,
        delay=st.sampled_from(LONG_DELAYS),
        duration=st.sampled_from(FAULT_DURATIONS),
    )
    def slow_store_link(
        self,
        name: str,
        delay: timedelta,
        duration: timedelta,
    ) -> None:
        self._apply_fault(name, duration, 'store_delay', delay, NETWORK_DELAY)

    @rule(name=names, duration=st.sampled_from(FAULT_DURATIONS))
    def cut_off(self, name: str, duration: timedelta) -> None:
        self._apply_fault(name, duration, 'is_cut_off', True, False)

    @rule(name=names, duration=st.sampled_from(FAULT_DURATIONS))
    def suspend(self, name: str, duration: timedelta) -> None:
        host = self.world.host_by_name.get(name)
        if host is not None and not host.is_suspended:
            self.world.record_fault(name, duration)
            host.suspend()
            self.world.timeline.after(duration, host.resume)

    @rule(name=names)
    def lose_answer(self, name: str) -> None:
        host = self.world.host_by_name.get(name)
        if host is not None and not host.answers_to_drop:
            host.answers_to_drop = 1
            self.world.record_fault(name, MAX_WITHDRAWN_KEY_USE)

    @rule(duration=st.sampled_from(FAULT_DURATIONS))
    def take_store_down(self, duration: timedelta) -> None:
        store = self.world.store
        if not store.is_down:
            self.world.record_fault(STORE, duration)
            store.is_down = True
            self.world.timeline.after(
                duration,
                lambda: setattr(store, 'is_down', False),
            )

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.world.kill(name)

    @rule(name=names)
    def start(self, name: str) -> None:
        self.world.start(name)

    def _apply_fault(
        self,
        name: str,
        duration: timedelta,
        field: str,
        during: object,
        after: object,
    ) -> None:
        """Change a gateway for a duration, unless it is changed already."""
        host = self.world.host_by_name.get(name)
        if host is None or getattr(host, field) != after:
            return
        self.world.record_fault(name, duration)
        setattr(host, field, during)
        self.world.timeline.after(
            duration,
            lambda: setattr(host, field, after),
        )
