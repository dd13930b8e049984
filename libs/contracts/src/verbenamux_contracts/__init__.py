"""Messages, typed errors, identifiers and the clock."""
