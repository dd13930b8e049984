"""Clients of the log, the weight store and the host list."""
