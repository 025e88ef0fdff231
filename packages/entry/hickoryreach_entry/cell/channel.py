"""Connections between entries that carry numbered frames both ways."""

from collections.abc import Callable
import logging
import socket
import struct
import time

import gevent
from gevent import event as gevent_event
from gevent import queue as gevent_queue
import gevent.server

from hickoryreach.wire import frames
from hickoryreach_entry.cell import metrics

log = logging.getLogger(__name__)

HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 4_000_000
OUTBOX_LIMIT = 20_000
CONNECT_TIMEOUT_S = 0.5

Handler = Callable[["Channel", str, object], object | None]


class Channel:
    """One connection to another entry.

    Attributes:
        peer: What the other side said of itself, or None.
        opened_at: When it was opened, on the steady clock in s.
        last_received_at: When it was last heard, in s.
        closed: Set once the connection has ended.
        reason: Why it ended.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        handle: Handler,
        on_closed: Callable[["Channel"], None] = lambda channel: None,
    ) -> None:
        """Begins to read and write on an open connection."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        self.handle = handle
        self.on_closed = on_closed
        self.peer: frames.PeerInfo | None = None
        self.opened_at = self.last_received_at = time.monotonic()
        self.closed = gevent_event.Event()
        self.reason = ""
        self.number = 0
        self.waiting: dict[int, gevent_event.AsyncResult] = {}
        self.outbox: gevent_queue.Queue = gevent_queue.Queue(OUTBOX_LIMIT)
        gevent.spawn(self._read_forever)
        gevent.spawn(self._write_forever)

    def send(self, **message: object) -> None:
        """Sends one message that needs no answer."""
        self._put(frames.Frame(**message))

    def call(self, timeout_s: float, **message: object) -> object | None:
        """Sends one message and returns its answer, or None without one."""
        if self.closed.is_set():
            return None
        self.number += 1
        number = self.number
        waiter = gevent_event.AsyncResult()
        self.waiting[number] = waiter
        self._put(frames.Frame(number=number, **message))
        try:
            return waiter.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            self.waiting.pop(number, None)

    def _put(self, frame: frames.Frame) -> None:
        try:
            self.outbox.put_nowait(frames.encode(frame))
        except gevent_queue.Full:
            self.close("outbox_full")

    def _write_forever(self) -> None:
        while not self.closed.is_set():
            parts = [self.outbox.get()]
            while not self.outbox.empty():
                parts.append(self.outbox.get_nowait())
            data = b"".join(
                HEADER.pack(len(part)) + part for part in parts if part
            )
            try:
                self.connection.sendall(data)
            except OSError as error:
                self.close(str(error))
                return
            metrics.peer_bytes.inc(len(data))

    def _read_forever(self) -> None:
        try:
            reader = self.connection.makefile("rb")
            while True:
                header = reader.read(HEADER.size)
                if len(header) < HEADER.size:
                    raise EOFError("connection closed")
                (size,) = HEADER.unpack(header)
                if size > FRAME_LIMIT_BYTES:
                    raise EOFError(f"frame of {size} bytes")
                self._take(frames.decode(reader.read(size)))
        except (OSError, EOFError, ValueError) as error:
            self.close(str(error))
        except Exception as error:  # noqa: BLE001  thrift's errors
            self.close(f"undecodable frame: {error}")

    def _take(self, frame: frames.Frame) -> None:
        self.last_received_at = time.monotonic()
        name, message = frames.get_message(frame)
        if frame.answer:
            waiter = self.waiting.get(frame.number)
            if waiter is not None:
                waiter.set(message)
        elif frame.number:
            gevent.spawn(self._answer, frame.number, name, message)
        else:
            self.handle(self, name, message)

    def _answer(self, number: int, name: str, message: object) -> None:
        answer = self.handle(self, name, message)
        if answer is None:
            return
        field = _name_field(answer)
        self._put(frames.Frame(number=number, answer=True, **{field: answer}))

    def close(self, reason: str) -> None:
        """Ends the connection; callers that wait get no answer."""
        if self.closed.is_set():
            return
        self.reason = reason
        self.closed.set()
        self.connection.close()
        for waiter in list(self.waiting.values()):
            waiter.set(None)
        if not self.outbox.full():
            self.outbox.put_nowait(b"")
        self.on_closed(self)


_FIELDS = {
    frames.JobReport: "job_report",
    frames.AdviceReport: "advice_report",
    frames.OwnerReport: "owner_report",
    frames.Status: "status",
}


def _name_field(answer: object) -> str:
    return _FIELDS[type(answer)]


def connect(
    address: str,
    handle: Handler,
    on_closed: Callable[[Channel], None] = lambda channel: None,
) -> Channel:
    """Returns an open channel.

    Raises:
        OSError: The other side does not accept the connection.
    """
    host, port = address.rsplit(":", 1)
    connection = gevent.socket.create_connection(
        (host, int(port)), timeout=CONNECT_TIMEOUT_S
    )
    connection.settimeout(None)
    return Channel(connection=connection, handle=handle, on_closed=on_closed)


def serve(
    address: str,
    handle: Handler,
    on_closed: Callable[[Channel], None],
) -> gevent.server.StreamServer:
    """Returns a started server of channels."""
    host, port = address.rsplit(":", 1)

    def accept(connection: socket.socket, _: object) -> None:
        Channel(
            connection=connection, handle=handle, on_closed=on_closed
        ).closed.wait()

    server = gevent.server.StreamServer((host, int(port)), accept)
    server.start()
    return server
