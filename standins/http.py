"""HTTP serving for the stand-ins: falcon over gevent."""

import socket

import falcon
import gevent.pywsgi


class Server(gevent.pywsgi.WSGIServer):
    """A WSGI server that sends each write at once."""

    def do_handle(self, *args):
        """Turns Nagle's algorithm off before serving a connection."""
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().do_handle(*args)


def build_server(app: falcon.App, *, host: str, port: int) -> Server:
    """Returns a server for `app` that is not started yet."""
    return Server((host, port), app, log=None)
