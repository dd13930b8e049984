"""The witness of rate leases in the agent, and its start record."""

from datetime import timedelta

from returns.pipeline import is_successful

from verbenamux_admission.lease import WitnessPromises
from verbenamux_admission.unit_table import WitnessStart, encode_share_record
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
APPEND_RETRY_INTERVAL = timedelta(seconds=1)


class Witness:
    """Grants promises only after its start record is on the log.

    `witness` is the agent's address: an address belongs to one process at
    a time. A paused process needs no handling here: a promise that is sent
    late only binds this witness for longer than the holder assumes.
    """

    def __init__(
        self,
        witness: str,
        instance: InstanceId,
        max_promise: timedelta,
        clock: Clock,
    ) -> None:
        """Start without a record on the log."""
        self.epoch: int | None = None
        self._witness = witness
        self._instance = instance
        self._clock = clock
        self._desk = WitnessPromises(max_promise, clock.elapsed())

    def record_start(self, log: Log) -> int:
        """Append the start record, with retries until it succeeds."""
        record = encode_share_record(
            WitnessStart(self._witness, self._instance),
        )
        while True:
            offset = log.append(SHARES_STREAM, record)
            if is_successful(offset):
                self.epoch = offset.unwrap()
                return self.epoch
            self._clock.sleep(APPEND_RETRY_INTERVAL)

    def promise(self, request: LeaseAsk) -> LeasePromise:
        """Return the reply to a holder's request for a promise."""
        duration = timedelta(milliseconds=request.duration_ms)
        granted = self.epoch is not None and self._desk.promise(
            request.holder,
            duration,
            self._clock.elapsed(),
        )
        return LeasePromise(
            request.ask_id,
            self._witness,
            self._instance,
            granted,
        )

    def consent(self, request: ConsentAsk) -> Consent:
        """Return the reply to a gateway's request to reclaim a holder."""
        granted = self.epoch is not None and self._desk.consent(
            request.holder,
            self._clock.elapsed(),
        )
        return Consent(
            request.ask_id,
            self._witness,
            self._instance,
            granted,
        )
