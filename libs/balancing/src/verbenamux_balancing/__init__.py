"""Decisions about load over data centres and targets."""
