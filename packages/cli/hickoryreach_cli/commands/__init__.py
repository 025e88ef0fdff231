"""Functions behind the commands of the command line."""
