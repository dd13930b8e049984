"""What every program shares: settings, logs, metrics, peers, HTTP server."""
