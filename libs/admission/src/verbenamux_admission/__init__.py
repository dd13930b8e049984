"""Rate shares in escrow, leases, witnesses and claims."""
