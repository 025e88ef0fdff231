"""Tests of the decisions on jobs made of steps."""
