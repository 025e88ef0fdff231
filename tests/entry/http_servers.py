"""Servers of an entry's kind for tests."""

from hickoryreach.config import client_limits
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_server


def build(
    app, *, max_body_bytes: int = 0, **limits: float
) -> http_server.HttpServer:
    """Returns a server at a free port that is not started yet."""
    return http_server.HttpServer(
        ("127.0.0.1", 0),
        app,
        name="test",
        share=http_connections.ClientShare(),
        limits=client_limits.ClientLimits(**limits),
        max_body_bytes=max_body_bytes,
    )
