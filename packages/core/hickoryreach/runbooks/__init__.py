"""Commands of retired batch systems and the work they map to."""
