"""Typed data of jobs, workers and workspaces."""
