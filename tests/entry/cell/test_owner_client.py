"""Tests of what callers are told of the owner's counts."""

import types
import unittest

from hickoryreach.wire import frames
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import owner_client


class PendingTest(unittest.TestCase):
    """Counts of waiting jobs."""

    def setUp(self) -> None:
        """Follows an owner."""
        member = types.SimpleNamespace(owner=None)
        self.election = election.Election(member=member)
        self.election.owner_channel = types.SimpleNamespace()
        self.owner_client = owner_client.OwnerClient(
            member=member, election=self.election
        )

    def take(self, **words: object) -> None:
        """Takes a status."""
        status = frames.Status(epoch=2, succession=[], **words)
        self.election.handle_status(self.election.owner_channel, status)

    def get(self, after_s: float = 0.0) -> int | None:
        """Returns the count of one queue."""
        self.election.pending_received_at -= after_s
        return self.owner_client.get_pending("runs", 2.0)

    def test_an_owner_that_takes_over_has_no_counts(self) -> None:
        self.take(pending={}, serving=False)
        self.assertIsNone(self.get())

    def test_the_last_counts_stand_while_another_takes_over(self) -> None:
        self.take(pending={"runs": 8}, serving=True)
        self.take(pending={}, serving=False)
        self.assertEqual(self.get(), 8)
        self.assertIsNone(self.get(after_s=2.5))
