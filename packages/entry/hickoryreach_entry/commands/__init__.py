"""Functions behind the commands of the entry binary."""
