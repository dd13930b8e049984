"""Choice of a target: scores, breakers, retry budget, baselines."""
