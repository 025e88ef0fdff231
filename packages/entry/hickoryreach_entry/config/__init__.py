"""Settings of the entry server."""
