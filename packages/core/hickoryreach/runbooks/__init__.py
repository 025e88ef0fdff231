"""Commands of retired batch systems, and the work that they map to."""
