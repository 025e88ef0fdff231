"""Functions that implement the commands of the command line."""
