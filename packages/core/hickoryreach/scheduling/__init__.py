"""Decisions on jobs made of steps: one reducer, no clock and no socket."""
