"""Memory ledger, pins, fair queue and the planner."""
