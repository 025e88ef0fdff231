"""Tests of which runs count towards the limit of their workspace."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import predecessors
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases

LIMIT_CPU = 4_000
RUN_CPU = 3_000
NEW_CPU = 2_000
LIMIT_IN_FORCE_MS = 2_000
DETECTION_MS = 400  # for the owner to learn of a new configuration


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
        ended = predecessors.EndedJob(workspace="hydro", step_sizes=(size,))
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


class SilentMinionTest(LimitUsageCase):
    """Minions that have not answered the owner after a takeover."""

    minion_count = 3
    silent_ms = 5_000

    def setUp(self) -> None:
        """Recovers a job that may run on a silent minion."""
        super().setUp()
        self.until_ms = self.now_ms + self.silent_ms
        self.recovered = self.recover()

    def recover(self, **step: object) -> steps.Job:
        """Recovers a job of two tasks that may run unseen."""
        job = self.build_job(cases.build_step(2, cpu=1_500, **step))
        self.apply(events.JobRecovered(job=job, unconfirmed=True))
        return job

    def fall_silent(self, *names: str, elsewhere_until_ms: int = 0) -> None:
        """Lets minions be those that have not answered."""
        self.apply(
            events.EarlierRunsUnconfirmed(
                until_ms=dict.fromkeys(names, self.until_ms),
                elsewhere_until_ms=elsewhere_until_ms,
            )
        )

    def test_new_job_waits_for_what_a_silent_minion_may_run(self) -> None:
        self.fall_silent("m9")
        self.assertEqual(self.submit_new(), [])
        self.tick(self.silent_ms)
        (new,) = self.get_starts()
        self.assertNotEqual(new.key.job_id, self.recovered.job_id)
        self.apply(events.EarlierRunsConfirmed())
        (recovered,) = self.get_starts()
        self.assertEqual(recovered.key.job_id, self.recovered.job_id)

    def test_new_job_that_fits_beside_it_starts_at_once(self) -> None:
        self.fall_silent("m9")
        self.submit(cases.build_step(cpu=LIMIT_CPU - 3_000))
        self.assertEqual(len(self.get_starts()), 1)

    def test_new_job_starts_once_the_minion_has_answered(self) -> None:
        self.fall_silent("m0")
        self.assertEqual(self.submit_new(), [])
        self.poll("m0")
        self.assertEqual(len(self.get_starts()), 1)

    def test_adopted_runs_are_not_counted_twice(self) -> None:
        self.fall_silent("m9")
        keys = [
            steps.TaskKey(
                job_id=self.recovered.job_id, repeat=0, step=0, index=index
            )
            for index in range(2)
        ]
        self.poll("m0", running=[cases.build_listed_run(k, 7) for k in keys])
        self.submit(cases.build_step(cpu=LIMIT_CPU - 3_000))
        self.assertEqual(len(self.get_starts()), 1)

    def test_tasks_of_a_cancelled_job_may_run_there_too(self) -> None:
        size = steps.StepSize(count=1, need=cases.build_need(LIMIT_CPU))
        ended = predecessors.EndedJob(workspace="hydro", step_sizes=(size,))
        self.apply(events.JobAlreadyEnded(job_id="a", ended=ended))
        self.fall_silent("m9")
        self.submit(cases.build_step(cpu=500))
        self.assertEqual(self.get_starts(), [])

    def test_no_more_than_the_silent_minions_offer_is_held_back(self) -> None:
        self.limit = resources.Resources(cpu_millis=4 * LIMIT_CPU)
        self.configure()
        for _ in range(5):
            self.recover()
        self.fall_silent("m9")
        self.submit(cases.build_step(4, cpu=LIMIT_CPU))
        self.assertEqual(len(self.get_starts()), 3)

    def test_fillers_may_occupy_more_than_the_silent_minions_offer(
        self,
    ) -> None:
        self.limit = resources.Resources(cpu_millis=4 * LIMIT_CPU)
        self.configure()
        for _ in range(5):
            self.recover(filler=True)
        self.fall_silent("m9")
        self.submit(cases.build_step(4, cpu=LIMIT_CPU))
        self.assertEqual(self.get_starts(), [])

    def test_minions_that_are_not_known_may_run_all_tasks(self) -> None:
        self.limit = resources.Resources(cpu_millis=4 * LIMIT_CPU)
        self.configure()
        for _ in range(5):
            self.recover()
        self.fall_silent(elsewhere_until_ms=self.until_ms)
        self.submit(cases.build_step(4, cpu=LIMIT_CPU))
        self.assertEqual(self.get_starts(), [])

    def test_nothing_is_preempted_for_what_is_out_of_sight(self) -> None:
        self.submit(cases.build_step(cpu=1_000, saves=True))
        self.assertEqual(len(self.confirm_starts()), 1)
        self.fall_silent("m9")
        self.submit(cases.build_step(cpu=500), queue="checks")
        self.assertEqual(self.get_stops(), [])
        self.assertEqual(self.get_starts(), [])


class FallenLimitTest(LimitUsageCase):
    """Starts that were decided under a higher limit."""

    def test_start_can_no_longer_begin_once_a_lower_limit_must_be_in_force(
        self,
    ) -> None:
        self.submit(cases.build_step(cpu=RUN_CPU))
        (start,) = self.get_starts()
        slowest = 1 + self.cell.settings.clock_drift
        left_ms = (start.valid_until_ms - self.now_ms) * slowest
        self.assertLess(left_ms, LIMIT_IN_FORCE_MS - DETECTION_MS)
