"""Tests of crashes that a new owner reads from the store."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases


class RecordedCrashTest(crash_cases.CrashCase):
    """Crashes survive takeovers."""

    epoch = 2

    def build_row(
        self, number: int, kind: minions.EndKind
    ) -> events.RecordedEnd:
        """Returns a recorded end of the next job's task."""
        key = steps.TaskKey(job_id="job1", repeat=0, step=0, index=0)
        return events.RecordedEnd(
            key=key, number=number, kind=kind, checkpoint=""
        )

    def recover(self, crashed: int, retracted: int = 0) -> str:
        """Recovers a job with recorded crashes and returns its id."""
        rows = [
            self.build_row(number, minions.EndKind.LEASE_EXPIRED)
            for number in range(1, crashed + 1)
        ]
        rows += [
            self.build_row(number, minions.EndKind.STOPPED)
            for number in range(1, retracted + 1)
        ]
        job = self.build_job()
        self.apply(events.JobRecovered(job=job, ends=tuple(rows)))
        return job.job_id

    def test_a_second_crash_is_stored_before_the_next_start(self) -> None:
        job_id = self.submit()
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        self.confirm_all()
        run = self.find_run(job_id)
        self.poll(run.minion_id, incarnation=9)
        (row,) = self.get_effects(effects.RecordCrash)
        self.tick(5_000)
        self.assertEqual(self.find_runs(job_id), [])
        self.apply(events.CrashStored(key=row.key, number=row.number))
        self.assertEqual(len(self.find_runs(job_id)), 1)

    def test_the_next_owner_counts_recorded_crashes(self) -> None:
        job_id = self.recover(crashed=3)
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_the_next_owner_does_not_count_retracted_crashes(self) -> None:
        job_id = self.recover(crashed=3, retracted=2)
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_crash_that_a_takeover_may_have_hidden_leads_to_solitude(
        self,
    ) -> None:
        job_id = self.recover(crashed=2)
        host = self.find_run(job_id).minion_id
        self.submit(cases.build_step(count=24))
        self.assertEqual(len(self.list_running(host)), 1)

    def test_a_run_that_outlived_a_takeover_hides_no_crash(self) -> None:
        job = self.build_job()
        rows = tuple(
            self.build_row(number, minions.EndKind.LEASE_EXPIRED)
            for number in (1, 2)
        )
        self.apply(
            events.JobRecovered(
                job=job,
                ends=rows,
                unconfirmed=True,
            )
        )
        key = steps.TaskKey(job_id=job.job_id, repeat=0, step=0, index=0)
        self.poll("m0", running=(cases.build_listed_run(key, 3),))
        self.apply(events.EarlierRunsConfirmed())
        self.submit(cases.build_step(count=24))
        self.assertEqual(len(self.list_running("m0")), 4)

    def recover_after_hidden(self, **words: object) -> str:
        """Recovers a job whose earlier crashes takeovers may have hidden."""
        job = self.build_job()
        self.apply(events.JobRecovered(job=job, **words))
        return job.job_id

    def is_alone_after_a_crash(self, job_id: str) -> bool:
        """Crashes the minion of a job's run; returns whether it runs alone."""
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        host = self.find_run(job_id).minion_id
        self.submit(cases.build_step(count=24))
        return len(self.list_running(host)) == 1

    def test_crashes_that_two_takeovers_may_have_hidden_are_assumed(
        self,
    ) -> None:
        job_id = self.recover_after_hidden(hiding_epochs=(1, 2))
        self.assertTrue(self.is_alone_after_a_crash(job_id))

    def test_takeovers_alone_make_no_suspect(self) -> None:
        job_id = self.recover_after_hidden(hiding_epochs=(1, 1, 1, 1, 2))
        host = self.find_run(job_id).minion_id
        self.submit(cases.build_step(count=24))
        self.assertEqual(len(self.list_running(host)), 4)

    def test_first_crash_after_calm_takeovers_does_not_isolate(self) -> None:
        job_id = self.recover_after_hidden()
        self.assertFalse(self.is_alone_after_a_crash(job_id))

    def test_a_run_that_outlived_the_takeover_excludes_a_hidden_crash(
        self,
    ) -> None:
        job_id = self.recover_after_hidden(
            hiding_epochs=(1, 2),
            unconfirmed=True,
        )
        key = steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)
        self.poll("m0", running=(cases.build_listed_run(key, 3),))
        self.apply(events.EarlierRunsConfirmed())
        self.assertFalse(self.is_alone_after_a_crash(job_id))

    # Guards against a task that must run alone after its first crash, though
    # its run has outlived every takeover.
    def test_a_run_that_outlived_several_takeovers_hides_no_crash(self) -> None:
        job_id = self.recover_after_hidden(
            hiding_epochs=(2, 3, 4),
            unconfirmed=True,
        )
        key = steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)
        self.poll("m0", running=(cases.build_listed_run(key, 3),))
        self.apply(events.EarlierRunsConfirmed())
        self.assertFalse(self.is_alone_after_a_crash(job_id))
        step = self.cell.jobs[job_id].steps[(0, 0)]
        self.assertEqual(step.crashes[0].count, 1)

    def test_a_recorded_crash_starts_nothing_before_its_turn(self) -> None:
        row = self.build_row(1, minions.EndKind.LEASE_EXPIRED)
        key = steps.TaskKey(job_id="job1", repeat=0, step=1, index=0)
        row = events.RecordedEnd(
            key=key, number=1, kind=row.kind, checkpoint=""
        )
        job = self.build_job(cases.build_step(), cases.build_step(after=(0,)))
        self.apply(events.JobRecovered(job=job, ends=(row,)))
        self.assertEqual([each.key.step for each in self.get_starts()], [0])

    def test_a_run_that_was_alone_before_the_takeover_convicts(self) -> None:
        job_id = self.recover(crashed=3)
        number = self.find_run(job_id).number
        start = cases.build_listed_run(self.find_run(job_id).key, number)
        self.cell = state.CellState(settings=self.build_settings(), epoch=3)
        self.configure()
        for index in range(self.minion_count):
            self.add_minion(f"m{index}")
        job = self.build_job()
        rows = tuple(
            self.build_row(each, minions.EndKind.LEASE_EXPIRED)
            for each in (1, 2, 3)
        )
        job = steps.Job(
            job_id=job_id,
            workspace=job.workspace,
            queue=job.queue,
            payload="",
            steps=job.steps,
            accepted_ms=0,
        )
        reducer.reduce(
            self.cell,
            events.JobRecovered(
                job=job,
                ends=rows,
                unconfirmed=True,
            ),
            self.now_ms,
        )
        self.poll("m0", running=(start,))
        self.apply(events.EarlierRunsConfirmed())
        self.restart("m0")
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_a_retracted_crash_is_recorded(self) -> None:
        job_id = self.submit()
        self.confirm_all()
        name = self.find_run(job_id).minion_id
        (row,) = self.cut_off(name)
        self.poll(name)
        (retraction,) = self.get_effects(effects.RecordCrash)
        self.assertTrue(retraction.retracted)
        self.assertEqual(retraction.number, row.number)
