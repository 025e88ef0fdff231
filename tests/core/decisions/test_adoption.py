"""Tests of takeovers and of workers' lists."""

import unittest

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import workers
from tests.core.decisions import cell as cells

HOLD_MS = 10_000


def make_key(job_id="0.a", index=0, attempt=1):
    """Returns an attempt's key."""
    return jobs.TaskKey(job_id=job_id, index=index, attempt=attempt)


class AdoptionTest(unittest.TestCase):
    """What an earlier owner started is found again and not started twice."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()

    def restore(self, job_id="0.a", unclear=(), **changes):
        """Restores a job that is on hold."""
        self.cell.send(
            events.JobRestored(
                job=cells.make_job(job_id, **changes),
                unclear=unclear,
                hold_until_ms=HOLD_MS,
            )
        )

    def list_task(self, worker_id="w1", key=None):
        """Joins a worker that lists one task."""
        task = workers.RunningTask(key=key or make_key())
        return self.cell.join(worker_id, running=(task,))

    def test_restored_job_waits_for_the_holds(self):
        self.cell.join("w1")
        self.restore()
        self.cell.tick(1_000)
        self.assertEqual(self.cell.count_live("0.a"), 0)
        self.cell.send(events.HoldsCleared())
        self.assertEqual(self.cell.count_live("0.a"), 1)

    def test_listed_task_is_adopted_whichever_comes_first(self):
        for worker_first in (True, False):
            with self.subTest(worker_first=worker_first):
                self.cell = cells.Cell()
                if worker_first:
                    self.list_task()
                    self.restore()
                else:
                    self.restore()
                    self.list_task()
                self.cell.send(events.HoldsCleared())
                self.assertEqual(self.cell.counts.total(), 0)
                self.assertEqual(self.cell.stops(), [])
                self.cell.started[make_key()] = "w1"
                self.cell.end("0.a")
                change = self.cell.changes["0.a"]
                self.assertIs(change.state, jobs.JobState.SUCCEEDED)

    def test_intent_without_outcome_is_settled_when_holds_clear(self):
        self.cell.join("w1")
        self.restore(unclear=(make_key(),), idempotent=False)
        self.cell.tick(1_000)
        self.assertNotIn("0.a", self.cell.changes)
        self.cell.send(events.HoldsCleared())
        change = self.cell.changes["0.a"]
        self.assertIs(change.state, jobs.JobState.UNKNOWN)
        self.assertIs(change.ran, jobs.ExecutionStatus.UNKNOWN)
        self.assertEqual(self.cell.counts.total(), 0)

    def test_end_that_comes_before_the_job_settles_it(self):
        self.cell.join("w1")
        self.cell.send(
            events.TaskEnded(
                key=make_key(),
                worker_id="w1",
                result=jobs.TaskResult.SUCCEEDED,
            )
        )
        self.restore(unclear=(make_key(),), idempotent=False)
        change = self.cell.changes["0.a"]
        self.assertIs(change.state, jobs.JobState.SUCCEEDED)

    def test_unknown_task_is_stopped_when_holds_are_clear(self):
        self.list_task()
        self.assertEqual(self.cell.stops(), [])
        self.cell.send(events.HoldsCleared())
        self.assertEqual([stop.key for stop in self.cell.stops()], [make_key()])

    def test_task_believed_elsewhere_is_stopped_and_counted(self):
        self.cell.join("w1")
        self.cell.submit("0.a")
        out = self.list_task("w2")
        self.assertIsInstance(out[0], effects.StopTask)
        self.assertEqual(out[0].worker_id, "w2")
        free = self.cell.shard.workers["w2"].free
        self.assertEqual(free.cpu_millis, 3 * cells.CORE)

    def test_task_of_a_cancelled_job_is_stopped(self):
        self.cell.join("w1")
        self.restore()
        self.cell.send(events.JobCancelled(job_id="0.a"))
        self.assertIs(
            self.cell.changes["0.a"].ran, jobs.ExecutionStatus.UNKNOWN
        )
        self.list_task("w2")
        self.assertEqual(self.cell.stops()[0].worker_id, "w2")

    def test_started_task_left_out_for_long_has_ended(self):
        self.cell.join("w1")
        self.cell.submit("0.a", idempotent=False)
        self.cell.acknowledge()
        self.cell.started.clear()
        omission_ms = self.cell.shard.settings.omission_ms
        self.cell.report("w1")
        self.cell.tick(omission_ms - 1_000)
        self.cell.report("w1")
        self.assertFalse(self.cell.changes["0.a"].state.is_final)
        self.cell.tick(1_000)
        self.cell.report("w1")
        self.assertIs(self.cell.changes["0.a"].state, jobs.JobState.UNKNOWN)

    def test_start_not_acknowledged_is_not_judged_by_lists(self):
        self.cell.join("w1")
        self.cell.submit("0.a")
        self.cell.started.clear()
        for _ in range(5):
            self.cell.tick(5_000)
            self.cell.report("w1")
        self.assertEqual(self.cell.counts[("0.a", 0)], 1)

    def test_list_older_than_an_end_does_not_undo_it(self):
        self.cell.join("w1")
        self.cell.submit("0.a")
        task = workers.RunningTask(key=make_key())
        self.cell.end("0.a")
        out = self.cell.send(
            events.WorkerReported(worker_id="w1", running=(task,))
        )
        self.assertEqual(out, [])
        self.assertEqual(self.cell.shard.workers["w1"].free, cells.WORKER_SIZE)

    def test_limit_counts_what_may_still_run_from_before(self):
        self.cell.entitle(north={"limit": cells.size(2, 8_000)})
        self.cell.join("w1")
        self.restore(tasks=2)
        self.cell.submit("0.b")
        self.assertEqual(self.cell.count_live("0.b"), 0)
        self.cell.send(events.HoldsCleared())
        self.assertEqual(len(self.cell.started), 2)


if __name__ == "__main__":
    unittest.main()
