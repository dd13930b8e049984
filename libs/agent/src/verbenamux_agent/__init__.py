"""The program beside each target."""
