"""Decisions of a shard owner: one reducer over events, effects as data."""
