"""Tests of runs and ends of jobs that the owner does not know."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases


class OrphanTest(cases.CellCase):
    """Runs and ends of jobs that are not known as stored."""

    minion_count = 2

    def build_key(self, job_id: str) -> steps.TaskKey:
        """Returns the key of the first task of a job."""
        return steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)

    def poll_with_end(self, job_id: str, kind: str = "done") -> None:
        """Applies a poll reply that lists an end of a job."""
        self.end(cases.build_listed_run(self.build_key(job_id), 9), kind)

    def poll_with_run(self, job_id: str) -> None:
        """Applies a poll reply that lists a run of a job."""
        listed = cases.build_listed_run(self.build_key(job_id), 9)
        self.poll("m0", running=(listed,))

    def test_end_of_an_unknown_job_waits_for_the_store(self) -> None:
        self.poll_with_end("nobody")
        self.assertEqual(self.get_effects(effects.AcknowledgeEnd), [])
        (lookup,) = self.get_effects(effects.FindStoredJob)
        self.assertEqual(lookup.job_id, "nobody")

    def test_end_of_a_job_that_is_found_counts(self) -> None:
        job = self.build_job()
        self.poll_with_end(job.job_id)
        self.apply(events.JobAccepted(job=job))
        (acknowledgement,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertTrue(acknowledgement.must_store)
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_state(job.job_id), state.JobState.COMPLETED)

    def test_end_of_a_job_that_is_not_found_is_acknowledged(self) -> None:
        self.poll_with_end("nobody")
        self.apply(events.JobNotFound(job_id="nobody"))
        (acknowledgement,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(acknowledgement.must_store)

    def test_end_of_an_offered_job_waits_for_the_stored_job(self) -> None:
        offered = self.build_job()
        self.apply(events.JobOffered(job=offered))
        self.poll_with_end(offered.job_id)
        self.assertEqual(self.get_effects(effects.AcknowledgeEnd), [])
        self.now_ms += 5
        kept = steps.Job(
            job_id=offered.job_id,
            workspace=offered.workspace,
            queue=offered.queue,
            payload="",
            steps=offered.steps,
            accepted_ms=offered.accepted_ms - 700,
        )
        self.apply(events.JobAccepted(job=kept))
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_state(kept.job_id), state.JobState.COMPLETED)

    def test_an_ended_job_is_not_started_again(self) -> None:
        job = self.build_job()
        self.apply(events.JobAlreadyEnded(job_id=job.job_id))
        self.apply(events.JobOffered(job=job))
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])
        self.poll_with_end(job.job_id)
        (acknowledgement,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(acknowledgement.must_store)
        self.poll_with_run(job.job_id)
        self.assertEqual([each.number for each in self.get_stops()], [9])

    def test_run_of_an_unknown_job_continues_until_the_store_answers(
        self,
    ) -> None:
        self.poll_with_run("nobody")
        self.assertEqual(self.get_stops(), [])
        self.apply(events.JobNotFound(job_id="nobody"))
        self.assertEqual([each.number for each in self.get_stops()], [9])

    def test_run_of_a_job_that_is_found_is_adopted(self) -> None:
        job = self.build_job(cases.build_step(cpu=3_000))
        self.poll_with_run(job.job_id)
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_stops(), [])
        self.assertEqual(self.cell.minions["m0"].used.cpu_millis, 3_000)
        self.assertEqual(self.get_state(job.job_id), state.JobState.RUNNING)

    def test_no_task_is_placed_beside_a_run_of_unknown_size(self) -> None:
        self.poll("m1", incarnation=2)
        self.poll_with_run("nobody")
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})
        self.now_ms += 1
        self.poll("m0")
        self.submit(cases.build_step(count=3))
        self.assertIn("m0", {each.minion_id for each in self.get_starts()})


class RefusedRunEndTest(cases.CellCase):
    """Ends of runs whose starts were refused but executed all the same."""

    minion_count = 1

    def refuse_start(self, start: effects.StartTask) -> None:
        """Refuses a start that the minion has executed."""
        self.answer(
            start,
            minions.OrderFailure(
                reason="late", refusal=minions.Refusal.DEADLINE_PASSED
            ),
        )

    def test_done_counts_and_the_later_run_is_stopped(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.refuse_start(start)
        (again,) = self.confirm_starts()
        self.end(start)
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)
        self.assertEqual(
            [each.number for each in self.get_stops()], [again.number]
        )

    def test_failures_beside_a_later_run_count(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.refuse_start(start)
        (again,) = self.confirm_starts()
        self.end(start, "failed")
        self.assertEqual(self.get_starts(), [])
        self.end(again, "failed")
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
