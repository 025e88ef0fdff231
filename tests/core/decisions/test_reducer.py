"""Tests of the reducer."""

import unittest

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class ReducerTest(unittest.TestCase):
    """One job through the reducer, and what messages may do to it."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")

    def test_batch_job_runs_once_and_succeeds(self):
        out = self.cell.submit("0.a")
        self.assertIsInstance(out[0], effects.StartTask)
        self.cell.acknowledge()
        out = self.cell.end("0.a")
        self.assertIs(out[-1].state, jobs.JobState.SUCCEEDED)
        self.assertIs(out[-1].ran, jobs.ExecutionStatus.RAN)

    def test_repeated_submission_changes_nothing(self):
        self.cell.submit("0.a")
        self.assertEqual(self.cell.submit("0.a"), [])
        self.cell.end("0.a")
        self.assertEqual(self.cell.submit("0.a"), [])
        self.assertEqual(self.cell.counts[("0.a", 0)], 1)

    def test_end_of_an_old_attempt_changes_nothing(self):
        self.cell.submit("0.a")
        (first,) = self.cell.started
        self.cell.end("0.a", jobs.TaskResult.UNKNOWN)
        self.cell.tick(200)
        self.assertEqual(self.cell.count_live("0.a"), 1)
        late = events.TaskEnded(
            key=first, worker_id="w1", result=jobs.TaskResult.SUCCEEDED
        )
        self.assertEqual(self.cell.send(late), [])
        self.assertEqual(len(self.cell.shard.jobs["0.a"].running), 1)

    def test_lost_worker_repeats_only_idempotent_work(self):
        self.cell.submit("0.a")
        self.cell.submit("0.b", idempotent=False)
        self.cell.join("w2")
        self.cell.send(events.WorkerUnreachable(worker_id="w1"))
        self.assertEqual(self.cell.counts.total(), 2)
        self.cell.send(events.WorkerLost(worker_id="w1"))
        self.assertEqual(self.cell.counts[("0.a", 0)], 2)
        self.assertEqual(self.cell.counts[("0.b", 0)], 1)
        change = self.cell.changes["0.b"]
        self.assertIs(change.state, jobs.JobState.UNKNOWN)
        self.assertIs(change.ran, jobs.ExecutionStatus.UNKNOWN)

    def test_shrunk_worker_gets_nothing_until_the_rest_fits(self):
        self.cell.submit("0.a", tasks=3)
        self.cell.join("w1", capacity=cells.size(2, 8_000))
        self.cell.submit("0.b")
        self.assertEqual(self.cell.count_live("0.b"), 0)
        self.cell.end("0.a")
        self.assertEqual(self.cell.count_live("0.b"), 1)

    def test_large_batch_is_bounded_within_an_event_and_carried_on(self):
        for number in range(50):
            self.cell.join(f"x{number}")
        bound = self.cell.shard.settings.placements_per_event
        self.cell.submit("0.a", tasks=200)
        self.assertEqual(self.cell.count_live("0.a"), bound)
        self.assertTrue(self.cell.shard.has_more)
        self.cell.tick(200)
        self.assertEqual(self.cell.count_live("0.a"), 200)

    def test_final_job_is_forgotten_after_its_time(self):
        self.cell.submit("0.a")
        self.cell.end("0.a")
        self.assertIn("0.a", self.cell.shard.jobs)
        self.cell.now_ms += self.cell.shard.settings.forget_ms
        self.cell.tick()
        self.assertNotIn("0.a", self.cell.shard.jobs)

    def test_attempts_of_a_later_term_have_higher_numbers(self):
        later = cells.Cell()
        later.shard = state.ShardState(term=7)
        later.entitle(north={})
        later.join("w1")
        later.submit("0.a")
        (key,) = later.started
        self.assertGreater(key.attempt, 7 * 1_000)


if __name__ == "__main__":
    unittest.main()
