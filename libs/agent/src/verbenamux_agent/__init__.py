"""The agent: the process that runs beside each target."""
