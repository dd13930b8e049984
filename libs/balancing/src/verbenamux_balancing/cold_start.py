"""Shares what a cold target tolerates between the gateways.

Load pattern: all targets of a data centre return at once, and each is cold for
seconds: it takes a few requests a second and crashes well above that rate. All
gateways see it idle at the same time. Each gateway has a fixed share that
follows from the gateways that the store lists, whether they respond or not, so
that no message is needed, and one that is cut off or frozen spends only its
own share. Where the rate is too low for a request of each gateway, rendezvous
hashing picks those that may send.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from math import inf

from verbenamux_contracts.rendezvous import pick

# Requests are counted over this time: the second of the bound, and how much
# later than another one a request may arrive.
SHARE_WINDOW = timedelta(milliseconds=1200)
# Fraction of the tolerated rate that is shared out. Gateways that start learn
# of each other at different times, and share by different lists meanwhile.
SHARED_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """What cold targets tolerate beyond their stated rate.

    `overage` is a factor on the rate, `slack` a number of requests a second.
    """

    overage: float = 1
    slack: float = 0

    def tolerated(self, per_second: float) -> float:
        """Return the requests that a cold target tolerates in one second."""
        return per_second * self.overage + self.slack


def own_share(
    own_name: str,
    gateways: Collection[str],
    target_id: str,
    tolerated: float,
) -> int:
    """Return how many requests a gateway may send a cold target in a window.

    The shares of all gateways add up to less than `tolerated`.
    """
    shared = int(tolerated * SHARED_FRACTION)
    if shared >= len(gateways):
        return shared // max(len(gateways), 1)
    return int(own_name in pick(target_id, gateways, shared))


class ColdSends:
    """What this gateway has sent to each cold target lately."""

    def __init__(
        self,
        own_name: str,
        elapsed: Callable[[], timedelta],
        bounds: ColdBounds,
        *,
        is_restart: bool = False,
    ) -> None:
        """Start without a share: the other gateways are not known yet.

        After a restart an earlier process may just have used the share, so it
        counts as used for one window.
        """
        self._own_name = own_name
        self._elapsed = elapsed
        self._bounds = bounds
        self._available_at = elapsed() + SHARE_WINDOW * is_restart
        self._gateways: frozenset[str] = frozenset()
        self._sent_by_target: defaultdict[str, deque[timedelta]] = defaultdict(
            deque
        )

    def set_gateways(self, names: Collection[str]) -> None:
        """Adopt the names of all gateways, this one included."""
        self._gateways = frozenset(names)

    def room(self, target_id: str, per_second: float) -> float:
        """Return how many requests a cold target may get from here now.

        It states a rate of `per_second`, or 0 if it tolerates any.
        """
        if not per_second:
            return inf
        if (
            self._own_name not in self._gateways
            or self._elapsed() < self._available_at
        ):
            return 0
        share = own_share(
            self._own_name,
            self._gateways,
            target_id,
            self._bounds.tolerated(per_second),
        )
        return share - len(self._recent(target_id))

    def record(self, target_id: str) -> None:
        """Count a request that is sent to a cold target now."""
        self._recent(target_id).append(self._elapsed())

    def forget(self, target_id: str) -> None:
        """Drop the counts of a target that has ended."""
        self._sent_by_target.pop(target_id, None)

    def _recent(self, target_id: str) -> deque[timedelta]:
        sent = self._sent_by_target[target_id]
        oldest = self._elapsed() - SHARE_WINDOW
        while sent and sent[0] <= oldest:
            sent.popleft()
        return sent
