"""Tests of which crashes may end a job."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases

AWAY = minions.OrderFailure(reason="not_contacted")


class UnprovenTest(crash_cases.CrashCase):
    """Starts that may have met a minion that was away already."""

    def lose_starts(self, job_id: str, times: int) -> None:
        """Loses several starts of a job's only task with their minions."""
        for _ in range(times):
            run = self.find_run(job_id)
            start = cases.build_listed_run(run.key, run.number, run.minion_id)
            self.answer(start, crash_cases.UNANSWERED)
            self.now_ms += self.cell.settings.start_valid_ms + 500
            self.restart(run.minion_id)

    def crash(self, job_id: str) -> None:
        """Restarts the minion on which a job's only task is at work."""
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        self.tick(1_000)

    # Guards against a job that is given up after its first crash.
    def test_one_crash_after_unanswered_starts_does_not_convict(self) -> None:
        job_id = self.submit()
        self.lose_starts(job_id, 3)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_the_next_one_convicts(self) -> None:
        job_id = self.submit()
        self.lose_starts(job_id, 3)
        self.crash(job_id)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_unanswered_starts_do_so_too_if_the_minion_was_there(self) -> None:
        job_id = self.submit()
        self.lose_starts(job_id, crash_cases.MAX_STARTS)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_starts_to_minions_that_are_away_never_do(self) -> None:
        self.answers_polls = False
        job_id = self.submit()
        self.lose_starts(job_id, 2 * crash_cases.MAX_STARTS)
        self.assertNotEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_a_minion_that_is_away_gets_no_start(self) -> None:
        job_id = self.submit()
        self.lose_starts(job_id, 3)
        run = self.find_run(job_id)
        (start,) = [
            each
            for each in self.all_effects
            if isinstance(each, effects.StartTask)
            and each.key.job_id == job_id
            and each.number == run.number
        ]
        self.assertTrue(start.contact_first)
        self.answer(start, AWAY)
        self.tick(1_000)
        self.assertEqual(len(self.find_runs(job_id)), 1)
        self.assertGreater(self.find_run(job_id).number, run.number)

    def test_a_cut_that_is_not_over_proves_no_crash(self) -> None:
        job_id = self.submit()
        for _ in range(3):
            self.confirm_all()
            self.cut_off(self.find_run(job_id).minion_id)
            self.tick(1_000)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_crash_is_proven_once_the_minion_returns_otherwise(self) -> None:
        job_id = self.submit()
        for _ in range(3):
            self.confirm_all()
            name = self.find_run(job_id).minion_id
            self.cut_off(name)
            self.tick(1_000)
            self.restart(name)
            (row,) = [
                each
                for each in self.all_effects
                if isinstance(each, effects.RecordCrash) and each.proven
            ][-1:]
            self.assertEqual(row.key.job_id, job_id)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)


class RecordedProofTest(crash_cases.CrashCase):
    """A new owner reads what an earlier one has proven."""

    epoch = 2

    def recover(self, *proven: bool) -> str:
        """Recovers a job with a recorded crash for each argument."""
        key = steps.TaskKey(job_id="job1", repeat=0, step=0, index=0)
        rows = tuple(
            crash_cases.build_crash_row(key, number, proven=each)
            for number, each in enumerate(proven, 1)
        )
        job = self.build_job()
        self.apply(events.JobRecovered(job=job, ends=rows, hiding_epochs=(2,)))
        return job.job_id

    def crash(self, job_id: str) -> None:
        """Restarts the minion on which a job's only task is at work."""
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)

    # Guards against a job that is given up after one crash, since a start
    # without an answer and takeovers were counted with it.
    def test_an_unproven_crash_and_one_more_do_not_convict(self) -> None:
        job_id = self.recover(False, False, False)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_proven_crash_and_one_more_do(self) -> None:
        job_id = self.recover(False, False, True)
        self.crash(job_id)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
