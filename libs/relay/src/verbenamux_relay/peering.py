"""Links to the other gateways, their usage reports, and the leader."""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial

from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.messages import (
    AnyMessage,
    UsageDigest,
    UsageNotice,
    UsageWanted,
)
from verbenamux_contracts.report_timing import (
    DIGEST_INTERVAL,
    MAX_MESH_PEERS,
    relayed_timeout,
    silence_timeout,
    usage_interval,
)
from verbenamux_relay.usage import Usage, UsageReader, UsageReporter
from verbenamux_relay.usage_digest import (
    MAX_INSTANCES,
    REPORTERS,
    DigestReader,
    DigestWriter,
    KnownUsage,
    UsageBook,
    known_usage,
)
from verbenamux_runtime.peers import PeerLink

Connect = Callable[[str, str, Callable[[AnyMessage], None]], PeerLink]


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
    name: str
    member: Member
    reporter: UsageReporter
    listed_at: timedelta
    digests: DigestWriter = field(default_factory=DigestWriter)
    link: PeerLink | None = None
    last_received_at: timedelta | None = None
    was_heard: bool = False
    wants_whole: bool = False


class Peers:
    """Every other gateway that the store lists, by name.

    In a small fleet each reports its usage to all others. In a larger one it
    reports to those of its data centre, and reporters pass usage on.
    """

    def __init__(
        self,
        own: Identity,
        elapsed: Callable[[], timedelta],
        connect: Connect = PeerLink,
    ) -> None:
        """Start without peers; `connect` opens the link to an address."""
        self._own = own
        self._elapsed = elapsed
        self._connect = connect
        self._by_name: dict[str, _Peer] = {}
        self._readers: OrderedDict[str, UsageReader] = OrderedDict()
        self._digest_reader = DigestReader()
        self._usage_book = UsageBook()
        self._own_usage: KnownUsage | None = None
        self._version = 0
        self._is_urgent = False
        self._digest_due_at = elapsed()
        self._has_members = False
        self._awake_since = elapsed()
        self._awake_at = elapsed()

    def names(self) -> frozenset[str]:
        """Return the names of all gateways, this one included."""
        return frozenset((self._own.name, *self._by_name))

    def set_members(self, members_by_name: Mapping[str, Member]) -> None:
        """Adopt the gateways that the store lists."""
        self._has_members = True
        for name, peer in tuple(self._by_name.items()):
            if members_by_name.get(name) != peer.member:
                _close(self._by_name.pop(name))
        for name, member in members_by_name.items():
            if name != self._own.name and name not in self._by_name:
                self._by_name[name] = _Peer(
                    name,
                    member,
                    UsageReporter(self._own.name, self._own.instance),
                    self._elapsed(),
                )

    def count(self) -> int:
        """Return how many other gateways are known."""
        return len(self._by_name)

    def fleet_size(self) -> int | None:
        """Return the number of gateways, None until the store's list is read.

        A share of what all may use is nothing until then.
        """
        return self.count() + 1 if self._has_members else None

    def unheard(self, within: timedelta) -> int:
        """Return how many peers listed `within` this time were never heard.

        They may run, and use their shares, without it being known.
        """
        oldest = self._elapsed() - within
        return sum(
            not peer.was_heard and peer.listed_at > oldest
            for peer in self._by_name.values()
        )

    def is_mesh(self) -> bool:
        """Return whether every gateway reports to every other one."""
        return self.count() <= MAX_MESH_PEERS

    def usage_interval(self) -> timedelta:
        """Return the interval of usage reports, by the number of receivers."""
        return usage_interval(len(self._receivers()))

    def peer_timeout(self) -> timedelta:
        """Return after how long without a notice any peer is unresponsive.

        It may be spending without reporting it, and neither plans nor reads
        for others.
        """
        interval = self.usage_interval()
        if self.is_mesh():
            return silence_timeout(interval)
        return max(silence_timeout(interval), relayed_timeout(interval))

    def send_usage(
        self,
        usage: Usage,
        *,
        is_leaving: bool = False,
        is_urgent: bool = False,
    ) -> None:
        """Send the peers that are told directly the changes in own usage."""
        self._note_awake()
        self._version += 1
        versioned = replace(usage, version=self._version)
        self._own_usage = KnownUsage(
            self._own.name,
            self._own.instance,
            versioned,
            is_leaving,
            is_relayed=False,
        )
        self._is_urgent |= is_urgent
        for peer in self._receivers():
            notice = peer.reporter.notice(
                versioned,
                wants_whole=peer.wants_whole,
                is_leaving=is_leaving,
                is_urgent=is_urgent,
            )
            if not self._link(peer).send(notice):
                peer.reporter.forget()

    def send_digests(self) -> bool:
        """Pass on what changed, if that is due or urgent; return whether."""
        now = self._elapsed()
        if self.is_mesh() or not (
            self._is_urgent or now >= self._digest_due_at
        ):
            return False
        is_urgent = self._is_urgent
        self._is_urgent = False
        self._digest_due_at = now + DIGEST_INTERVAL
        current = self._usage_book.current()
        relayed = tuple(known for known in current if known.is_relayed)
        for peer in self._local_peers():
            self._send_digest(peer, relayed, is_urgent=is_urgent)
        rank = self.reporter_rank()
        if rank is not None:
            self._send_to_other_data_centres(rank, current, is_urgent=is_urgent)
        return True

    def read(self, notice: UsageNotice) -> Usage | None:
        """Return a peer's whole usage; None if it is old or incomplete."""
        self._note_awake()
        reader = self._readers.setdefault(notice.instance, UsageReader())
        if len(self._readers) > MAX_INSTANCES:
            self._readers.popitem(last=False)
        usage = reader.read(notice)
        peer = self._by_name.get(notice.sender)
        if peer is not None:
            peer.wants_whole = usage is None
            if notice.wants_whole:
                peer.reporter.forget()
            self._record_sign_of_life(notice.sender, notice.leaving)
        if usage is None:
            return None
        known = known_usage(notice, usage, is_relayed=False)
        self._is_urgent |= notice.urgent
        return usage if self._usage_book.record(known) else None

    def read_digest(
        self, digest: UsageDigest
    ) -> tuple[tuple[KnownUsage, ...], tuple[str, ...]]:
        """Return the newer usages in a digest, and instances to ask for."""
        self._note_awake()
        is_relayed = digest.data_centre != self._own.member.data_centre
        usages, missed = self._digest_reader.read(digest, is_relayed=is_relayed)
        newer = tuple(
            known
            for known in usages
            if known.instance != self._own.instance
            and self._usage_book.record(known)
        )
        for known in newer:
            self._record_sign_of_life(known.sender, known.is_leaving)
        self._is_urgent |= digest.urgent and is_relayed
        return newer, missed

    def is_first(self) -> bool:
        """Return whether this gateway is the first responsive one by name."""
        return not self.rank()

    def rank(self) -> int:
        """Return how many responsive gateways come before this one by name.

        All that the store lists may be responsive just after the start, after
        this process was held up, and just after they were listed. Until the
        list is read this gateway is not the first.
        """
        if not self._has_members:
            return 1
        now = self._elapsed()
        self._note_awake()
        timeout = self.peer_timeout()
        just_before = now - timeout
        may_respond = {
            peer.name
            for peer in self._by_name.values()
            if self._awake_since > just_before
            or (peer.listed_at > just_before and not peer.was_heard)
        }
        may_respond.update(peer.name for peer in self._responsive())
        return sum(name < self._own.name for name in may_respond)

    def reporter_rank(self) -> int | None:
        """Return this gateway's place among the reporters, None if not one."""
        rank = sum(
            peer.name < self._own.name
            for peer in self._responsive()
            if self._is_local(peer)
        )
        return rank if rank < REPORTERS else None

    def leader_link(self) -> PeerLink | None:
        """Return the link to the leader, the first peer of the data centre.

        Only responsive peers count. None if this gateway is the leader.
        """
        local = [peer for peer in self._responsive() if self._is_local(peer)]
        first = min(local, key=_name, default=None)
        if first is None or first.name > self._own.name:
            return None
        return self._link(first)

    def _send_to_other_data_centres(
        self,
        rank: int,
        current: Iterable[KnownUsage],
        *,
        is_urgent: bool,
    ) -> None:
        local_names = {peer.name for peer in self._local_peers()}
        own = (self._own_usage,) if self._own_usage else ()
        local = (
            *own,
            *(known for known in current if known.sender in local_names),
        )
        for peer in self._remote_reporters(rank):
            self._send_digest(peer, local, is_urgent=is_urgent)

    def _send_digest(
        self,
        peer: _Peer,
        current: Iterable[KnownUsage],
        *,
        is_urgent: bool,
    ) -> None:
        notices = peer.digests.notices(current)
        if not notices:
            return
        digest = UsageDigest(
            self._own.instance,
            self._own.member.data_centre,
            notices,
            is_urgent,
        )
        if not self._link(peer).send(digest):
            peer.digests.forget(notice.instance for notice in notices)

    def _remote_reporters(self, rank: int) -> Iterator[_Peer]:
        """Yield the reporter of this rank in each other data centre.

        Where no gateway is known to be responsive, all are told.
        """
        peers_by_data_centre: defaultdict[str, list[_Peer]] = defaultdict(list)
        for peer in self._by_name.values():
            if not self._is_local(peer):
                peers_by_data_centre[peer.member.data_centre].append(peer)
        responsive_names = {peer.name for peer in self._responsive()}
        for peers in peers_by_data_centre.values():
            responsive = sorted(
                (peer for peer in peers if peer.name in responsive_names),
                key=_name,
            )
            if responsive:
                yield responsive[min(rank, len(responsive) - 1)]
            else:
                yield from peers

    def _receivers(self) -> tuple[_Peer, ...]:
        """Return the peers that are told directly of this gateway's usage."""
        if self.is_mesh():
            return tuple(self._by_name.values())
        return tuple(self._local_peers())

    def _local_peers(self) -> Iterator[_Peer]:
        return filter(self._is_local, self._by_name.values())

    def _is_local(self, peer: _Peer) -> bool:
        return peer.member.data_centre == self._own.member.data_centre

    def _note_awake(self) -> None:
        """Record that this process runs, and since when without a pause.

        What was sent to it during a pause is only read behind it.
        """
        now = self._elapsed()
        if now - self._awake_at > self.peer_timeout():
            self._awake_since = now
        self._awake_at = now

    def _record_sign_of_life(self, name: str, is_leaving: bool) -> None:
        peer = self._by_name.get(name)
        if peer is not None:
            peer.was_heard = True
            peer.last_received_at = None if is_leaving else self._elapsed()

    def _link(self, peer: _Peer) -> PeerLink:
        """Return the link to a peer, opened when it is needed first."""
        if peer.link is None:
            address = peer.member.address
            peer.link = self._connect(
                address,
                f'{self._own.instance}>{address}',
                partial(_handle_reply, peer),
            )
        return peer.link

    def _responsive(self) -> Iterator[_Peer]:
        now = self._elapsed()
        local_timeout = silence_timeout(self.usage_interval())
        peer_timeout = self.peer_timeout()
        for peer in self._by_name.values():
            timeout = local_timeout if self._is_local(peer) else peer_timeout
            last_received_at = peer.last_received_at
            if (
                last_received_at is not None
                and now - last_received_at < timeout
            ):
                yield peer


def _name(peer: _Peer) -> str:
    return peer.name


def _close(peer: _Peer) -> None:
    if peer.link is not None:
        peer.link.close()


def _handle_reply(peer: _Peer, message: AnyMessage) -> None:
    """Handle what a peer sends back; replies go to their requests."""
    if isinstance(message, UsageWanted):
        peer.digests.forget(message.instances)
