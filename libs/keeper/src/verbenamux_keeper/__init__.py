"""The keeper of an engine: the only process that sends it orders."""
