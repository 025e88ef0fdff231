"""Benchmarks of the decisions and the measurements behind CAPACITY.md."""
