"""A budget that keeps retries a small part of all requests."""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.2
RETRIES_SAVED_MOST = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Earns a part of a retry with each request; each retry costs one."""

    balance: float = RETRIES_SAVED_MOST

    def earn(self) -> None:
        """Note a request that came in."""
        self.balance = min(
            RETRIES_SAVED_MOST,
            self.balance + RETRIES_PER_REQUEST,
        )

    def spend(self) -> bool:
        """Take one retry, or tell that there is none."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
