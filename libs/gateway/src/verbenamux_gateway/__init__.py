"""The gateway: answers callers and routes their requests to targets."""
