"""Tests of the lifecycle of jobs."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases


class LifecycleTest(cases.CellCase):
    """State changes of a job."""

    def test_job_is_completed_when_each_task_is_done(self) -> None:
        job_id = self.submit(cases.build_step(count=2))
        first, second = self.confirm_starts()
        self.end(first)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
        self.end(second)
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)

    def test_a_known_job_is_not_started_again(self) -> None:
        job = self.build_job()
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(len(self.get_starts()), 1)
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])

    def test_later_steps_wait_for_every_task_before(self) -> None:
        self.submit(
            cases.build_step(count=2), cases.build_step(count=1, after=(0,))
        )
        first, second = self.confirm_starts()
        self.end(first)
        self.assertEqual(self.get_starts(), [])
        self.end(second)
        self.assertEqual([each.key.step for each in self.get_starts()], [1])

    def test_failed_task_runs_again_with_a_higher_number(self) -> None:
        self.submit()
        (start,) = self.confirm_starts()
        self.end(start, "failed")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_job_fails_after_its_attempts(self) -> None:
        job_id = self.submit()
        (start,) = self.confirm_starts()
        self.end(start, "failed")
        (again,) = self.confirm_starts()
        self.end(again, "failed")
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertEqual(self.get_starts(), [])

    def test_stopped_runs_are_no_attempts(self) -> None:
        job_id = self.submit()
        for _ in range(4):
            (start,) = self.confirm_starts()
            self.end(start, "stopped", checkpoint="saved")
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
        self.assertEqual(self.get_starts()[0].checkpoint, "saved")

    def test_cancel_stops_what_runs_and_starts_nothing(self) -> None:
        job_id = self.submit(cases.build_step(count=1))
        (start,) = self.confirm_starts()
        self.apply(events.JobCancelled(job_id=job_id))
        self.assertEqual([each.key for each in self.get_stops()], [start.key])
        self.end(start, "stopped")
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_state(job_id), state.JobState.CANCELLED)

    def test_cancelled_job_does_not_complete(self) -> None:
        job_id = self.submit()
        (start,) = self.confirm_starts()
        self.apply(events.JobCancelled(job_id=job_id))
        self.end(start)
        self.assertEqual(self.get_state(job_id), state.JobState.CANCELLED)

    def test_lasting_task_is_restarted_however_it_ends(self) -> None:
        job_id = self.submit(cases.build_step(lasting=True))
        for kind in ("done", "failed", "failed", "failed", "stopped"):
            (start,) = self.confirm_starts()
            self.end(start, kind)
        self.assertEqual(len(self.get_starts()), 1)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_repeats_begin_at_their_time(self) -> None:
        job = steps.Job(
            job_id="timed",
            workspace="hydro",
            queue=self.configuration.queues["runs"],
            payload="",
            steps=(cases.build_step(),),
            accepted_ms=0,
            repeats=2,
            first_ms=50_000,
            interval_ms=10_000,
        )
        self.cell.wall_ms = 49_000
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(self.get_starts(), [])
        self.apply(events.Ticked(wall_ms=50_000))
        self.assertEqual([each.key.repeat for each in self.get_starts()], [0])
        self.apply(events.Ticked(wall_ms=60_000))
        self.assertEqual([each.key.repeat for each in self.get_starts()], [1])


class OfferedJobTest(cases.CellCase):
    """Jobs that are not stored yet."""

    def test_nothing_starts_before_the_job_is_stored(self) -> None:
        job = self.build_job()
        self.apply(events.JobOffered(job=job))
        self.assertEqual(self.get_starts(), [])
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(len(self.get_starts()), 1)

    def test_offered_job_that_is_not_stored_is_dropped(self) -> None:
        job = self.build_job()
        self.apply(events.JobOffered(job=job))
        self.tick(self.cell.settings.offer_timeout_ms + 1)
        self.assertEqual(self.cell.jobs, {})
        self.assertEqual(self.cell.ready, {})


class RecoveryTest(cases.CellCase):
    """Recovery of jobs of an earlier owner."""

    epoch = 2

    def recover(self, *ends: events.RecordedEnd, **words) -> str:
        """Recovers a job of two tasks and returns its id."""
        job = self.build_job(cases.build_step(count=2))
        self.apply(events.JobRecovered(job=job, ends=ends, **words))
        return job.job_id

    def build_recorded_end(self, index: int, kind: str, number: int = 1):
        """Returns a recorded end of the next job."""
        key = steps.TaskKey(job_id="job1", repeat=0, step=0, index=index)
        return events.RecordedEnd(
            key=key,
            number=number,
            kind=minions.EndKind(kind),
            checkpoint="",
        )

    def test_done_tasks_do_not_run_again(self) -> None:
        self.recover(self.build_recorded_end(0, "done"))
        self.assertEqual([each.key.index for each in self.get_starts()], [1])

    def test_runs_are_numbered_above_those_of_earlier_owners(self) -> None:
        self.recover()
        self.assertTrue(
            all(each.number > 1_000_000 for each in self.get_starts())
        )

    def test_an_end_listed_twice_counts_once(self) -> None:
        job_id = self.recover(self.build_recorded_end(0, "failed"))
        end = minions.TaskEnd(
            number=1,
            key=self.cell.jobs[job_id].steps[(0, 0)].get_key(0),
            run=1,
            kind=minions.EndKind.FAILED,
            checkpoint="",
        )
        self.poll("m0", ends=(end,))
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_nothing_starts_while_earlier_runs_are_unconfirmed(self) -> None:
        self.recover(unconfirmed=True)
        self.assertEqual(self.get_starts(), [])
        self.apply(events.EarlierRunsConfirmed())
        self.assertEqual(len(self.get_starts()), 2)

    # Guards against starts that go ahead although ends are still to be listed.
    def test_no_time_confirms_earlier_runs(self) -> None:
        self.recover(unconfirmed=True)
        self.tick(600_000)
        self.assertEqual(self.get_starts(), [])

    def test_runs_that_a_minion_lists_are_adopted(self) -> None:
        job_id = self.recover(unconfirmed=True)
        key = self.cell.jobs[job_id].steps[(0, 0)].get_key(0)
        start = cases.build_listed_run(key, 7)
        self.poll("m0", running=(start,))
        self.apply(events.EarlierRunsConfirmed())
        self.assertEqual([each.key.index for each in self.get_starts()], [1])

    def test_cancelled_job_stays_cancelled(self) -> None:
        job_id = self.recover(cancelled=True)
        self.assertEqual(self.get_state(job_id), state.JobState.CANCELLED)
        self.assertEqual(self.get_starts(), [])
