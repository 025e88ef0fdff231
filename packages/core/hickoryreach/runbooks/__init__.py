"""Commands of retired batch systems and the work they stand for."""
