"""Calls between entry instances over thrift."""

import collections
from collections.abc import Callable
import logging
import time

import gevent
from gevent import event as gevent_event
import gevent.server
from thriftpy2 import rpc
from thriftpy2 import transport
from thriftpy2.protocol import cybin
from thriftpy2.thrift import TException
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TTransportException
from thriftpy2.transport import socket as thrift_socket

from hickoryreach.wire import messages
from hickoryreach_entry import greenlets
from hickoryreach_entry import metrics

log = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
BATCH_LIMIT = 500
QUEUE_LIMIT = 20_000
RETRY_S = 0.05
HEARTBEAT_S = 0.5
HEADS_S = 0.25

FIELDS = (
    "submissions",
    "queries",
    "cancellations",
    "outcomes",
    "dispatches",
    "notices",
)

_protocol_factory = cybin.TCyBinaryProtocolFactory()
_transport_factory = transport.TBufferedTransportFactory()


class PeerServer:
    """Serves the peer interface on one address.

    Attributes:
        handler: Object with the methods of the thrift service.
    """

    def __init__(self, *, host: str, port: int, handler: object) -> None:
        """Creates a server that is not started yet."""
        self.processor = TProcessor(messages.Peer, handler)
        self.server = gevent.server.StreamServer((host, port), self.serve)

    def start(self) -> None:
        """Begins to accept connections."""
        self.server.start()

    def serve(self, connection, address) -> None:
        """Serves one connection until its end."""
        channel = thrift_socket.TSocket()
        channel.set_handle(connection)
        buffered = _transport_factory.get_transport(channel)
        protocol = _protocol_factory.get_protocol(buffered)
        try:
            while True:
                self.processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            log.debug("peer_connection_ended", extra={"peer": str(address)})
        finally:
            buffered.close()


class Outbox:
    """Messages that wait to be sent, in queues of bounded length.

    Attributes:
        waiting: Messages by envelope field.
        pending: Set while something waits.
    """

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self.waiting = {field: collections.deque() for field in FIELDS}
        self.pending = gevent_event.Event()

    def put(self, field: str, message: object) -> None:
        """Adds a message; above the limit it is dropped.

        Senders repeat what is not answered, so a drop only delays.
        """
        if len(self.waiting[field]) >= QUEUE_LIMIT:
            metrics.peer_messages_dropped.labels("full").inc()
            return
        self.waiting[field].append(message)
        self.pending.set()

    def take(self, envelope: messages.Envelope) -> int:
        """Moves up to a batch of each field; returns how many messages."""
        count = 0
        for field, waiting in self.waiting.items():
            batch = [
                waiting.popleft() for _ in range(min(len(waiting), BATCH_LIMIT))
            ]
            setattr(envelope, field, batch)
            count += len(batch)
        return count

    def has_messages(self) -> bool:
        """Returns whether something waits."""
        return any(self.waiting.values())


class Peer:
    """The connection to one other entry, and what waits to be sent.

    Attributes:
        name: Name of the other entry.
        address: `host:port` of its peer interface.
        outbox: What waits to be sent.
        heads_at: When list heads were last sent, in s.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        build_envelope: Callable[[], messages.Envelope],
        on_receipt: Callable[[str, messages.Receipt], None],
        on_refused: Callable[[str], None] = lambda name: None,
    ) -> None:
        """Creates a peer and begins to send."""
        self.name = name
        self.address = address
        self.build_envelope = build_envelope
        self.on_receipt = on_receipt
        self.on_refused = on_refused
        self.outbox = Outbox()
        self.client = None
        self.failing = False
        self.heads_at = 0.0
        self.greenlet = greenlets.spawn_vital(self.send_forever)

    def send(self, field: str, message: object) -> None:
        """Adds one message to the next envelope."""
        self.outbox.put(field, message)

    def send_forever(self) -> None:
        """Sends what waits, and an empty envelope as a heartbeat."""
        while True:
            self.outbox.pending.clear()
            sent = self.flush()
            if not sent:
                gevent.sleep(RETRY_S)
            if not self.outbox.has_messages():
                self.outbox.pending.wait(HEARTBEAT_S)

    def flush(self) -> bool:
        """Sends one envelope; returns whether it was answered.

        Senders repeat what is not answered, so what fails is dropped.
        """
        envelope = self.build_envelope()
        self.space_heads(envelope, time.monotonic())
        count = self.outbox.take(envelope)
        try:
            receipt = self.connect().deliver(envelope)
        except (TException, OSError, EOFError) as error:
            self.fail(count, error)
            return False
        self.failing = False
        self.on_receipt(self.name, receipt)
        return True

    def space_heads(self, envelope: messages.Envelope, now: float) -> None:
        """Leaves list heads out of an envelope soon after the last ones.

        Under load envelopes follow one another within milliseconds, and the
        heads would take more bytes than the messages.
        """
        if now - self.heads_at < HEADS_S:
            envelope.heads = []
            return
        self.heads_at = now

    def fail(self, count: int, error: Exception) -> None:
        """Notes an envelope that was not answered."""
        if count:
            metrics.peer_messages_dropped.labels("failed").inc(count)
        if not self.failing:
            log.warning(
                "peer_send_failed",
                extra={"peer": self.name, "error": str(error)},
            )
        self.failing = True
        self.heads_at = 0.0
        self.disconnect()
        if is_refusal(error):
            self.on_refused(self.name)

    def connect(self):
        """Returns the open client, opening it when needed."""
        if self.client is None:
            self.client = open_client(self.address)
        return self.client

    def disconnect(self) -> None:
        """Closes the client."""
        if self.client is not None:
            self.client.close()
            self.client = None

    def close(self) -> None:
        """Stops sending."""
        self.greenlet.kill(block=False)
        self.disconnect()


class LocalPeer:
    """Messages of an entry to itself, delivered outside the sender's call.

    Attributes:
        outbox: What waits to be delivered.
    """

    def __init__(
        self,
        *,
        build_envelope: Callable[[], messages.Envelope],
        deliver: Callable[[messages.Envelope], messages.Receipt],
    ) -> None:
        """Creates the peer and begins to deliver."""
        self.build_envelope = build_envelope
        self.deliver = deliver
        self.outbox = Outbox()
        self.greenlet = greenlets.spawn_vital(self.deliver_forever)

    def send(self, field: str, message: object) -> None:
        """Adds one message to the next envelope."""
        self.outbox.put(field, message)

    def deliver_forever(self) -> None:
        """Delivers what waits."""
        while True:
            self.outbox.pending.wait()
            self.outbox.pending.clear()
            while self.outbox.has_messages():
                envelope = self.build_envelope()
                self.outbox.take(envelope)
                self.deliver(envelope)

    def close(self) -> None:
        """Stops delivering."""
        self.greenlet.kill(block=False)


def is_refusal(error: Exception) -> bool:
    """Returns whether a call failed since nobody listens."""
    return (
        isinstance(error, TTransportException)
        and error.type == TTransportException.NOT_OPEN
    )


def open_client(address: str):
    """Opens a client of the peer interface.

    Raises:
        TException: The peer does not accept the connection.
    """
    host, port = address.rsplit(":", 1)
    return rpc.make_client(
        messages.Peer,
        host,
        int(port),
        proto_factory=_protocol_factory,
        trans_factory=_transport_factory,
        timeout=CALL_TIMEOUT_MS,
    )


def list_jobs(
    address: str, request: messages.ListRequest
) -> messages.ListReply | None:
    """Asks an entry for the jobs of a shard; None when it does not answer."""
    client = None
    try:
        client = open_client(address)
        return client.list_jobs(request)
    except (TException, OSError, EOFError) as error:
        log.warning("list_failed", extra={"error": str(error)})
        return None
    finally:
        if client is not None:
            client.close()
