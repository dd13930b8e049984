"""Choosing a target: scores, breakers, retry budget, baselines."""
