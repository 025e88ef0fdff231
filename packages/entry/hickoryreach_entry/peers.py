"""Calls between entry instances over thrift."""

import collections
import logging

import gevent
from gevent import event as gevent_event
import gevent.server
from thriftpy2 import rpc
from thriftpy2 import transport
from thriftpy2.protocol import cybin
from thriftpy2.thrift import TException
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import socket as thrift_socket

from hickoryreach.wire import messages

log = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
BATCH_LIMIT = 500
RETRY_S = 0.05

FIELDS = (
    "submissions",
    "queries",
    "cancellations",
    "outcomes",
    "dispatches",
    "notices",
    "heads",
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


class Peer:
    """The connection to one other entry, and what waits to be sent.

    Attributes:
        name: Name of the other entry.
        address: `host:port` of its peer interface.
    """

    def __init__(self, *, name: str, address: str, sender: str, on_receipt):
        """Creates a peer and begins to send."""
        self.name = name
        self.address = address
        self.sender = sender
        self.on_receipt = on_receipt
        self.waiting = {field: collections.deque() for field in FIELDS}
        self.pending = gevent_event.Event()
        self.client = None
        self.greenlet = gevent.spawn(self.send_forever)

    def send(self, field: str, message: object) -> None:
        """Adds one message to the next envelope."""
        self.waiting[field].append(message)
        self.pending.set()

    def send_forever(self) -> None:
        """Sends what waits, in envelopes."""
        while True:
            self.pending.wait()
            self.pending.clear()
            self.flush()

    def flush(self) -> None:
        """Sends everything that waits; what fails is dropped.

        Senders repeat what is not answered, so a lost envelope only delays.
        """
        while any(self.waiting.values()):
            envelope = messages.Envelope(sender=self.sender)
            for field in FIELDS:
                setattr(envelope, field, self.take(field))
            try:
                receipt = self.connect().deliver(envelope)
            except (TException, OSError, EOFError) as error:
                log.warning(
                    "peer_send_failed",
                    extra={"peer": self.name, "error": str(error)},
                )
                self.disconnect()
                gevent.sleep(RETRY_S)
                continue
            self.on_receipt(receipt)

    def take(self, field: str) -> list:
        """Returns up to a batch of what waits in one field."""
        waiting = self.waiting[field]
        count = min(len(waiting), BATCH_LIMIT)
        return [waiting.popleft() for _ in range(count)]

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
