"""Tests of tasks that crash the minions that start them."""

import dataclasses

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases


class DeadlyTaskTest(crash_cases.CrashCase):
    """Tasks that crash each minion that starts them are given up."""

    def test_a_task_that_restarts_every_minion_is_given_up(self) -> None:
        job_id = self.submit()
        self.play({job_id}, self.restart)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_a_task_whose_minions_return_with_new_ids_is_given_up(self) -> None:
        job_id = self.submit()
        self.play({job_id}, self.replace)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_a_solitary_run_on_a_silent_minion_is_given_up_once_it_is_certain(
        self,
    ) -> None:
        for is_replaced in (False, True):
            job_id = self.submit()
            self.crash_until_solitary(job_id)
            self.confirm_all()
            name = self.find_run(job_id).minion_id
            self.cut_off(name)
            self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
            if is_replaced:
                self.apply(events.MinionUnregistered(minion_id=name))
            else:
                self.restart(name)
            self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_a_lasting_task_is_given_up(self) -> None:
        job_id = self.submit(cases.build_step(lasting=True))
        self.play({job_id}, self.restart)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_starts_that_were_never_answered_count(self) -> None:
        job_id = self.submit()
        for _ in range(2 * crash_cases.MAX_STARTS):
            for run in self.find_runs(job_id):
                start = cases.build_listed_run(
                    run.key, run.number, run.minion_id
                )
                self.answer(start, crash_cases.UNANSWERED)
                self.restart(run.minion_id)
                self.now_ms += self.cell.settings.start_valid_ms + 500
                self.poll_running(run.minion_id)
                self.tick(1_000)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_a_stop_that_the_next_incarnation_confirms_hides_no_crash(
        self,
    ) -> None:
        job_id = self.submit()
        for _ in range(2 * crash_cases.MAX_STARTS):
            for run in self.find_runs(job_id):
                start = cases.build_listed_run(
                    run.key, run.number, run.minion_id
                )
                self.answer(start, crash_cases.UNANSWERED)
                self.confirm_stop(start)
                self.restart(run.minion_id)
            self.tick(1_000)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_every_member_of_a_deadly_gang_starts_few_times(self) -> None:
        job_id = self.submit(cases.build_step(count=3, cpu=3_000, gang=True))
        self.play({job_id}, self.restart)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        for index in range(3):
            self.assertLessEqual(
                self.count_starts(job_id, index), crash_cases.MAX_STARTS
            )

    def test_a_gang_with_one_deadly_member_is_given_up(self) -> None:
        job_id = self.submit(cases.build_step(count=3, cpu=3_000, gang=True))
        for _ in range(crash_cases.ROUNDS):
            self.tick(1_000)
            self.confirm_all()
            first = [run for run in self.find_runs(job_id) if not run.key.index]
            for run in first:
                self.restart(run.minion_id)
            for run in self.find_runs(job_id):
                self.poll(
                    run.minion_id,
                    incarnation=self.incarnations.get(run.minion_id, 1),
                )
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)

    def test_one_suspect_of_a_job_runs_at_a_time(self) -> None:
        job_id = self.submit(cases.build_step(count=4, cpu=3_000))
        for _ in range(2):
            self.confirm_all()
            for run in self.find_runs(job_id):
                self.restart(run.minion_id)
            self.tick(1_000)
        self.assertEqual(len(self.find_runs(job_id)), 1)


class InnocentTest(crash_cases.CrashCase):
    """Jobs that merely ran on a minion that crashed are not given up."""

    def test_jobs_beside_deadly_ones_are_completed(self) -> None:
        deadly = {self.submit() for _ in range(3)}
        innocent = [self.submit(cases.build_step(count=2)) for _ in range(12)]
        self.play(deadly, self.restart)
        for job_id in innocent:
            self.assertEqual(self.get_state_name(job_id), "completed")
        for job_id in deadly:
            self.assertEqual(self.get_state_name(job_id), "failed")
            self.assertLessEqual(
                self.count_starts(job_id), crash_cases.MAX_STARTS
            )

    def test_jobs_beside_a_deadly_gang_are_completed(self) -> None:
        deadly = self.submit(cases.build_step(count=3, cpu=2_000, gang=True))
        innocent = [self.submit(cases.build_step(count=2)) for _ in range(8)]
        self.play({deadly}, self.replace)
        for job_id in innocent:
            self.assertEqual(self.get_state_name(job_id), "completed")
        self.assertEqual(self.get_state_name(deadly), "failed")

    def test_three_crashes_in_company_do_not_convict(self) -> None:
        job_ids = [self.submit(), self.submit()]
        for _ in range(3):
            self.confirm_all()
            for name in {self.find_run(each).minion_id for each in job_ids}:
                self.restart(name)
        for job_id in job_ids:
            self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_minion_that_was_only_cut_off_counts_no_longer(self) -> None:
        job_id = self.submit()
        for _ in range(2 * crash_cases.MAX_STARTS):
            self.confirm_all()
            name = self.find_run(job_id).minion_id
            self.cut_off(name)
            self.poll(name)
            self.store_crashes()
            self.tick(1_000)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
        self.assertEqual(len(self.find_runs(job_id)), 1)

    def test_a_solitary_run_on_a_minion_that_is_cut_off_is_not_given_up(
        self,
    ) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        for _ in range(2 * crash_cases.MAX_STARTS):
            self.confirm_all()
            name = self.find_run(job_id).minion_id
            self.cut_off(name)
            self.poll(name, incarnation=self.incarnations.get(name, 1))
            self.tick(1_000)
            self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_solitary_task_waits_for_its_silent_minion_only_for_a_while(
        self,
    ) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        self.confirm_all()
        self.cut_off(self.find_run(job_id).minion_id)
        self.tick(100)
        self.assertEqual(self.find_runs(job_id), [])
        self.tick(15_000)
        self.assertEqual(len(self.find_runs(job_id)), 1)

    def test_a_start_that_may_have_met_a_crashed_minion_does_not_convict(
        self,
    ) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        run = self.find_run(job_id)
        start = cases.build_listed_run(run.key, run.number, run.minion_id)
        self.answer(start, crash_cases.UNANSWERED)
        self.restart(run.minion_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_a_draining_minion_that_crashes_does_not_count(self) -> None:
        job_id = self.submit()
        for _ in range(2 * crash_cases.MAX_STARTS):
            self.confirm_all()
            name = self.find_run(job_id).minion_id
            self.add_minion(name, draining=True)
            self.assertEqual(self.restart(name), [])
            self.add_minion(name)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_runs_that_are_not_listed_do_not_count(self) -> None:
        job_id = self.submit()
        for _ in range(2 * crash_cases.MAX_STARTS):
            self.confirm_all()
            self.now_ms += 10
            self.poll(self.find_run(job_id).minion_id)
            self.assertEqual(self.get_effects(effects.RecordCrash), [])
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)

    def test_stopped_and_refused_runs_do_not_count(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.answer(start, crash_cases.UNANSWERED)
        self.confirm_stop(start)
        self.now_ms += 1
        self.poll(start.minion_id)
        (again,) = self.get_starts()
        self.answer(again, crash_cases.LATE)
        self.assertEqual(self.get_state(job_id), state.JobState.QUEUED)
        counted = {
            row.number
            for name in list(self.cell.minions)
            for row in self.restart(name)
        }
        self.assertFalse(counted & {start.number, again.number})


class StormTest(crash_cases.CrashCase):
    """Many deadly jobs in a busy cell."""

    minion_count = 8

    def submit(self, step: steps.Step) -> str:
        """Submits a job without estimates.

        Its runs make no progress, by which some minions would count as slow.
        """
        return super().submit(dataclasses.replace(step, estimate_ms=0))

    def test_every_innocent_job_is_completed(self) -> None:
        deadly = {
            self.submit(cases.build_step(count=1 + number % 3))
            for number in range(4)
        }
        deadly.add(self.submit(cases.build_step(count=6, cpu=800, gang=True)))
        innocent = [
            self.submit(cases.build_step(count=3, cpu=1_500)) for _ in range(20)
        ]
        innocent += [
            self.submit(cases.build_step(count=4, cpu=700, gang=True))
            for _ in range(4)
        ]
        self.play(deadly, self.restart)
        for job_id in innocent:
            self.assertEqual(self.get_state_name(job_id), "completed")
        for job_id in deadly:
            self.assertEqual(self.get_state_name(job_id), "failed")
            for index in range(6):
                starts = self.count_starts(job_id, index)
                self.assertLessEqual(starts, crash_cases.MAX_STARTS)

    def test_a_gang_in_need_of_solitude_fits_its_minions(self) -> None:
        job_id = self.submit(cases.build_step(count=5, cpu=3_000, gang=True))
        for _ in range(3):
            self.confirm_all()
            for run in self.find_runs(job_id):
                self.restart(run.minion_id)
        for run in self.find_runs(job_id):
            self.poll(
                run.minion_id, incarnation=self.incarnations[run.minion_id]
            )
        crashed = self.cell.jobs[job_id].steps[(0, 0)].crashes
        self.assertTrue(any(each.needs_solitude for each in crashed.values()))
        busy = [self.submit(cases.build_step(count=40)) for _ in range(3)]
        for _ in range(200):
            self.tick(1_000)
            self.check_minions()
            self.confirm_all()
            for name in list(self.cell.minions):
                for run in self.list_running(name)[:1]:
                    if run.key.job_id in busy:
                        self.end_run(name, run)
        self.assertEqual(len(self.find_runs(job_id)), 5)
