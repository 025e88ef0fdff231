"""A randomized soak of the entries under faults from outside."""
