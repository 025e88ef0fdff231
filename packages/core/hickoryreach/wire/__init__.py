"""Thrift messages between entries and their conversion."""
