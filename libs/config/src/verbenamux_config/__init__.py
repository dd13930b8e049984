"""Configuration: operations, fold, snapshots, keys."""
