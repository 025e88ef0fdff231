"""Core library of the scheduler: decisions, operators' lists, adapters."""
