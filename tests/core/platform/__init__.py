"""Tests of the adapter of the users' platform."""
