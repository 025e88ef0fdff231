"""Tests of who is suspected of having failed."""

import unittest

from hickoryreach.wire import messages
from hickoryreach_entry import detector
from tests.entry import fakes

MEMBERS = ("e1", "e2", "e3", "e4")


class DetectorTest(unittest.TestCase):
    """Entry e1 listens to three others."""

    def setUp(self):
        self.clock = fakes.Clock()
        self.enterContext(self.clock.in_force())
        self.detector = detector.Detector(name="e1")

    def tell(self, name: str, heard: tuple[str, ...], **fields) -> bool:
        """Takes in a status."""
        status = messages.Status(heard=list(heard), **fields)
        return self.detector.take(name, status, self.clock(), answered=True)

    def is_suspected(self, name: str) -> bool:
        """Returns whether an entry is suspected now."""
        return self.detector.is_suspected(name, MEMBERS, self.clock())

    def test_one_entry_alone_suspects_nobody(self):
        for name in MEMBERS[1:]:
            self.tell(name, MEMBERS)
        self.clock.move(detector.HEARD_S + 0.1)
        self.tell("e3", ("e1", "e2", "e4"))
        self.tell("e4", ("e1", "e2", "e3"))
        self.assertFalse(self.is_suspected("e2"))

    def test_most_entries_together_do(self):
        for name in MEMBERS[1:]:
            self.tell(name, MEMBERS)
        self.clock.move(detector.HEARD_S + 0.1)
        self.tell("e3", ("e1", "e4"))
        self.tell("e4", ("e1", "e3"))
        self.assertTrue(self.is_suspected("e2"))
        self.tell("e2", MEMBERS)
        self.assertFalse(self.is_suspected("e2"))

    def test_an_entry_that_hears_nobody_suspects_all(self):
        for name in MEMBERS[1:]:
            self.tell(name, MEMBERS)
        self.clock.move(detector.HEARD_S + 0.1)
        self.assertTrue(all(map(self.is_suspected, MEMBERS[1:])))

    def test_a_refused_connection_counts_at_once(self):
        for name in MEMBERS[1:]:
            self.tell(name, ("e1", "e3", "e4"))
        self.assertTrue(self.detector.note_refused("e2"))
        self.assertTrue(self.is_suspected("e2"))
        self.assertFalse(self.detector.note_refused("e2"))

    def test_an_entry_never_heard_is_left_to_its_lease(self):
        self.assertFalse(self.is_suspected("e2"))

    def test_only_changes_of_claims_and_state_are_news(self):
        claims = [messages.Claim(shard=0, term=3)]
        self.assertTrue(self.tell("e2", MEMBERS))
        self.assertFalse(self.tell("e2", ()))
        self.assertTrue(self.tell("e2", (), claims=claims))
        self.assertTrue(self.tell("e2", (), claims=claims, draining=True))

    def test_a_new_entry_waits_to_hear_all(self):
        self.assertFalse(self.detector.is_settled(MEMBERS, self.clock()))
        for name in MEMBERS[1:]:
            self.tell(name, MEMBERS)
        self.assertTrue(self.detector.is_settled(MEMBERS, self.clock()))
        late = detector.Detector(name="e1")
        self.clock.move(detector.HEARD_S + 0.1)
        self.assertTrue(late.is_settled(MEMBERS, self.clock()))


if __name__ == "__main__":
    unittest.main()
