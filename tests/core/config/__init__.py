"""Tests of the declaration of settings."""
