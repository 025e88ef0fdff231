"""Tests of which runs count towards the limit of their workspace."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases

LIMIT_CPU = 4_000
RUN_CPU = 3_000
NEW_CPU = 2_000


class LimitUsageCase(cases.CellCase):
    """A workspace that may use as much as one of two minions offers."""

    epoch = 2
    limit = resources.Resources(cpu_millis=LIMIT_CPU)

    def list_run(self, job_id: str, repeat: int = 0) -> effects.StartTask:
        """Lets a minion list a run of an earlier owner; returns it."""
        key = steps.TaskKey(job_id=job_id, repeat=repeat, step=0, index=0)
        run = cases.build_listed_run(key, 7)
        self.poll("m0", running=(run,))
        return run

    def submit_new(self) -> list[effects.StartTask]:
        """Submits a task that does not fit beside the run; returns starts."""
        self.submit(cases.build_step(cpu=NEW_CPU))
        return self.get_starts()


class EndedJobTest(LimitUsageCase):
    """Runs of jobs that ended under an earlier owner."""

    def test_run_of_a_cancelled_job_counts_until_it_has_ended(self) -> None:
        job = self.build_job(cases.build_step(cpu=RUN_CPU))
        self.apply(events.JobRecovered(job=job, cancelled=True))
        run = self.list_run(job.job_id)
        self.assertEqual(len(self.get_stops()), 1)
        self.assertEqual(self.submit_new(), [])
        self.end(run, "stopped")
        self.assertEqual(len(self.get_starts()), 1)

    def test_run_of_a_job_with_a_final_record_counts_until_it_has_ended(
        self,
    ) -> None:
        size = steps.StepSize(count=1, need=cases.build_need(RUN_CPU))
        ended = state.EndedJob(workspace="hydro", step_sizes=(size,))
        self.apply(events.JobAlreadyEnded(job_id="a", ended=ended))
        run = self.list_run("a")
        self.assertEqual(self.submit_new(), [])
        self.end(run, "stopped")
        self.assertEqual(len(self.get_starts()), 1)


class UnknownJobTest(LimitUsageCase):
    """Runs of jobs that the owner does not know, or not yet."""

    def test_run_of_a_repeat_that_has_not_begun_counts(self) -> None:
        job = steps.Job(
            job_id="a",
            workspace="hydro",
            queue=self.configuration.queues["runs"],
            payload="",
            steps=(cases.build_step(cpu=RUN_CPU),),
            accepted_ms=self.now_ms,
            repeats=2,
            first_ms=self.now_ms + 60_000,
            interval_ms=60_000,
        )
        self.apply(events.JobRecovered(job=job))
        self.list_run(job.job_id)
        self.assertEqual(self.submit_new(), [])

    def test_run_of_an_unknown_job_counts_until_the_store_answers(self) -> None:
        run = self.list_run("unknown")
        self.assertEqual(self.submit_new(), [])
        self.apply(events.JobNotFound(job_id="unknown"))
        self.assertEqual(self.get_starts(), [])
        self.end(run, "stopped")
        self.assertEqual(len(self.get_starts()), 1)


class FillerTest(LimitUsageCase):
    """Fillers occupy processor capacity of the limit, not of the minion."""

    def test_fillers_stay_within_the_limit_beside_other_tasks(self) -> None:
        self.submit(cases.build_step(4, cpu=RUN_CPU, filler=True))
        starts = self.confirm_starts()
        self.assertEqual(len(starts), 1)
        minion = self.cell.minions[starts[0].minion_id]
        self.assertEqual(minion.used.cpu_millis, 0)
        self.assertEqual(self.submit_new(), [])
