"""Settings of the command line."""
