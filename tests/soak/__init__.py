"""Tests of the soak's own judges."""
