"""An HTTP server that counts its requests and ends connections in a drain."""

import socket

import gevent.pywsgi


class HttpHandler(gevent.pywsgi.WSGIHandler):
    """Counts the requests being answered, and ends connections in a drain."""

    def handle_one_response(self) -> None:
        """Answers one request."""
        self.server.active += 1
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1

    def finalize_headers(self) -> None:
        """Asks the client for another connection while draining."""
        super().finalize_headers()
        if self.server.draining:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))


class HttpServer(gevent.pywsgi.WSGIServer):
    """A WSGI server that sends each write at once.

    Attributes:
        active: Requests being answered.
        draining: Whether connections end with their next answer.
    """

    handler_class = HttpHandler

    def __init__(self, *args, **kwargs) -> None:
        """Creates a server that is not started yet."""
        super().__init__(*args, **kwargs)
        self.active = 0
        self.draining = False

    def do_handle(self, *args) -> None:
        """Turns Nagle's algorithm off before serving a connection."""
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().do_handle(*args)
