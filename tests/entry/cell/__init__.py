"""Tests of an entry on the users' platform."""
