"""Tests of the counts of pending jobs that callers get."""

import types
import unittest

from hickoryreach.wire import frames
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import owner_client


class PendingTest(unittest.TestCase):
    """Counts that the owner has reported."""

    def setUp(self) -> None:
        """Connects to an owner."""
        member = types.SimpleNamespace(
            owner=None, cell_clock=cell_clock.CellClock()
        )
        self.election = election.Election(member=member)
        self.election.owner_channel = types.SimpleNamespace()
        self.owner_client = owner_client.OwnerClient(
            member=member, election=self.election
        )

    def handle_status(self, **words: object) -> None:
        """Handles a status from the owner."""
        status = frames.Status(epoch=2, succession=[], **words)
        self.election.handle_status(self.election.owner_channel, status)

    def get_pending(self, after_s: float = 0.0) -> int | None:
        """Returns the count of one queue after some time."""
        self.election.last_status.pending_received_at -= after_s
        return self.owner_client.get_pending("runs", 2.0)

    def test_an_owner_in_takeover_has_no_counts(self) -> None:
        self.handle_status(pending={}, serving=False)
        self.assertIsNone(self.get_pending())

    def test_the_last_counts_are_used_during_a_takeover(self) -> None:
        self.handle_status(pending={"runs": 8}, serving=True)
        self.handle_status(pending={}, serving=False)
        self.assertEqual(self.get_pending(), 8)
        self.assertIsNone(self.get_pending(after_s=2.5))
