"""Relaying callers' requests to targets, and what decides where they go."""
