"""Tests of the members known through outages of the store."""

import unittest

import orjson

from hickoryreach.trial import store
from hickoryreach_entry import membership
from tests.entry import fakes


def make_member(name: str, **fields) -> membership.Member:
    """Returns a member."""
    return membership.Member(
        name=name, peer_address="127.0.0.1:1", failure_domain="a", **fields
    )


def make_snapshot(*members: membership.Member) -> store.Snapshot:
    """Returns what the store tells."""
    return store.Snapshot(
        values=tuple(
            store.Value(key=each.name, data=orjson.dumps(each), index=1)
            for each in members
        ),
        index=1,
    )


class MembershipTest(unittest.TestCase):
    """Three members."""

    def setUp(self):
        self.changes = 0
        self.known = membership.Membership(
            client=fakes.FakeStore(), me=make_member("e1"), lease_s=4.0
        )
        self.known.listeners.append(self.count)
        self.all = [make_member(name) for name in ("e1", "e2", "e3")]
        self.known.take(make_snapshot(*self.all))

    def count(self) -> None:
        """Counts a change."""
        self.changes += 1

    def test_lapsed_records_of_those_heard_are_not_believed(self):
        self.known.is_heard = lambda name: name == "e2"
        self.known.take(make_snapshot())
        self.assertEqual(set(self.known.members), {"e1", "e2"})

    def test_who_falls_silent_later_is_dropped_then(self):
        self.known.is_heard = lambda name: True
        self.known.take(make_snapshot())
        self.assertEqual(len(self.known.members), 3)
        self.known.is_heard = lambda name: False
        self.known.refresh()
        self.assertEqual(set(self.known.members), {"e1"})

    def test_who_drained_and_left_is_dropped_though_still_heard(self):
        self.known.is_heard = lambda name: True
        drained = make_member("e3", draining=True)
        self.known.take(make_snapshot(*self.all[:2], drained))
        self.known.take(make_snapshot(*self.all[:2]))
        self.assertEqual(set(self.known.members), {"e1", "e2"})

    def test_the_same_members_are_no_change(self):
        changes = self.changes
        self.known.take(make_snapshot(*self.all))
        self.assertEqual(self.changes, changes)


if __name__ == "__main__":
    unittest.main()
