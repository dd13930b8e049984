"""Relays callers' requests to targets and decides where they are sent."""
