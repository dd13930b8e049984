"""A hypothesis state machine over gateways that trust keys.

The world checks both promises at each moment at which anything happens: a
withdrawn key is used no longer than the bound anywhere, and a gateway in touch
refuses no key, whatever befalls the gateway that reads for it.
"""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from trust.simulating import MEMORY, MS, REVOKE, SECOND, STORE, WAY, World

NAMES = ('a', 'b', 'c')
names = st.sampled_from(NAMES)
# Ways that are no trouble: some longer than the lead's pause before a read.
CALM_WAYS = (WAY, 15 * MS, 60 * MS)
BAD_WAYS = (250 * MS, 700 * MS, 1200 * MS)
STEPS = (40 * MS, 300 * MS, 950 * MS, 2 * SECOND)
TROUBLES = (100 * MS, SECOND, 3 * SECOND, 6 * SECOND)


class TrustMachine(RuleBasedStateMachine):
    """Three gateways of a data centre, and what befalls them."""

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
    def pass_until_in_touch(self) -> None:
        self.world.timeline.run_for(MEMORY + SECOND)

    @rule(count=st.integers(1, 5))
    def withdraw(self, count: int) -> None:
        for _ in range(count):
            self.world.store.put()

    @rule(name=names, way=st.sampled_from(CALM_WAYS))
    def move_apart(self, name: str, way: timedelta) -> None:
        """Asks and answers take longer, as on a busy host."""
        host = self.world.host_by_name.get(name)
        if host is not None:
            host.peer_way = way

    @rule(
        name=names,
        way=st.sampled_from(BAD_WAYS),
        duration=st.sampled_from(TROUBLES),
    )
    def slow_store_way(
        self,
        name: str,
        way: timedelta,
        duration: timedelta,
    ) -> None:
        self._trouble(name, duration, 'store_way', way, WAY)

    @rule(name=names, duration=st.sampled_from(TROUBLES))
    def cut_off(self, name: str, duration: timedelta) -> None:
        self._trouble(name, duration, 'is_cut_off', True, False)

    @rule(name=names, duration=st.sampled_from(TROUBLES))
    def freeze(self, name: str, duration: timedelta) -> None:
        host = self.world.host_by_name.get(name)
        if host is not None and not host.is_frozen:
            self.world.touch(name, duration)
            host.freeze()
            self.world.timeline.after(duration, host.thaw)

    @rule(name=names)
    def lose_answer(self, name: str) -> None:
        host = self.world.host_by_name.get(name)
        if host is not None and not host.answers_to_lose:
            host.answers_to_lose = 1
            self.world.touch(name, REVOKE)

    @rule(duration=st.sampled_from(TROUBLES))
    def take_store_down(self, duration: timedelta) -> None:
        store = self.world.store
        if not store.is_down:
            self.world.touch(STORE, duration)
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

    def _trouble(
        self,
        name: str,
        duration: timedelta,
        field: str,
        during: object,
        after: object,
    ) -> None:
        """Change a gateway for a while, unless it is changed already."""
        host = self.world.host_by_name.get(name)
        if host is None or getattr(host, field) != after:
            return
        self.world.touch(name, duration)
        setattr(host, field, during)
        self.world.timeline.after(
            duration,
            lambda: setattr(host, field, after),
        )
