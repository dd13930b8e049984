"""Usage of other gateways, as it is passed on between data centres.

Load pattern: in a large fleet most gateways are in other data centres. Each
reports to those of its own; the first two responsive ones by name, the
reporters, pass on what changed to the reporters of the other data centres,
which pass it on to their own. Sums are those of one instance throughout, so it
does no harm that they arrive twice, late or in another order.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from verbenamux_contracts.messages import UsageDigest, UsageNotice
from verbenamux_relay.usage import Usage, UsageReader, UsageReporter

# Gateways of a data centre that pass on usage: one may fail.
REPORTERS = 2
# Instances whose usage is remembered, including ended ones.
MAX_INSTANCES = 2000
# Links over which an instance's usage may come, besides its own.
MAX_PATHS = 4 * MAX_INSTANCES


@dataclass(frozen=True, slots=True)
class KnownUsage:
    """The newest usage of a gateway instance.

    `is_relayed` is whether it came here straight from another data centre, so
    that this gateway passes it on within its own.
    """

    sender: str
    instance: str
    usage: Usage
    is_leaving: bool
    is_relayed: bool


def known_usage(
    notice: UsageNotice, usage: Usage, *, is_relayed: bool
) -> KnownUsage:
    """Return the usage that a notice completes."""
    return KnownUsage(
        notice.sender, notice.instance, usage, notice.leaving, is_relayed
    )


class UsageBook:
    """The newest usage of every other gateway instance."""

    def __init__(self) -> None:
        """Start with none."""
        self._known_by_instance: OrderedDict[str, KnownUsage] = OrderedDict()

    def record(self, known: KnownUsage) -> bool:
        """Record a usage; return whether it is newer than the known one."""
        previous = self._known_by_instance.get(known.instance)
        if previous is not None and (
            known.usage.version <= previous.usage.version
        ):
            return False
        self._known_by_instance[known.instance] = known
        self._known_by_instance.move_to_end(known.instance)
        if len(self._known_by_instance) > MAX_INSTANCES:
            self._known_by_instance.popitem(last=False)
        return True

    def current(self) -> tuple[KnownUsage, ...]:
        """Return the newest usage of each instance."""
        return tuple(self._known_by_instance.values())


class DigestWriter:
    """The sending side of one link: what was passed on to its peer."""

    def __init__(self) -> None:
        """Start with nothing passed on."""
        self._reporter_by_instance: dict[str, UsageReporter] = {}
        self._version_by_instance: dict[str, int] = {}

    def notices(self, current: Iterable[KnownUsage]) -> tuple[UsageNotice, ...]:
        """Return the changes that the peer was not sent, as sent to it."""
        return tuple(
            self._notice(known)
            for known in current
            if known.usage.version
            > self._version_by_instance.get(known.instance, -1)
        )

    def forget(self, instances: Iterable[str]) -> None:
        """Send the whole usage of these instances next time."""
        for instance in instances:
            self._version_by_instance.pop(instance, None)
            reporter = self._reporter_by_instance.get(instance)
            if reporter is not None:
                reporter.forget()

    def _notice(self, known: KnownUsage) -> UsageNotice:
        instance = known.instance
        reporter = self._reporter_by_instance.get(instance)
        if reporter is None:
            reporter = UsageReporter(known.sender, instance)
            self._reporter_by_instance[instance] = reporter
        self._version_by_instance[instance] = known.usage.version
        return reporter.notice(known.usage, is_leaving=known.is_leaving)


class DigestReader:
    """The receiving side of all links."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._readers: OrderedDict[tuple[str, str], UsageReader] = OrderedDict()

    def read(
        self, digest: UsageDigest, *, is_relayed: bool
    ) -> tuple[tuple[KnownUsage, ...], tuple[str, ...]]:
        """Return the usages in a digest, and instances to be asked for."""
        usages: list[KnownUsage] = []
        missed: list[str] = []
        for notice in digest.notices:
            usage = self._reader(digest.sender, notice.instance).read(notice)
            if usage is None:
                missed.append(notice.instance)
            else:
                usages.append(known_usage(notice, usage, is_relayed=is_relayed))
        return tuple(usages), tuple(missed)

    def _reader(self, sender: str, instance: str) -> UsageReader:
        path = (sender, instance)
        reader = self._readers.setdefault(path, UsageReader())
        self._readers.move_to_end(path)
        if len(self._readers) > MAX_PATHS:
            self._readers.popitem(last=False)
        return reader
