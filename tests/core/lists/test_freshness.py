"""Tests of list freshness from store reads and statements of peers."""

import unittest

from hickoryreach.lists import freshness

REVISIONS = {"plans": 3, "allowances": 1}
OLDER_REVISIONS = {"plans": 2, "allowances": 1}


class Entry:
    """The freshness tracker of one entry, with its own clock."""

    def __init__(self, *, name: str, offset_s: float) -> None:
        """Creates an entry that has the newest lists."""
        self.freshness = freshness.FreshnessTracker(instance=name)
        self.offset_s = offset_s
        self.revisions = dict(REVISIONS)
        self.unsettled = False

    def state(self, now_s: float) -> freshness.Statement:
        """Returns the statement that this entry sends."""
        return self.freshness.build_statement(
            now_s + self.offset_s,
            unsettled=self.unsettled,
            revisions=self.revisions,
        )

    def receive(self, statement: freshness.Statement, now_s: float) -> None:
        """Applies a statement of another entry."""
        self.freshness.apply_statement(
            statement, now_s + self.offset_s, self.revisions
        )

    def read(self, now_s: float) -> None:
        """Records a store read."""
        self.freshness.record_read(now_s + self.offset_s)

    def age_s(self, now_s: float) -> float:
        """Returns the age of the lists."""
        as_of_s = self.freshness.get_as_of_s(unsettled=self.unsettled)
        return now_s + self.offset_s - as_of_s


def exchange(first: Entry, second: Entry, now_s: float) -> None:
    """Exchanges statements both ways until each entry has received an echo."""
    for source, target in ((first, second), (second, first)) * 2:
        target.receive(source.state(now_s), now_s)


class FreshnessTest(unittest.TestCase):
    """Lists count as fresh only as of a read or statements that prove it."""

    def setUp(self):
        self.a = Entry(name="a", offset_s=0.0)
        self.b = Entry(name="b", offset_s=5_000.0)
        for entry in (self.a, self.b):
            entry.read(100.0)
        exchange(self.a, self.b, 100.0)

    def test_age_grows_without_reads_and_statements(self):
        self.assertAlmostEqual(self.a.age_s(109.0), 9.0)

    def test_read_of_a_peer_counts_as_of_its_time(self):
        self.b.read(110.0)
        exchange(self.a, self.b, 112.0)
        self.assertAlmostEqual(self.a.age_s(112.0), 0.0, places=2)
        self.b.unsettled = True
        self.b.read(113.0)
        exchange(self.a, self.b, 115.0)
        self.assertAlmostEqual(self.a.age_s(115.0), 2.0, places=2)

    def test_statements_of_all_writers_suffice_without_the_store(self):
        for now_s in range(101, 200):
            exchange(self.a, self.b, float(now_s))
        self.assertAlmostEqual(self.a.age_s(199.0), 0.0, places=2)
        self.assertAlmostEqual(self.a.freshness.last_read_s, 100.0, places=2)

    def test_statements_do_not_count_while_one_writer_is_silent(self):
        c = Entry(name="c", offset_s=0.0)
        exchange(c, self.b, 101.0)
        for now_s in range(102, 110):
            exchange(self.a, self.b, float(now_s))
        self.assertGreater(self.a.age_s(109.0), 8.9)

    def test_delayed_statement_counts_as_of_the_echoed_timestamp(self):
        self.b.receive(self.a.state(101.0), 101.0)
        late = self.b.state(101.0)
        self.a.receive(late, 160.0)
        self.assertAlmostEqual(self.a.age_s(160.0), 59.0, places=2)

    def test_statement_without_an_echo_does_not_count(self):
        self.a.receive(Entry(name="c", offset_s=0.0).state(150.0), 150.0)
        self.assertAlmostEqual(self.a.age_s(150.0), 50.0, places=2)

    def test_statement_of_a_peer_with_a_newer_list_does_not_count(self):
        self.a.revisions = OLDER_REVISIONS
        self.b.read(110.0)
        exchange(self.a, self.b, 110.0)
        self.assertAlmostEqual(self.a.age_s(110.0), 10.0, places=2)

    def test_statement_of_a_writer_with_an_unclear_change_does_not_count(self):
        self.b.unsettled = True
        for now_s in range(101, 110):
            exchange(self.a, self.b, float(now_s))
        self.assertAlmostEqual(self.a.age_s(109.0), 9.0, places=1)

    def test_read_removes_writers_that_were_silent_before_it(self):
        self.a.read(100.0 + freshness.WRITER_RETENTION_S + 1.0)
        self.assertEqual(self.a.freshness.writers, {})


if __name__ == "__main__":
    unittest.main()
