"""Stateful fuzzing of the reducer and its effects against an oracle."""
