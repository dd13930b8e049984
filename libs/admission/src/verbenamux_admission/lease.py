"""A holder's lease, kept by promises from a majority of witnesses."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class HolderLease:
    """Promises by witness, with their ends on the holder's own clock.

    An end counts from before the renewal was sent, so it is never later
    than the end at the witness. `current_instance` returns the instance of a
    witness whose start is the newest in the log, or None without one.
    """

    witnesses: tuple[str, ...] = ()
    end_by_witness: dict[str, timedelta] = field(default_factory=dict)
    current_instance: Callable[[str], str | None] = lambda witness: None

    def renew(
        self,
        witness: str,
        instance: str,
        asked_at: timedelta,
        duration: timedelta,
    ) -> bool:
        """Record a promise; one of an outdated instance is void.

        Returns whether it counts. However late it arrives, its duration
        counts from the request.
        """
        if self.current_instance(witness) != instance:
            return False
        end = asked_at + duration
        known_end = self.end_by_witness.get(witness, timedelta())
        self.end_by_witness[witness] = max(known_end, end)
        return True

    def is_valid(self, now: timedelta) -> bool:
        """Return whether promises of a majority are still valid."""
        running = sum(
            1
            for witness in self.witnesses
            if self.end_by_witness.get(witness, timedelta()) > now
        )
        return 2 * running > len(self.witnesses)


@dataclass(slots=True)
class WitnessPromises:
    """The promises and consents of one witness.

    They are lost at a restart, so it consents to nothing until every
    promise of an earlier instance has expired.
    """

    longest_promise: timedelta
    started_at: timedelta
    end_by_holder: dict[str, timedelta] = field(default_factory=dict)
    reclaimed: set[str] = field(default_factory=set)
    waits_after_start: bool = True

    def promise(
        self,
        holder: str,
        duration: timedelta,
        now: timedelta,
    ) -> bool:
        """Promise not to consent for a duration, unless consent was given."""
        if holder in self.reclaimed or duration > self.longest_promise:
            return False
        self.end_by_holder[holder] = now + duration
        return True

    def consent(self, holder: str, now: timedelta) -> bool:
        """Consent to a reclaim once no promise can still be valid."""
        is_past_startup = now - self.started_at >= self.longest_promise
        if self.waits_after_start and not is_past_startup:
            return False
        if self.end_by_holder.get(holder, timedelta()) > now:
            return False
        self.reclaimed.add(holder)
        self.end_by_holder.pop(holder, None)
        return True
