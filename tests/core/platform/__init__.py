"""Tests of the adapter to the outside platform."""
