"""Freshness from reads and from what peers state."""

import unittest

from hickoryreach.lists import freshness

REVISIONS = {"plans": 3, "allowances": 1}
OLDER = {"plans": 2, "allowances": 1}


class Entry:
    """One entry's freshness with a clock of its own."""

    def __init__(self, *, name: str, offset_s: float) -> None:
        """Creates an entry that has the newest lists."""
        self.freshness = freshness.FreshnessTracker(instance=name)
        self.offset_s = offset_s
        self.revisions = dict(REVISIONS)
        self.unsettled = False

    def state(self, now_s: float) -> freshness.Statement:
        """Returns what this entry tells."""
        return self.freshness.build_statement(
            now_s + self.offset_s,
            unsettled=self.unsettled,
            revisions=self.revisions,
        )

    def hear(self, statement: freshness.Statement, now_s: float) -> None:
        """Takes in what another entry told."""
        self.freshness.apply_statement(
            statement, now_s + self.offset_s, self.revisions
        )

    def read(self, now_s: float) -> None:
        """Reads the store."""
        self.freshness.record_read(now_s + self.offset_s)

    def age_s(self, now_s: float) -> float:
        """Returns how old the lists are."""
        as_of_s = self.freshness.get_as_of_s(unsettled=self.unsettled)
        return now_s + self.offset_s - as_of_s


def exchange(first: Entry, second: Entry, now_s: float) -> None:
    """Exchanges statements both ways, until each has seen an echo."""
    for speaker, hearer in ((first, second), (second, first)) * 2:
        hearer.hear(speaker.state(now_s), now_s)


class FreshnessTest(unittest.TestCase):
    """Lists count as fresh only on grounds that hold."""

    def setUp(self):
        self.a = Entry(name="a", offset_s=0.0)
        self.b = Entry(name="b", offset_s=5_000.0)
        for entry in (self.a, self.b):
            entry.read(100.0)
        exchange(self.a, self.b, 100.0)

    def test_entry_cut_off_from_everything_ages(self):
        self.assertAlmostEqual(self.a.age_s(109.0), 9.0)

    def test_read_of_a_peer_counts_with_its_age(self):
        self.b.read(110.0)
        exchange(self.a, self.b, 112.0)
        self.assertAlmostEqual(self.a.age_s(112.0), 0.0, places=2)
        self.b.unsettled = True
        self.b.read(113.0)
        exchange(self.a, self.b, 115.0)
        self.assertAlmostEqual(self.a.age_s(115.0), 2.0, places=2)

    def test_all_writers_together_outlast_a_store_outage(self):
        for now_s in range(101, 200):
            exchange(self.a, self.b, float(now_s))
        self.assertAlmostEqual(self.a.age_s(199.0), 0.0, places=2)
        self.assertAlmostEqual(self.a.freshness.last_read_s, 100.0, places=2)

    def test_one_silent_writer_ends_the_agreement(self):
        c = Entry(name="c", offset_s=0.0)
        exchange(c, self.b, 101.0)
        for now_s in range(102, 110):
            exchange(self.a, self.b, float(now_s))
        self.assertGreater(self.a.age_s(109.0), 8.9)

    def test_late_statement_counts_as_made_at_the_echoed_stamp(self):
        self.b.hear(self.a.state(101.0), 101.0)
        late = self.b.state(101.0)
        self.a.hear(late, 160.0)
        self.assertAlmostEqual(self.a.age_s(160.0), 59.0, places=2)

    def test_statement_without_an_echo_gives_no_freshness(self):
        self.a.hear(Entry(name="c", offset_s=0.0).state(150.0), 150.0)
        self.assertAlmostEqual(self.a.age_s(150.0), 50.0, places=2)

    def test_peer_with_a_newer_list_gives_no_freshness(self):
        self.a.revisions = OLDER
        self.b.read(110.0)
        exchange(self.a, self.b, 110.0)
        self.assertAlmostEqual(self.a.age_s(110.0), 10.0, places=2)

    def test_writer_with_an_unclear_change_gives_no_agreement(self):
        self.b.unsettled = True
        for now_s in range(101, 110):
            exchange(self.a, self.b, float(now_s))
        self.assertAlmostEqual(self.a.age_s(109.0), 9.0, places=1)

    def test_writer_long_silent_before_a_read_is_forgotten(self):
        self.a.read(100.0 + freshness.WRITER_RETENTION_S + 1.0)
        self.assertEqual(self.a.freshness.writers, {})


if __name__ == "__main__":
    unittest.main()
