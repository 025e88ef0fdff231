"""Tests of the messages between entries."""
