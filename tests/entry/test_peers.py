"""Tests of what one entry sends to another."""

import unittest

from hickoryreach.wire import messages
from hickoryreach_entry import peers


class FakeClient:
    """Keeps every envelope, and answers unless told otherwise."""

    def __init__(self) -> None:
        """Creates a client that answers."""
        self.envelopes: list[messages.Envelope] = []
        self.broken = False

    def deliver(self, envelope: messages.Envelope) -> messages.Receipt:
        """Takes an envelope, or fails."""
        if self.broken:
            raise OSError("reset")
        self.envelopes.append(envelope)
        return messages.Receipt(receiver="e2")

    def close(self) -> None:
        """Ends nothing."""


class PeerTest(unittest.TestCase):
    """List heads in the envelopes of a busy peer."""

    def setUp(self):
        head = messages.ListHead(name="plans", revision=1)
        self.peer = peers.Peer(
            name="e2",
            address="127.0.0.1:1",
            build_envelope=lambda: messages.Envelope(sender="e1", heads=[head]),
            on_receipt=lambda name, receipt: None,
        )
        self.peer.greenlet.kill(block=False)
        self.client = FakeClient()
        self.peer.client = self.client

    def test_heads_are_not_in_each_of_many_envelopes(self):
        for _ in range(3):
            self.assertTrue(self.peer.flush())
        sent = [len(envelope.heads) for envelope in self.client.envelopes]
        self.assertEqual(sent, [1, 0, 0])

    def test_heads_are_sent_again_after_a_while(self):
        self.peer.flush()
        self.peer.heads_at -= peers.HEADS_S
        self.peer.flush()
        self.assertEqual(len(self.client.envelopes[1].heads), 1)

    def test_heads_are_sent_again_after_a_failure(self):
        self.client.broken = True
        self.assertFalse(self.peer.flush())
        self.client.broken = False
        self.peer.client = self.client
        self.peer.flush()
        self.assertEqual(len(self.client.envelopes[0].heads), 1)


if __name__ == "__main__":
    unittest.main()
