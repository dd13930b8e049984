"""The keeper of an engine: its only giver of orders."""
