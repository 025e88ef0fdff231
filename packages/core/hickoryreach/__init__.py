"""Scheduling decisions, operators' lists and platform adapters."""
