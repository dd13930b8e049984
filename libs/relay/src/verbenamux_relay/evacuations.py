"""The evacuations that the operator has ordered."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from datetime import timedelta

from verbenamux_balancing.evacuation import closes_at
from verbenamux_contracts.clock import to_milliseconds
from verbenamux_relay.targets import TargetTable


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Closes evacuated data centres in the table of targets.

    `bound` is how soon after an order their targets must get nothing,
    `last_known_open` returns the newest time at which there was no order that
    is not known here, None if there is none.
    """

    target_table: TargetTable
    bound: timedelta
    elapsed: Callable[[], timedelta]
    last_known_open: Callable[[], timedelta | None]
    on_change: Callable[[], None]
    log: Callable[..., None]

    def order(self, data_centre: str) -> None:
        """Send nothing more to a data centre until this is taken back."""
        if data_centre in self.target_table.closing_data_centres:
            return
        now = self.elapsed()
        known_at = self.last_known_open()
        closing = closes_at(known_at, now, self.bound)
        self.target_table.close_data_centre(data_centre, closing)
        self.log(
            'evacuation_ordered',
            data_centre=data_centre,
            closes_in_ms=to_milliseconds(closing - now),
            age_most_ms=(
                None if known_at is None else to_milliseconds(now - known_at)
            ),
        )
        self.on_change()

    def end(self, data_centre: str) -> None:
        """Use the targets of a data centre again."""
        if data_centre in self.target_table.closing_data_centres:
            self.target_table.open_data_centre(data_centre, self.elapsed())
            self.log('evacuation_ended', data_centre=data_centre)
            self.on_change()

    def adopt(self, data_centres: AbstractSet[str]) -> None:
        """Evacuate these data centres, and no others."""
        for ended in self.target_table.closing_data_centres - data_centres:
            self.end(ended)
        for ordered in data_centres:
            self.order(ordered)
