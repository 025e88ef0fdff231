"""Tests of the journal over a store that fails in known ways."""

import unittest

from returns import result

from hickoryreach.structure import jobs
from hickoryreach_entry.owner import journal
from hickoryreach_entry.owner import records
from tests.entry import fakes


def make_job(number: int) -> jobs.Job:
    """Returns a job."""
    return jobs.Job(
        job_id=f"0.{number}", workspace="north", arguments=("x" * 1_000,)
    )


class JournalTest(unittest.TestCase):
    """Owners that write, lose answers and lose the shard."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.lost = []
        self.kept = []

    def open(self, owner: str = "e1") -> journal.Journal:
        """Returns a journal that is taken."""
        opened = journal.Journal(
            client=self.store,
            shard=0,
            owner=owner,
            commit_s=0,
            on_lost=lambda: self.lost.append(owner),
        )
        self.assertIsInstance(opened.take(), result.Success)
        return opened

    def append(self, book: journal.Journal, record: records.Record) -> None:
        """Appends a record, and notes whether it was kept."""
        book.append(record, self.kept.append)

    def test_the_term_rises_with_each_owner(self):
        first = self.open()
        self.append(first, records.JobAccepted(job=make_job(1)))
        first.write_waiting()
        second = self.open("e2")
        self.assertGreater(second.term, first.term)
        self.assertEqual(second.image.jobs["0.1"].job, make_job(1))

    def test_a_record_whose_answer_is_lost_is_kept_once(self):
        book = self.open()
        self.store.losing = 1
        self.append(book, records.JobAccepted(job=make_job(1)))
        book.write_waiting()
        self.assertEqual(self.kept, [True])
        self.assertEqual(self.lost, [])
        self.assertEqual(len(self.store.values), 2)

    def test_an_owner_that_was_replaced_keeps_nothing_more(self):
        first = self.open()
        self.open("e2")
        self.append(first, records.JobAccepted(job=make_job(1)))
        first.write_waiting()
        self.assertEqual(self.kept, [False])
        self.assertEqual(self.lost, ["e1"])

    def test_taking_goes_on_when_another_takes_first(self):
        rivals = []

        def take_first(key: str) -> None:
            self.store.before_write = lambda key: None
            rivals.append(self.open("e2"))

        self.store.before_write = take_first
        book = self.open()
        self.assertGreater(book.term, rivals[0].term)
        self.assertFalse(book.lost)

    def test_a_call_back_waits_for_all_before_it(self):
        book = self.open()
        order = []
        book.append(
            records.JobAccepted(job=make_job(1)),
            lambda kept: order.append("record"),
        )
        book.call_when_kept(lambda kept: order.append("marker"))
        self.assertEqual(order, [])
        book.write_waiting()
        self.assertEqual(order, ["record", "marker"])
        book.call_when_kept(lambda kept: order.append("idle"))
        self.assertEqual(order[-1], "idle")

    def test_segments_stay_below_the_limit_of_a_value(self):
        book = self.open()
        for number in range(2_000):
            book.append(records.JobAccepted(job=make_job(number)))
        book.write_waiting()
        sizes = [len(value.data) for value in self.store.values.values()]
        self.assertLess(max(sizes), 1_000_000)
        self.assertEqual(len(self.open("e2").image.jobs), 2_000)

    def test_what_a_takeover_reads_does_not_grow_with_history(self):
        book = self.open()
        for number in range(30_000):
            job = make_job(number)
            book.append(records.JobAccepted(job=job))
            if number % 100:
                book.append(
                    records.JobFinished(
                        job_id=job.job_id,
                        state=jobs.JobState.SUCCEEDED,
                        ran=jobs.ExecutionStatus.RAN,
                        finished_ms=number,
                    )
                )
            if number % 500 == 0:
                book.write_waiting()
                book.image.forget_before(number - 1_000)
        book.write_waiting()
        total = sum(len(value.data) for value in self.store.values.values())
        self.assertLess(total, 3 * journal.FLOOR_BYTES)
        again = self.open("e2").image
        live = [each for each in again.jobs.values() if each.job is not None]
        self.assertEqual(len(live), 300)

    def test_a_store_that_went_back_is_reported_and_written_anew(self):
        book = self.open()
        for number in range(5):
            self.append(book, records.JobAccepted(job=make_job(number)))
            book.write_waiting()
        backup = self.store.save()
        for number in range(5, 10):
            self.append(book, records.JobAccepted(job=make_job(number)))
            book.write_waiting()
        self.store.restore(backup)
        self.append(book, records.JobAccepted(job=make_job(10)))
        with self.assertLogs(journal.log, "ERROR"):
            book.write_waiting()
        self.assertTrue(book.restored)
        self.assertEqual(len(self.open("e2").image.jobs), 11)

    def test_a_raised_term_is_kept_for_the_next_owner(self):
        book = self.open()
        book.raise_term(1_000, self.kept.append)
        book.write_waiting()
        self.assertEqual(self.kept, [True])
        self.assertGreater(self.open("e2").term, 1_001)

    def test_an_outage_is_noticed_and_ends(self):
        book = self.open()
        self.store.down = True
        book.append(records.JobAccepted(job=make_job(1)), self.kept.append)
        writer = journal.gevent.spawn(book.write_waiting)
        journal.gevent.sleep(0.01)
        self.assertFalse(book.healthy)
        self.assertEqual(self.kept, [])
        self.store.down = False
        writer.join()
        self.assertTrue(book.healthy)
        self.assertEqual(self.kept, [True])


if __name__ == "__main__":
    unittest.main()
