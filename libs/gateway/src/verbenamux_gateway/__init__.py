"""The entry host program."""
