"""An HTTP server that bounds its clients and ends connections in a drain."""

import contextlib
import errno
import io
import socket

import gevent.pywsgi

from hickoryreach.config import client_limits
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_reader
from hickoryreach_entry import http_refusals

UNREAD_BYTES = 16 * 1024  # the kernel takes twice as much
DISCARD_BYTES = 1_024


class RequestBody(gevent.pywsgi.Input):
    """The body of a request."""

    __slots__ = ()

    def _discard(self) -> None:
        """Reads what the application left, in pieces of little memory."""
        while self.read(DISCARD_BYTES):
            pass


class HttpHandler(gevent.pywsgi.WSGIHandler):
    """Serves one connection.

    Attributes:
        connection: Entry of the connection in its server's table.
        reader: Reads requests from it.
        reason: What the library found wrong with a request, or None.
        detail: What was wrong with it, for the log.
    """

    def __init__(
        self,
        connected: socket.socket,
        address: object,
        server: "HttpServer",
        connection: http_connections.Connection,
    ) -> None:
        """Begins to serve an admitted connection."""
        self.connection = connection
        self.reader = http_reader.RequestReader(
            connection=connection,
            share=server.table.share,
            limits=server.limits,
        )
        self.reason: http_refusals.Reason | None = None
        self.detail = ""
        super().__init__(
            connected, address, server, rfile=io.BufferedReader(self.reader)
        )

    def handle_one_request(self) -> bool | None:
        """Serves one request; refuses it if it can't be read.

        Returns:
            True if the connection goes on, else None.
        """
        outcome = None
        with contextlib.suppress(http_refusals.RequestRefusedError):
            self.reader.begin_request()
            outcome = super().handle_one_request()
        reason = self.find_refusal(outcome)
        if reason is None:
            return outcome
        self.server.refusals.record(reason, self.client_address, self.detail)
        if self.reader.phase is not http_reader.Phase.BODY:
            http_refusals.send(self.socket, reason)
        return None

    def find_refusal(self, outcome: object) -> http_refusals.Reason | None:
        """Returns why a request was refused, or None if it wasn't.

        Args:
            outcome: What the library made of the request; a tuple if it was
                malformed or its first line too long.
        """
        reason = self.connection.closed_for or self.reader.refusal
        if reason is None and isinstance(outcome, tuple):
            return self.reason or http_refusals.Reason.TARGET_TOO_LONG
        return reason or self.reason

    def read_requestline(self) -> str:
        """Returns the request line, or nothing if it was cut off."""
        line = super().read_requestline()
        is_whole = line.endswith("\n")
        if not is_whole and len(line) < gevent.pywsgi.MAX_REQUEST_LINE:
            return ""
        self.reader.begin_headers()
        return line

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Notes why a request can't be read."""
        self.reason = http_refusals.Reason.MALFORMED
        self.detail = type(ex).__name__
        return self.detail, b""

    def get_environ(self) -> dict:
        """Returns the environment of the request, with a bounded body."""
        environ = super().get_environ()
        body = self.wsgi_input
        self.wsgi_input = RequestBody(
            body.rfile,
            body.content_length,
            socket=body.socket,
            chunked_input=body.chunked_input,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        self.reader.begin_body(
            self.server.max_body_bytes, is_chunked=body.chunked_input
        )
        return environ

    def handle_one_response(self) -> None:
        """Answers one request."""
        self.server.active += 1
        self.connection.activity = http_connections.Activity.ANSWERING
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1
            self.connection.end_request()
        if self.reader.refusal is not None:
            self.close_connection = True

    def finalize_headers(self) -> None:
        """Asks the client for another connection while draining."""
        super().finalize_headers()
        if self.server.draining or self.reader.refusal is not None:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def _sendall(self, data: bytes) -> None:
        """Sends a part of the answer, which the client may not take."""
        self.socket.settimeout(self.server.limits.answer_timeout_s)
        activity = self.connection.activity
        self.connection.activity = http_connections.Activity.WRITING
        try:
            super()._sendall(data)
        except OSError as error:
            if isinstance(error, TimeoutError):
                self.connection.closed_for = (
                    http_refusals.Reason.ANSWER_NOT_TAKEN
                )
            raise BrokenPipeError(errno.EPIPE, str(error)) from error
        finally:
            self.connection.activity = activity


class HttpServer(gevent.pywsgi.WSGIServer):
    """A WSGI server that sends each write at once.

    Attributes:
        limits: Limits on what clients may take.
        max_body_bytes: Longest body that the application takes, in bytes.
        table: Open connections.
        refusals: Counts and logs what was refused.
        starting: Connections that were accepted and have yet to begin.
        active: Requests being answered.
        draining: Whether connections end with their next answer.
    """

    handler_class = HttpHandler
    max_accept = 32

    def __init__(
        self,
        *args,
        table: http_connections.ConnectionTable,
        limits: client_limits.ClientLimits,
        max_body_bytes: int = 0,
        **kwargs,
    ) -> None:
        """Creates a server that is not started yet."""
        super().__init__(*args, log=None, **kwargs)
        self.limits = limits
        self.max_body_bytes = max_body_bytes
        self.table = table
        self.refusals = http_refusals.RefusalLog(listener=table.name)
        self.starting = 0
        self.active = 0
        self.draining = False

    def full(self) -> bool:
        """Returns whether to accept no more for the moment.

        A busy process accepts faster than it begins to serve.
        """
        return self.starting >= self.max_accept

    def init_socket(self) -> None:
        """Bounds what waits unread in each connection, then listens."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES
        )

    def do_handle(self, *args) -> None:
        """Turns Nagle's algorithm off before serving a connection."""
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.starting += 1
        super().do_handle(*args)

    def handle(self, sock: socket.socket, address: object) -> None:
        """Serves one connection if there is a place for it."""
        self.starting -= 1
        if self.started:
            self.start_accepting()
        connection = http_connections.Connection(connected=sock)
        if not self.table.admit(connection):
            self.turn_away(sock, address)
            return
        try:
            self.handler_class(sock, address, self, connection).handle()
        finally:
            self.table.remove(connection)

    def turn_away(self, sock: socket.socket, address: object) -> None:
        """Refuses a connection at once, when all others are being answered."""
        reason = http_refusals.Reason.CONNECTIONS
        self.refusals.record(reason, address)
        http_refusals.send(sock, reason)
