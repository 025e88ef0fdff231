"""Bench of the decisions: seeded loads through the real reducer."""
