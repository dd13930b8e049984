"""Memory ledger of a target and the planner of model copies."""
