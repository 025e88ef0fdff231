"""Entry server: it serves callers and owns some shards."""
