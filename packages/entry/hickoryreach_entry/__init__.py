"""Entry server: callers' front door and, for some shards, the owner."""
