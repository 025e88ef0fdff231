"""An entry of a cell on the users' platform."""
