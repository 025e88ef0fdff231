"""Entries that meet crowds of clients; these tests run one at a time."""
