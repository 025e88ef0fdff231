"""Model of a cell for random tests of the reducer."""
