"""Serves the stand-ins of the users' platform over HTTP."""

from collections.abc import Callable
import contextlib
import json
import socket
import urllib.parse

import gevent
import gevent.pywsgi

SILENCE_S = 30.0
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}

Answer = tuple[int, dict | None] | None
Handler = Callable[[str, str, dict, dict, dict], Answer]


class QuickHandler(gevent.pywsgi.WSGIHandler):
    """Serves a connection, which its server can end."""

    def handle(self) -> None:
        """Serves one connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self.socket
        self.server.connections.add(connection)
        try:
            super().handle()
        finally:
            self.server.connections.discard(connection)


class Server(gevent.pywsgi.WSGIServer):
    """Server at one address.

    Attributes:
        connections: Connections that are open.
    """

    def __init__(self, *args: object, **options: object) -> None:
        """Serves nothing yet."""
        super().__init__(*args, **options)
        self.connections: set[socket.socket] = set()

    def disconnect(self) -> None:
        """Ends all connections, as the end of a process does."""
        for connection in list(self.connections):
            with contextlib.suppress(OSError):  # its other end is gone already
                connection.shutdown(socket.SHUT_RDWR)


def serve(address: str, handle: Handler) -> Server:
    """Returns a started server; a handler's None leaves a call unanswered.

    Args:
        address: `host:port` to serve at; the port 0 takes a free one.
        handle: Called with method, path, query, body and headers.
    """

    def answer(environ: dict, start_response) -> list[bytes]:
        words = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        length = int(environ.get("CONTENT_LENGTH") or 0)
        data = environ["wsgi.input"].read(length)
        answered = handle(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            words,
            json.loads(data) if data else {},
            environ,
        )
        if answered is None:
            gevent.sleep(SILENCE_S)
            answered = (503, None)
        status, body = answered
        payload = b"" if body is None else json.dumps(body).encode()
        start_response(
            f"{status} {REASONS.get(status, 'Status')}",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(payload))),
            ],
        )
        return [payload]

    host, port = address.rsplit(":", 1)
    server = Server(
        (host, int(port)), answer, handler_class=QuickHandler, log=None
    )
    server.start()
    return server
