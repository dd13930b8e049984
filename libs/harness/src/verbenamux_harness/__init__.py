"""Starts small fleets on loopback for demos, proofs and experiments."""
