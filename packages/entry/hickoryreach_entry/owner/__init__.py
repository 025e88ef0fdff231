"""A shard owner: journal, grants, worker links and the decision loop."""
