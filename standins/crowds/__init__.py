"""Crowds of clients that don't keep to the protocol or to its limits."""
