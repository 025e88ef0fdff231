"""Servers of an entry's kind for tests."""

from hickoryreach.config import client_limits
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_server

MAX_CONNECTIONS = 8
MAX_HELD_BYTES = 1_000_000


def build(
    app,
    *,
    max_body_bytes: int = 0,
    max_connections: int = MAX_CONNECTIONS,
    max_held_bytes: int = MAX_HELD_BYTES,
    **limits: float,
) -> http_server.HttpServer:
    """Returns a server at a free port that is not started yet."""
    table = http_connections.ConnectionTable(
        name="test",
        max_connections=max_connections,
        share=http_connections.ClientShare(max_held_bytes=max_held_bytes),
    )
    return http_server.HttpServer(
        ("127.0.0.1", 0),
        app,
        table=table,
        limits=client_limits.ClientLimits(**limits),
        max_body_bytes=max_body_bytes,
    )
