"""Links to the other gateways, their usage reports, and the leader."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import AnyMessage, UsageNotice
from verbenamux_contracts.report_timing import silence_timeout, usage_interval
from verbenamux_relay.usage import Usage, UsageReader, UsageReporter
from verbenamux_runtime.peers import PeerLink

# Gateway instances whose usage is remembered, including ended ones.
MAX_READERS = 2000


@dataclass(frozen=True, slots=True)
class Member:
    """A gateway as recorded in the store."""

    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Identity:
    """A gateway as its peers know it; `instance` identifies one run of it."""

    name: str
    instance: InstanceId
    member: Member


@dataclass(slots=True)
class _Peer:
    member: Member
    link: PeerLink
    reporter: UsageReporter
    last_received_at: timedelta | None = None
    wants_whole: bool = False


class Peers:
    """Every other gateway that the store lists, by name."""

    def __init__(self, own: Identity, elapsed: Callable[[], timedelta]) -> None:
        """Start without peers."""
        self._own = own
        self._elapsed = elapsed
        self._by_name: dict[str, _Peer] = {}
        self._readers: OrderedDict[str, UsageReader] = OrderedDict()

    def set_members(self, members_by_name: Mapping[str, Member]) -> None:
        """Keep one link to every other gateway."""
        for name, peer in tuple(self._by_name.items()):
            if members_by_name.get(name) != peer.member:
                self._by_name.pop(name).link.close()
        for name, member in members_by_name.items():
            if name != self._own.name and name not in self._by_name:
                self._by_name[name] = self._connect(member)

    def count(self) -> int:
        """Return how many other gateways are known."""
        return len(self._by_name)

    def usage_interval(self) -> timedelta:
        """Return the interval of usage reports, by the number of peers."""
        return usage_interval(self.count())

    def peer_timeout(self) -> timedelta:
        """Return after how long without a notice a peer is unresponsive.

        It may be spending without reporting it, and neither plans nor reads
        for others.
        """
        return silence_timeout(self.usage_interval())

    def send_usage(self, usage: Usage, *, is_leaving: bool = False) -> None:
        """Send each peer the changes in this gateway's usage."""
        for peer in self._by_name.values():
            notice = peer.reporter.notice(
                usage,
                wants_whole=peer.wants_whole,
                is_leaving=is_leaving,
            )
            if not peer.link.send(notice):
                peer.reporter.forget()

    def read(self, notice: UsageNotice) -> Usage | None:
        """Return a peer's whole usage; None if it must be requested first."""
        reader = self._readers.setdefault(notice.instance, UsageReader())
        if len(self._readers) > MAX_READERS:
            self._readers.popitem(last=False)
        usage = reader.read(notice)
        peer = self._by_name.get(notice.sender)
        if peer is not None:
            peer.last_received_at = None if notice.leaving else self._elapsed()
            peer.wants_whole = usage is None
            if notice.wants_whole:
                peer.reporter.forget()
        return usage

    def is_first(self) -> bool:
        """Return whether this gateway is the first responsive one by name."""
        return all(self._own.name < name for name, _ in self._responsive())

    def leader_link(self) -> PeerLink | None:
        """Return the link to the leader, the first peer of the data centre.

        Only responsive peers count. None if this gateway is the leader.
        """
        names = [
            name
            for name, peer in self._responsive()
            if peer.member.data_centre == self._own.member.data_centre
        ]
        first = min(names, default=self._own.name)
        return self._by_name[first].link if first < self._own.name else None

    def _connect(self, member: Member) -> _Peer:
        return _Peer(
            member,
            PeerLink(
                member.address,
                f'{self._own.instance}>{member.address}',
                _ignore,
            ),
            UsageReporter(self._own.name, self._own.instance),
        )

    def _responsive(self) -> Iterator[tuple[str, _Peer]]:
        now = self._elapsed()
        peer_timeout = self.peer_timeout()
        for name, peer in self._by_name.items():
            last_received_at = peer.last_received_at
            if (
                last_received_at is not None
                and now - last_received_at < peer_timeout
            ):
                yield name, peer


def _ignore(_message: AnyMessage) -> None:
    """Ignore messages: replies go to the requester, no others are sent."""
