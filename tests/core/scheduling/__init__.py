"""Tests of the scheduling of multi-step jobs."""
