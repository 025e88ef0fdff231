"""Tests of cancellation."""

import unittest

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells

WAVE = 1_000


class CancellationTest(unittest.TestCase):
    """A wave is cancelled piece by piece, and nothing of it starts."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")
        self.cell.submit("0.first", tasks=4)
        for number in range(WAVE):
            self.cell.submit(f"0.{number}", wave="spring")

    def cancel(self):
        """Cancels the wave."""
        return self.cell.send(
            events.WaveCancelled(workspace="north", wave="spring")
        )

    def test_event_cancels_a_bounded_part(self):
        out = self.cancel()
        bound = self.cell.shard.settings.cancellations_per_event
        self.assertEqual(len(out), bound)
        self.cell.tick(50 * WAVE // bound)
        states = {
            change.state
            for job_id, change in self.cell.changes.items()
            if job_id != "0.first"
        }
        self.assertEqual(states, {jobs.JobState.CANCELLED})
        self.assertEqual(len(self.cell.changes), WAVE)

    def test_wave_starts_nothing_and_keeps_nobody_waiting(self):
        self.cancel()
        self.cell.submit("0.later", wave="spring", workspace="south")
        self.cell.end("0.first")
        self.assertEqual(self.cell.count_live("0.later"), 1)
        self.cell.tick(2_000)
        self.assertEqual(self.cell.counts.total(), 5)

    def test_cancelled_job_that_never_started_was_not_run(self):
        self.cell.send(events.JobCancelled(job_id="0.7"))
        self.assertIs(
            self.cell.changes["0.7"].ran, jobs.ExecutionStatus.NOT_RUN
        )

    def test_start_under_way_leaves_it_unclear_whether_it_ran(self):
        out = self.cell.send(events.JobCancelled(job_id="0.first"))
        self.assertEqual(
            sum(isinstance(each, effects.StopTask) for each in out), 4
        )
        self.assertIs(
            self.cell.changes["0.first"].ran, jobs.ExecutionStatus.UNKNOWN
        )


if __name__ == "__main__":
    unittest.main()
