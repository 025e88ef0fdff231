"""Declared settings and their validation."""
