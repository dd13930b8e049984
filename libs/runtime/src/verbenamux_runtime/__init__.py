"""Shared by all programs: settings, logs, metrics, peers, HTTP server."""
