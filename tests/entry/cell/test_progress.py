"""Tests of the storage of an owner's progress."""

from unittest import mock

import gevent
from gevent import event

from hickoryreach.scheduling import state
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import progress
from hickoryreach_entry.cell import records
from tests.entry.cell import cases

VALUE_BYTES = 1_048_576  # most that the store takes as one value


class ProgressTest(cases.StoreCase):
    """Rows are stored once, in order, and only by the owner."""

    def setUp(self) -> None:
        """Serves a store that names an owner."""
        super().setUp()
        self.revision = self.model.put(records.OWNER_KEY, b"{}")
        self.deposed: list[str] = []
        self.kept: list[int] = []
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.progress = progress.ProgressWriter(
            scope=self.scope,
            client=self.client,
            epoch=1,
            revision=self.revision,
            on_deposed=self.deposed.append,
        )

    def append(self, number: int) -> None:
        """Adds a row whose callback records its number."""
        row = records.Row(kind=records.CANCELLED, job_id=str(number))
        self.progress.append(row, lambda: self.kept.append(number))

    def wait(self, count: int, limit_s: float = 5.0) -> None:
        """Waits until the callbacks of that many rows have run."""
        with gevent.Timeout(limit_s):
            while len(self.kept) < count:
                gevent.sleep(0.01)

    def list_rows(self) -> list[str]:
        """Returns the job ids of the rows in the store."""
        client = self.progress.client
        page = client.get_prefix(records.PROGRESS_PREFIX).unwrap()
        return [
            row.unwrap().job_id
            for item in page.items
            for row in records.decode_rows(item.data)
        ]

    # Guards against ends that are acknowledged, and so forgotten by their
    # minion, though the store never got them.
    def test_nothing_counts_as_stored_that_ends_with_the_ownership(
        self,
    ) -> None:
        for ended_s in (0.0, 0.005, 0.1, 0.3):
            with self.subTest(ended_s):
                self.model.faults.silent.add("*")
                self.append(1)
                gevent.sleep(ended_s)
                self.scope.close()
                gevent.sleep(0.1)
                self.model.faults.silent.clear()
                gevent.sleep(0.5)
                self.assertEqual(self.kept, [])
                self.setUp()

    def test_a_part_is_not_stored_by_a_closed_scope(self) -> None:
        self.scope.close()
        part = progress.Part(number=1)
        self.assertFalse(self.progress.write_hedged(part, ()))

    def test_rows_are_stored_in_order(self) -> None:
        for number in range(40):
            self.append(number)
            gevent.sleep(0.001)
        self.wait(40)
        self.assertEqual(self.kept, list(range(40)))
        self.assertEqual(self.list_rows(), [str(each) for each in range(40)])

    def test_callbacks_that_break_keep_no_other_from_its_turn(self) -> None:
        broken = mock.Mock(side_effect=RuntimeError("broken"))
        for number in range(2 * progress.CONCURRENT_WRITES):
            row = records.Row(kind=records.CANCELLED, job_id=f"odd{number}")
            self.progress.append(row, broken)
            self.append(number)
            self.wait(number + 1)
        self.assertEqual(broken.call_count, 2 * progress.CONCURRENT_WRITES)

    def test_many_rows_do_not_wait_for_the_writes_in_progress(self) -> None:
        may_answer = event.Event()
        write = self.client.write

        def write_late(**words):
            may_answer.wait()
            return write(**words)

        self.client.write = write_late
        count = 5 * progress.ROWS_PER_EXTRA_WRITE
        for number in range(count):
            self.append(number)
            gevent.sleep(0.001)
        waiting = len(self.progress.open.rows)
        self.assertLess(waiting, progress.ROWS_PER_EXTRA_WRITE)
        self.assertEqual(self.kept, [])
        may_answer.set()
        self.wait(count)
        self.assertEqual(self.kept, list(range(count)))

    def test_rows_are_stored_once_despite_a_lost_response(self) -> None:
        self.model.faults.lost_share = 1.0
        self.append(1)
        gevent.sleep(0.3)
        self.assertEqual(self.kept, [])
        self.model.faults.lost_share = 0.0
        self.wait(1)
        self.assertEqual(self.list_rows(), ["1"])

    def test_a_lost_response_does_not_delay_the_callbacks(self) -> None:
        self.model.faults.lost_share = 1.0
        self.append(1)
        gevent.sleep(0.1)
        self.model.faults.lost_share = 0.0
        self.wait(1, limit_s=0.4)
        self.assertEqual(self.list_rows(), ["1"])
        gevent.sleep(1.0)
        self.assertTrue(self.progress.healthy)

    def test_rows_of_a_long_outage_are_stored_in_parts_that_fit(self) -> None:
        count = 3_000
        self.model.faults.busy.add("*")
        for number in range(count):
            row = records.Row(kind=records.CANCELLED, job_id=f"{number:0400}")
            self.progress.append(
                row, lambda number=number: self.kept.append(number)
            )
        gevent.sleep(0.3)
        self.assertEqual(self.kept, [])
        self.model.faults.busy.clear()
        self.wait(count, limit_s=10.0)
        self.assertEqual(self.kept, list(range(count)))
        page = self.progress.client.get_prefix(records.PROGRESS_PREFIX).unwrap()
        sizes = [len(item.data) for item in page.items]
        self.assertLess(max(sizes), VALUE_BYTES)
        rows = [int(job_id) for job_id in self.list_rows()]
        self.assertEqual(rows, list(range(count)))

    def test_no_callback_runs_while_the_store_is_unavailable(self) -> None:
        self.model.faults.busy.add("*")
        self.append(1)
        gevent.sleep(0.3)
        self.assertEqual(self.kept, [])
        self.assertFalse(self.progress.healthy)
        self.model.faults.busy.clear()
        self.wait(1)
        self.assertTrue(self.progress.healthy)

    def test_a_deposed_owner_stores_nothing(self) -> None:
        self.model.put(records.OWNER_KEY, b"{}")
        self.append(1)
        gevent.sleep(0.3)
        self.assertEqual(self.deposed, ["progress_conflict"])
        self.assertEqual(self.list_rows(), [])
        self.assertEqual(self.kept, [])

    def test_final_records_replace_jobs(self) -> None:
        final = records.encode_final(
            records.FinalRecord(
                final=state.JobState.COMPLETED, workspace="hydro"
            )
        )
        stored_jobs: list[str] = []
        self.progress.on_final = stored_jobs.append
        count = 2 * progress.MAX_FINALS + 1
        for number in range(count):
            self.progress.append(
                None,
                lambda number=number: self.kept.append(number),
                {f"{number:016x}": final},
            )
        self.wait(count)
        with gevent.Timeout(5.0):
            while len(stored_jobs) < count:
                gevent.sleep(0.01)
        page = self.progress.client.get_prefix(records.JOBS_PREFIX).unwrap()
        self.assertEqual(len(page.items), count)
        for item in page.items:
            kept = records.decode_stored_job(item.data).unwrap()
            self.assertEqual(kept.final, state.JobState.COMPLETED)
