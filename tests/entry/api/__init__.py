"""Tests that mirror the package of the same name."""
