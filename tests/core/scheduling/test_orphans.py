"""Tests of what minions list of jobs that nobody told of."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases


class StrayTest(cases.CellCase):
    """Runs and ends of jobs that are not known to be kept."""

    minion_count = 2

    def build_key(self, job_id: str) -> steps.TaskKey:
        """Returns the first task of a job."""
        return steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)

    def list_end(self, job_id: str, kind: str = "done") -> None:
        """Lets a minion list an end."""
        self.end(cases.build_listed(self.build_key(job_id), 9), kind)

    def list_run(self, job_id: str) -> None:
        """Lets a minion list a run."""
        listed = cases.build_listed(self.build_key(job_id), 9)
        self.look("m0", running=(listed,))

    def test_end_of_an_unknown_job_waits_for_the_store(self) -> None:
        self.list_end("nobody")
        self.assertEqual(self.get_effects(effects.AcknowledgeEnd), [])
        (sought,) = self.get_effects(effects.FindStoredJob)
        self.assertEqual(sought.job_id, "nobody")

    def test_end_of_a_job_that_is_found_counts(self) -> None:
        job = self.build_job()
        self.list_end(job.job_id)
        self.apply(events.JobAccepted(job=job))
        (seen,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertTrue(seen.must_store)
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_state(job.job_id), state.JobState.COMPLETED)

    def test_end_of_a_job_that_is_absent_is_acknowledged(self) -> None:
        self.list_end("nobody")
        self.apply(events.JobNotFound(job_id="nobody"))
        (seen,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(seen.must_store)

    def test_end_of_an_offered_job_waits_for_what_is_kept(self) -> None:
        offered = self.build_job()
        self.apply(events.JobOffered(job=offered))
        self.list_end(offered.job_id)
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

    def test_a_job_that_is_over_is_not_started_again(self) -> None:
        job = self.build_job()
        self.apply(events.JobAlreadyEnded(job_id=job.job_id))
        self.apply(events.JobOffered(job=job))
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])
        self.list_end(job.job_id)
        (seen,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(seen.must_store)
        self.list_run(job.job_id)
        self.assertEqual([each.number for each in self.get_stops()], [9])

    def test_run_of_an_unknown_job_goes_on_until_the_store_is_asked(
        self,
    ) -> None:
        self.list_run("nobody")
        self.assertEqual(self.get_stops(), [])
        self.apply(events.JobNotFound(job_id="nobody"))
        self.assertEqual([each.number for each in self.get_stops()], [9])

    def test_run_of_a_job_that_is_found_is_adopted(self) -> None:
        job = self.build_job(cases.build_step(cpu=3_000))
        self.list_run(job.job_id)
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_stops(), [])
        self.assertEqual(self.cell.minions["m0"].used.cpu_millis, 3_000)
        self.assertEqual(self.get_state(job.job_id), state.JobState.RUNNING)

    def test_nothing_is_placed_beside_a_run_of_unknown_size(self) -> None:
        self.look("m1", incarnation=2)
        self.list_run("nobody")
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})
        self.look("m0")
        self.submit(cases.build_step(count=3))
        self.assertIn("m0", {each.minion_id for each in self.get_starts()})


class LateEndTest(cases.CellCase):
    """Ends of runs that were taken for refused or expired."""

    minion_count = 1

    def refuse(self, start: effects.StartTask) -> None:
        """Lets a minion refuse a start that it has carried out."""
        self.answer(
            start,
            minions.OrderFailure(
                reason="late", refusal=minions.Refusal.DEADLINE_PASSED
            ),
        )

    def test_done_counts_and_the_later_run_is_stopped(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.refuse(start)
        (again,) = self.run_all()
        self.end(start)
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)
        self.assertEqual(
            [each.number for each in self.get_stops()], [again.number]
        )

    def test_failures_beside_a_later_run_count(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.refuse(start)
        (again,) = self.run_all()
        self.end(start, "failed")
        self.assertEqual(self.get_starts(), [])
        self.end(again, "failed")
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
