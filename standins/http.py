"""HTTP serving for the stand-ins: falcon over gevent."""

import socket

import falcon
import gevent.pool
import gevent.pywsgi


class Server(gevent.pywsgi.WSGIServer):
    """A WSGI server that sends each write at once."""

    def do_handle(self, *args):
        """Turns Nagle's algorithm off before serving a connection."""
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().do_handle(*args)


def build_server(
    app: falcon.App, *, host: str, port: int, connections: int = 0
) -> Server:
    """Returns a server for `app` that is not started yet.

    Args:
        app: The application.
        host: Address to listen on.
        port: Port to listen on.
        connections: Most connections served at a time; 0 for no limit.
    """
    spawn = gevent.pool.Pool(connections) if connections else "default"
    return Server((host, port), app, log=None, spawn=spawn)
