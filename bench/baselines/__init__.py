"""Plain schedulers of our own writing to compare with."""
