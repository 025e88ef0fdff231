"""Tests of connections between entries."""

from collections.abc import Callable
import types
import unittest
from unittest import mock

import gevent
import gevent.socket

from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import owner_lookup

LIMIT_S = 2.0
UNREAD_FRAMES = 40
FRAME_BYTES = 1_000_000
ODD_ADDRESSES = (
    *("", "x", ":", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999", None),
    *("127.0.0.1:-1", "127.0.0.1:" + "9" * 400, "\x00:1", "\ud800:1"),
    "x" * 300 + ":1",
)


class ClosedChannelTest(unittest.TestCase):
    """One side closes a channel that is open and idle."""

    def setUp(self) -> None:
        """Opens a channel to a server that keeps its own side."""
        self.served: list[channel.Channel] = []
        self.names: list[str] = []
        self.server = channel.serve(
            "127.0.0.1:0", self.handle, lambda peer: None
        )
        self.addCleanup(self.server.stop, 0)
        self.near = channel.connect(
            f"127.0.0.1:{self.server.server_port}", self.handle
        )
        self.addCleanup(self.near.close, "test ended")
        self.send_pulse(self.near)
        self.wait(lambda: self.served)
        (self.far,) = self.served
        self.names.clear()

    def handle(self, peer: channel.Channel, name: str, message: object) -> None:
        """Records a message and the channel on which it came."""
        self.served.append(peer)
        self.names.append(name)

    def send_pulse(self, peer: channel.Channel) -> None:
        """Sends a message that has no answer."""
        peer.send(pulse=frames.Pulse(store_age_ms=1, wall_ms=1))

    def wait(self, is_done: Callable[[], object]) -> None:
        """Waits until a condition holds."""
        with gevent.Timeout(LIMIT_S):
            while not is_done():
                gevent.sleep(0.01)

    def test_the_other_side_learns_of_the_end(self) -> None:
        for peer, other in ((self.near, self.far), (self.far, self.near)):
            with self.subTest(peer is self.near):
                peer.close("no longer used")
                self.assertTrue(other.closed.wait(LIMIT_S))

    def test_what_was_sent_before_the_end_arrives(self) -> None:
        for _ in range(3):
            self.send_pulse(self.far)
        self.far.close("no longer used")
        self.assertTrue(self.near.closed.wait(LIMIT_S))
        self.assertEqual(self.names, 3 * ["pulse"])

    def test_what_arrives_after_the_end_is_not_handled(self) -> None:
        self.send_pulse(self.near)
        self.far.close("no longer used")
        self.assertTrue(self.near.closed.wait(LIMIT_S))
        self.assertEqual(self.names, [])

    def test_a_side_that_does_not_read_keeps_no_connection(self) -> None:
        with gevent.socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            near = channel.connect(f"127.0.0.1:{port}", self.handle)
            far, _ = listener.accept()
        with far, gevent.Timeout(2 * LIMIT_S):
            for _ in range(UNREAD_FRAMES):
                near.send(submission=frames.Submission(job=bytes(FRAME_BYTES)))
            gevent.sleep(0.1)
            near.close("no longer used")
            gevent.sleep(2 * channel.FLUSH_TIMEOUT_S)
            received = sum(iter(lambda: len(far.recv(FRAME_BYTES)), 0))
        self.assertLess(received, UNREAD_FRAMES * FRAME_BYTES)


class NewcomerTest(unittest.TestCase):
    """Connections whose other side has yet to introduce itself."""

    def setUp(self) -> None:
        """Starts a server with places for two of them."""
        self.served: list[channel.Channel] = []
        self.names: list[str] = []
        self.server = channel.serve(
            "127.0.0.1:0", self.handle, lambda peer: None, max_newcomers=2
        )
        self.addCleanup(self.server.stop, 0)

    def handle(self, peer: channel.Channel, name: str, message: object) -> None:
        """Takes a greeting, and records each message."""
        if isinstance(message, frames.Greeting):
            peer.peer = message.peer
        self.names.append(name)

    def connect(self) -> channel.Channel:
        """Returns a channel that has sent nothing."""
        near = channel.connect(
            f"127.0.0.1:{self.server.server_port}", self.handle
        )
        self.addCleanup(near.close, "test ended")
        gevent.sleep(0.02)
        return near

    def greet(self, near: channel.Channel) -> None:
        """Introduces a channel's side as an entry."""
        peer = frames.PeerInfo(name="e", address="127.0.0.1:1")
        near.send(greeting=frames.Greeting(peer=peer))
        gevent.sleep(0.02)

    def test_the_oldest_gives_its_place(self) -> None:
        first, second, third = (self.connect() for _ in range(3))
        self.assertTrue(first.closed.wait(LIMIT_S))
        self.assertFalse(second.closed.is_set())
        self.assertFalse(third.closed.is_set())

    def test_an_entry_keeps_its_connection(self) -> None:
        entry = self.connect()
        self.greet(entry)
        others = [self.connect() for _ in range(4)]
        self.assertTrue(others[0].closed.wait(LIMIT_S))
        self.assertFalse(entry.closed.is_set())

    def test_a_newcomer_sends_no_long_frame(self) -> None:
        near = self.connect()
        job = bytes(2 * channel.MAX_NEWCOMER_FRAME_BYTES)
        near.send(submission=frames.Submission(job=job))
        self.assertTrue(near.closed.wait(LIMIT_S))
        self.assertEqual(self.names, [])

    def test_a_newcomer_sends_few_frames(self) -> None:
        near = self.connect()
        for _ in range(channel.MAX_NEWCOMER_FRAMES + 1):
            near.send(pulse=frames.Pulse(store_age_ms=1, wall_ms=1))
        self.assertTrue(near.closed.wait(LIMIT_S))
        self.assertEqual(len(self.names), channel.MAX_NEWCOMER_FRAMES)

    def test_an_entry_sends_long_frames_and_many(self) -> None:
        near = self.connect()
        self.greet(near)
        job = bytes(2 * channel.MAX_NEWCOMER_FRAME_BYTES)
        for _ in range(2 * channel.MAX_NEWCOMER_FRAMES):
            near.send(submission=frames.Submission(job=job))
        gevent.sleep(0.1)
        self.assertEqual(len(self.names), 2 * channel.MAX_NEWCOMER_FRAMES + 1)


class OddAddressTest(unittest.TestCase):
    """An odd address counts as an entry that can't be reached."""

    def test_connecting_reports_that_the_entry_is_unreachable(self) -> None:
        for address in ODD_ADDRESSES:
            name = str(address)[:20].encode("utf-8", "replace")
            with self.subTest(name), self.assertRaises(OSError):
                channel.connect(address, mock.Mock())

    def test_an_odd_address_is_asked_beside_others(self) -> None:
        member = types.SimpleNamespace(
            own_info=frames.PeerInfo(name="me", address="127.0.0.1:1"),
            handle=mock.Mock(),
        )
        lookup = owner_lookup.OwnerLookup(member=member)
        self.assertEqual(lookup.query_addresses(ODD_ADDRESSES), [])
