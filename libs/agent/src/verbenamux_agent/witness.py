"""The agent as a witness of rate leases, and its start record."""

from datetime import timedelta

from returns.pipeline import is_successful

from verbenamux_admission.book import WitnessStart, encode_share_record
from verbenamux_admission.lease import WitnessDesk
from verbenamux_contracts.clock import Clock
from verbenamux_contracts.ids import InstanceId
from verbenamux_contracts.log import Log
from verbenamux_contracts.messages import (
    Consent,
    ConsentAsk,
    LeaseAsk,
    LeasePromise,
)

SHARES_STREAM = 'shares'
APPEND_AGAIN = timedelta(seconds=1)


class Witness:
    """Promises only after its start record is on the log.

    `witness` is the agent's address: an address belongs to one process at
    a time. A pause needs no care here: a promise that leaves late only
    binds this witness for longer than the holder counts on.
    """

    def __init__(
        self,
        witness: str,
        instance: InstanceId,
        longest_promise: timedelta,
        clock: Clock,
    ) -> None:
        """Start without a record on the log."""
        self.epoch: int | None = None
        self._witness = witness
        self._instance = instance
        self._clock = clock
        self._desk = WitnessDesk(longest_promise, clock.elapsed())

    def announce(self, log: Log) -> int:
        """Append the start record, for as long as it takes."""
        record = encode_share_record(
            WitnessStart(self._witness, self._instance),
        )
        while True:
            offset = log.append(SHARES_STREAM, record)
            if is_successful(offset):
                self.epoch = offset.unwrap()
                return self.epoch
            self._clock.sleep(APPEND_AGAIN)

    def promise(self, ask: LeaseAsk) -> LeasePromise:
        """Answer a holder's ask for a promise."""
        duration = timedelta(milliseconds=ask.duration_ms)
        granted = self.epoch is not None and self._desk.promise(
            ask.holder,
            duration,
            self._clock.elapsed(),
        )
        return LeasePromise(
            ask.ask_id,
            self._witness,
            self._instance,
            granted,
        )

    def consent(self, ask: ConsentAsk) -> Consent:
        """Answer a gateway's ask to reclaim a holder."""
        granted = self.epoch is not None and self._desk.consent(
            ask.holder,
            self._clock.elapsed(),
        )
        return Consent(
            ask.ask_id,
            self._witness,
            self._instance,
            granted,
        )
