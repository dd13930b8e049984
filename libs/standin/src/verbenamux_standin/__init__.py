"""Stand-ins for an engine, service, log, weight store and host list."""
