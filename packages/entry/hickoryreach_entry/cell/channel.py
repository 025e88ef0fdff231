"""Connections between entries that carry calls and messages both ways."""

from collections.abc import Callable
import logging
import socket
import struct
import time

import gevent
from gevent import event as gevent_event
from gevent import queue as gevent_queue
import gevent.server

from hickoryreach.wire import frame_checks
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import metrics

log = logging.getLogger(__name__)

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 4_000_000
MAX_NEWCOMER_FRAME_BYTES = 4_096
MAX_NEWCOMER_FRAMES = 16
MAX_OUTBOX_FRAMES = 20_000
MAX_NEWCOMERS = 128
MAX_ACCEPT = 32
CONNECT_TIMEOUT_S = 0.5
FLUSH_TIMEOUT_S = 0.5

Handler = Callable[["Channel", str, object], object | None]


class Channel:
    """One connection to another entry, with length-prefixed frames.

    Attributes:
        known: Whether the other side is known to be an entry.
        newcomer_frames: Frames that came while it was not.
        peer: Information from the other side's greeting, or None before it.
        opened_at: When the channel was opened, on the monotonic clock in s.
        last_received_at: When the last frame arrived, on the boot clock in s.
        closed: Set once the connection has ended.
        reason: Why it ended.
        number: Number of the last call.
        waiters: Results of the unanswered calls by number.
        outbox: Encoded frames that are not written yet.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        handle: Handler,
        on_closed: Callable[["Channel"], None] = lambda channel: None,
        known: bool = True,
    ) -> None:
        """Starts to read from and write to an open connection.

        Args:
            connection: The open connection.
            handle: Called with the channel, the name and the content of each
                message; returns the answer, if the message has one.
            on_closed: Called once the connection has ended.
            known: Whether the other side is known to be an entry. One that
                is not may send a few short frames before its greeting.
        """
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        self.handle = handle
        self.on_closed = on_closed
        self.known = known
        self.newcomer_frames = 0
        self.peer: frames.PeerInfo | None = None
        self.opened_at = time.monotonic()
        self.last_received_at = clock.boot_s()
        self.closed = gevent_event.Event()
        self.reason = ""
        self.number = 0
        self.waiters: dict[int, gevent_event.AsyncResult] = {}
        self.outbox: gevent_queue.Queue = gevent_queue.Queue(MAX_OUTBOX_FRAMES)
        gevent.spawn(self._read_forever)
        gevent.spawn(self._write_forever)

    def send(self, **message: object) -> None:
        """Sends one message without waiting for an answer.

        Args:
            **message: Field of the frame and its content.
        """
        self._enqueue(frames.Frame(**message))

    def call(self, timeout_s: float, **message: object) -> object | None:
        """Sends one message and returns its answer.

        Args:
            timeout_s: Longest time to wait for the answer, in s.
            **message: Field of the frame and its content.

        Returns:
            The answer, or None if none arrived before the timeout or the end
            of the connection.
        """
        if self.closed.is_set():
            return None
        self.number += 1
        number = self.number
        waiter = gevent_event.AsyncResult()
        self.waiters[number] = waiter
        self._enqueue(frames.Frame(number=number, **message))
        try:
            return waiter.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            self.waiters.pop(number, None)

    def _enqueue(self, frame: frames.Frame) -> None:
        try:
            self.outbox.put_nowait(frames.encode(frame))
        except gevent_queue.Full:
            self.close("outbox_full")

    def _write_forever(self) -> None:
        """Writes what is sent, then ends the connection."""
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
                break
            metrics.peer_bytes.inc(len(data))
        self._disconnect()

    def _disconnect(self) -> None:
        """Ends the connection, also for the other side.

        Closing the socket alone would not, while a reader holds it.
        """
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("channel_already_ended", extra={"reason": str(error)})
        self.connection.close()

    def _read_forever(self) -> None:
        try:
            reader = self.connection.makefile("rb")
            while not self.closed.is_set():
                header = reader.read(HEADER.size)
                if len(header) < HEADER.size:
                    raise EOFError("connection closed by peer")
                (size,) = HEADER.unpack(header)
                self._check_size(size)
                frame = self._decode(reader.read(size))
                if not self.closed.is_set():
                    self._handle_frame(frame)
        except (OSError, EOFError, ValueError) as error:
            self.close(str(error))
        except Exception as error:  # noqa: BLE001  thrift's errors have no base
            self.close(f"undecodable frame: {error}")

    def _decode(self, data: bytes) -> frames.Frame:
        """Returns a frame; it is checked first if anyone may have sent it."""
        if not self.known:
            frame_checks.check(data)
        return frames.decode(data)

    def is_newcomer(self) -> bool:
        """Returns whether the other side has yet to introduce itself."""
        return not self.known and self.peer is None

    def _check_size(self, size: int) -> None:
        """Checks that a frame may come from the other side.

        Raises:
            EOFError: It is too long, or one too many of a newcomer.
        """
        limit = MAX_FRAME_BYTES
        if self.is_newcomer():
            limit = MAX_NEWCOMER_FRAME_BYTES
            self.newcomer_frames += 1
        if size > limit or self.newcomer_frames > MAX_NEWCOMER_FRAMES:
            raise EOFError(f"frame of {size} bytes exceeds the limit")

    def _handle_frame(self, frame: frames.Frame) -> None:
        self.last_received_at = clock.boot_s()
        name, message = frames.get_message(frame)
        if frame.answer:
            waiter = self.waiters.get(frame.number)
            if waiter is not None:
                waiter.set(message)
        elif frame.number:
            gevent.spawn(self._send_answer, frame.number, name, message)
        else:
            self.handle(self, name, message)

    def _send_answer(self, number: int, name: str, message: object) -> None:
        answer = self.handle(self, name, message)
        if answer is None:
            return
        field = _get_field_name(answer)
        self._enqueue(
            frames.Frame(number=number, answer=True, **{field: answer})
        )

    def close(self, reason: str) -> None:
        """Ends the connection; unanswered calls return None.

        What was sent before is still written, for `FLUSH_TIMEOUT_S` at most.
        """
        if self.closed.is_set():
            return
        self.reason = reason
        self.closed.set()
        gevent.spawn_later(FLUSH_TIMEOUT_S, self._disconnect)
        for waiter in list(self.waiters.values()):
            waiter.set(None)
        if not self.outbox.full():
            self.outbox.put_nowait(b"")
        self.on_closed(self)


_FIELDS_BY_TYPE = {
    frames.JobReport: "job_report",
    frames.AdviceReport: "advice_report",
    frames.OwnerReport: "owner_report",
    frames.Status: "status",
}


def _get_field_name(answer: object) -> str:
    return _FIELDS_BY_TYPE[type(answer)]


def connect(
    address: str,
    handle: Handler,
    on_closed: Callable[[Channel], None] = lambda channel: None,
) -> Channel:
    """Connects to another entry.

    Args:
        address: `host:port` of the other entry.
        handle: Handler of its messages.
        on_closed: Called once the connection has ended.

    Returns:
        The open channel.

    Raises:
        OSError: The other entry can't be reached in time or refuses the
            connection.
    """
    try:
        host, port = address.rsplit(":", 1)
        connection = gevent.socket.create_connection(
            (host, int(port)), timeout=CONNECT_TIMEOUT_S
        )
    except (AttributeError, OverflowError, TypeError, ValueError) as error:
        raise ConnectionError(f"malformed address: {error}") from error
    connection.settimeout(None)
    return Channel(connection=connection, handle=handle, on_closed=on_closed)


class Newcomers:
    """Channels whose other side has yet to introduce itself.

    Attributes:
        limit: Most such channels at a time.
        channels: The channels, the oldest first.
    """

    def __init__(self, *, limit: int) -> None:
        """Starts without a channel."""
        self.limit = limit
        self.channels: list[Channel] = []

    def add(self, newcomer: Channel) -> None:
        """Adds a channel, if need be in the place of the oldest one."""
        self.channels = [
            each
            for each in self.channels
            if each.is_newcomer() and not each.closed.is_set()
        ]
        while len(self.channels) >= self.limit:
            oldest = self.channels.pop(0)
            metrics.newcomers_closed.inc()
            oldest.close("place taken by a newer connection")
        self.channels.append(newcomer)


def serve(
    address: str,
    handle: Handler,
    on_closed: Callable[[Channel], None],
    max_newcomers: int = MAX_NEWCOMERS,
) -> gevent.server.StreamServer:
    """Starts a server that opens a channel for each connection.

    Args:
        address: `host:port` to listen at.
        handle: Handler of the messages of all channels.
        on_closed: Called with each channel that has ended.
        max_newcomers: Most channels whose other side has yet to introduce
            itself.
    """
    host, port = address.rsplit(":", 1)
    newcomers = Newcomers(limit=max_newcomers)

    def serve_channel(connection: socket.socket, _: object) -> None:
        accepted = Channel(
            connection=connection,
            handle=handle,
            on_closed=on_closed,
            known=False,
        )
        newcomers.add(accepted)
        accepted.closed.wait()

    server = gevent.server.StreamServer((host, int(port)), serve_channel)
    server.max_accept = MAX_ACCEPT
    server.start()
    return server
