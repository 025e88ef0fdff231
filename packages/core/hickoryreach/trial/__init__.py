"""Adapters for the key-value store, the instance list and the workers."""
