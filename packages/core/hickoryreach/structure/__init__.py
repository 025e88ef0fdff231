"""Data types of jobs, tasks, workers, cells and workspaces."""
