"""A budget that limits retries to a small fraction of requests."""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Each request earns a fraction of a retry; each retry costs one."""

    balance: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Record an incoming request."""
        self.balance = min(
            MAX_SAVED_RETRIES,
            self.balance + RETRIES_PER_REQUEST,
        )

    def spend(self) -> bool:
        """Use one retry; return whether one was available."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
