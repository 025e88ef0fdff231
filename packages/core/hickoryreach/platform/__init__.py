"""Adapter to the outside platform: names, formats and calls, no decisions."""
