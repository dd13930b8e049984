"""HTTP/1.1 framing, a listener for callers and a client for targets."""
