"""Scheduling of multi-step jobs: a deterministic reducer without I/O."""
