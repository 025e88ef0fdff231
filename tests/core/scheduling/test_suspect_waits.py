"""Tests that waits of suspects end, and that they keep no capacity idle."""

import dataclasses

from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases
from tests.core.scheduling import test_suspects


def count_crashes(
    case: cases.CellCase, job_id: str, count: int, index: int = 0
) -> None:
    """Counts crashes against a task that has not started yet."""
    step = case.cell.jobs[job_id].steps[(0, 0)]
    step.crashes[index] = crash_records.CrashedTask(
        runs={-number - 1 for number in range(count)}
    )


class OneAllowedMinionTest(test_suspects.AdvisedCrashCase):
    """Advice allows a suspect one minion, on which a task goes on for long."""

    minion_count = 4

    def test_its_wait_for_that_minion_to_empty_is_bounded(self) -> None:
        self.may_run = lambda name: name == "m0"
        self.start_advised(cases.build_step(estimate_ms=600_000))
        self.confirm_all()
        job_id = self.submit(cases.build_step())
        count_crashes(self, job_id, 3)
        self.serve(80)
        self.assertEqual(len(self.find_runs(job_id)), 1)


class FailingCallsTest(test_suspects.AdvisedCrashCase):
    """All calls for the tickets of a step with a suspect fail."""

    minion_count = 1

    def build_queue(self, name: str = "runs", rank: int = 1) -> cells.Queue:
        """Returns a queue; tasks of the queue `checks` need no advice."""
        queue = super().build_queue(name, rank=1)
        if name == "checks":
            queue = dataclasses.replace(queue, advice=None)
        return queue

    def fail_calls(self, ticks: int) -> None:
        """Lets the calls that are made during some ticks fail."""
        for _ in range(ticks):
            for call in self.get_effects(effects.AskAdvice):
                self.end_call(call, None)
            self.tick()

    def check_others_start(self, **words) -> None:
        """Checks that a task of another queue starts on the only minion."""
        job_id = self.submit(
            cases.build_step(cpu=3_000, estimate_ms=60_000, **words)
        )
        count_crashes(self, job_id, 3)
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(dataclasses.replace(call, valid_ms=0), "m0")
        self.fail_calls(20)
        other_id = self.submit(
            cases.build_step(cpu=3_000, estimate_ms=120_000), queue="checks"
        )
        self.fail_calls(20)
        self.assertEqual(self.find_runs(job_id), [])
        self.assertEqual(len(self.find_runs(other_id)), 1)

    def test_a_task_that_must_run_alone_keeps_no_minion_idle(self) -> None:
        self.check_others_start()

    def test_a_gang_with_suspects_keeps_no_capacity_idle(self) -> None:
        self.check_others_start(gang=True)


class SuspectsOfOneJobTest(crash_cases.CrashCase):
    """All tasks of a job are suspects, and each goes on for long."""

    minion_count = 6

    def start_suspects(self, crashes: int, **words) -> str:
        """Returns a job whose tasks have crashed minions."""
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        job_id = self.submit(cases.build_step(6, estimate_ms=600_000, **words))
        for index in range(6):
            count_crashes(self, job_id, crashes, index)
        for name in self.cell.minions:
            self.poll(name)
        return job_id

    def wait(self, wait_ms: int) -> None:
        """Lets time pass in which minions confirm what was started."""
        for _ in range(wait_ms // 100):
            self.tick()
            self.confirm_all()

    def test_services_do_not_wait_for_each_other_one_by_one(self) -> None:
        job_id = self.start_suspects(2, lasting=True)
        self.wait(8_000)
        self.assertEqual(len(self.find_runs(job_id)), 6)

    def test_services_that_must_run_alone_wait_no_longer(self) -> None:
        job_id = self.start_suspects(3, lasting=True)
        self.wait(6_000)
        self.assertEqual(len(self.find_runs(job_id)), 6)

    def test_other_tasks_do_not_wait_for_each_other_to_end(self) -> None:
        job_id = self.start_suspects(2)
        self.wait(8_000)
        self.check_half_run(job_id)

    def test_tasks_that_must_run_alone_do_not_either(self) -> None:
        job_id = self.start_suspects(3)
        self.wait(10_500)
        self.check_half_run(job_id)

    def check_half_run(self, job_id: str) -> None:
        """Checks that a job's tasks run on half of the minions, apart."""
        hosts = [run.minion_id for run in self.find_runs(job_id)]
        self.assertEqual(len(hosts), 3)
        self.assertEqual(len(set(hosts)), 3)


class GivenUpTest(crash_cases.CrashCase):
    """A task that must run alone has started beside others."""

    minion_count = 4

    def check_next_start(self, **words) -> None:
        """Checks that a task runs alone once minions are empty again."""
        other_id = self.occupy_all(1_000)
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        job_id = self.submit(cases.build_step(estimate_ms=600_000, **words))
        count_crashes(self, job_id, 3)
        self.confirm_all()
        self.assertEqual(self.find_runs(job_id), [])
        for _ in range(80):
            self.tick()
        run = self.find_run(job_id)
        self.assertFalse(solitude.is_solitary(run))
        for each in self.find_runs(other_id):
            self.end_run(each.minion_id, each)
        self.confirm_all()
        self.cut_off(run.minion_id)
        self.tick()
        self.assertTrue(solitude.is_solitary(self.find_run(job_id)))
        step = self.cell.jobs[job_id].steps[(0, 0)]
        self.assertFalse(solitude.may_join_others(self.cell, step))

    def test_it_runs_alone_again_once_minions_are_empty(self) -> None:
        self.check_next_start()

    def test_a_gang_runs_alone_again_once_minions_are_empty(self) -> None:
        self.check_next_start(gang=True)


class SilentMinionTest(crash_cases.CrashCase):
    """The minion of a service that runs alone falls silent."""

    minion_count = 4

    def test_the_service_waits_for_it_only_for_a_second(self) -> None:
        job_id = self.submit(cases.build_step(lasting=True))
        self.crash_under(job_id, 3)
        self.confirm_all()
        run = self.find_run(job_id)
        self.assertTrue(solitude.is_solitary(run))
        self.cut_off(run.minion_id)
        self.assertEqual(self.find_runs(job_id), [])
        for _ in range(15):
            self.tick()
        self.assertEqual(len(self.find_runs(job_id)), 1)


class ReservedForGangTest(crash_cases.CrashCase):
    """Minions are left to empty for a gang, and one does not empty."""

    minion_count = 4

    def test_the_others_do_not_stay_idle_for_as_long(self) -> None:
        self.submit(cases.build_step(cpu=4_000, estimate_ms=600_000))
        self.confirm_all()
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        gang_id = self.submit(cases.build_step(4, 4_000, gang=True))
        for index in range(4):
            count_crashes(self, gang_id, 3, index)
        self.confirm_all()
        self.tick(500)
        self.assertEqual(len(solitude.list_reserved(self.cell)), 4)
        other_id = self.submit(cases.build_step(12, estimate_ms=2_000))
        for _ in range(100):
            self.tick(1_000)
        self.assertEqual(len(self.find_runs(other_id)), 12)


class GangWithoutRoomTest(crash_cases.CrashCase):
    """A gang with a member that must run alone, which fits on no minions."""

    minion_count = 2

    def test_it_keeps_no_minion_idle(self) -> None:
        """Guards against others that wait for what can't be used (LOST)."""
        gang_id = self.submit(
            cases.build_step(3, cpu=1_000, gang=True, minion_limit=1)
        )
        count_crashes(self, gang_id, 3)
        self.tick()
        self.assertEqual(solitude.list_reserved(self.cell), [])
        other_id = self.submit(cases.build_step(4, cpu=2_000))
        self.tick()
        self.assertEqual(self.find_runs(gang_id), [])
        self.assertEqual(len(self.find_runs(other_id)), 4)

    def test_it_gives_up_a_minion_once_others_have_left(self) -> None:
        self.add_minion("m2")
        self.poll("m2")
        busy = self.submit(cases.build_step(3, cpu=3_000, minion_limit=1))
        self.confirm_all()
        self.assertEqual(len(self.find_runs(busy)), 3)
        gang_id = self.submit(
            cases.build_step(3, cpu=2_000, gang=True, minion_limit=1)
        )
        count_crashes(self, gang_id, 3)
        self.tick()
        (reserved,) = solitude.list_reserved(self.cell)
        other = next(name for name in self.cell.minions if name != reserved)
        self.apply(events.MinionUnreachable(minion_id=other))
        self.tick()
        self.assertEqual(solitude.list_reserved(self.cell), [])


class RecordedGivenUpTest(crash_cases.CrashCase):
    """A takeover follows a crash of a task that had started beside others."""

    minion_count = 4
    epoch = 2

    def play_start(self, crashed: int) -> str:
        """Returns a recovered job that has crashed one minion more."""
        self.occupy_all(1_000)
        job = self.build_job(cases.build_step(estimate_ms=600_000))
        key = steps.TaskKey(job_id=job.job_id, repeat=0, step=0, index=0)
        rows = tuple(
            crash_cases.build_crash_row(key, number)
            for number in range(1, crashed + 1)
        )
        self.apply(events.JobRecovered(job=job, ends=rows))
        for _ in range(70):
            self.tick()
        run = self.find_run(job.job_id)
        self.assertFalse(solitude.is_solitary(run))
        self.poll_running(run.minion_id)
        self.replace(run.minion_id)
        return job.job_id

    def test_the_fifth_crash_ends_its_job(self) -> None:
        job_id = self.play_start(crashed=4)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def test_the_fourth_does_not(self) -> None:
        job_id = self.play_start(crashed=3)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)


class OneWaitTest(crash_cases.CrashCase):
    """Several tasks of a step must run alone, and empty minions are few."""

    minion_count = 4

    def test_each_task_does_not_wait_anew(self) -> None:
        other_id = self.occupy_all(3_000)
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        job_id = self.submit(cases.build_step(3, estimate_ms=600_000))
        for index in range(3):
            count_crashes(self, job_id, 3, index)
        self.confirm_all()
        self.wait(5_000)
        self.assertEqual(self.find_runs(job_id), [])
        run = self.find_runs(other_id)[0]
        self.end_run(run.minion_id, run)
        self.wait(300)
        self.assertTrue(solitude.is_solitary(self.find_run(job_id)))
        self.wait(4_000)
        self.assertEqual(len(self.find_runs(job_id)), 2)

    def wait(self, wait_ms: int) -> None:
        """Lets time pass in which minions confirm what was started."""
        for _ in range(wait_ms // 100):
            self.tick()
            for name in self.cell.minions:
                if any(run.confirmed_ms < 0 for run in self.list_running(name)):
                    self.poll_running(name)


class LoneServiceTest(test_suspects.AdvisedCrashCase):
    """A service runs alone on the only minion that a step may use."""

    minion_count = 2

    def test_the_step_waits_only_until_the_service_has_settled(self) -> None:
        self.may_run = lambda name: name == "m0"
        service_id = self.submit(cases.build_step(lasting=True))
        count_crashes(self, service_id, 3)
        self.serve(3)
        self.confirm_all()
        self.assertTrue(solitude.is_solitary(self.find_run(service_id)))
        job_id = self.start_advised(cases.build_step())
        self.assertEqual(self.find_runs(job_id), [])
        self.serve(60)
        self.assertEqual(len(self.find_runs(job_id)), 1)


class CalmCellTest(crash_cases.CrashCase):
    """Little is running, but something on each minion."""

    minion_count = 4

    def test_a_suspect_starts_within_three_seconds_of_another_one(
        self,
    ) -> None:
        """Guards against a wait for a minion without suspects (LOST)."""
        self.add_minion("m0", labels=("only", "r1"))
        self.apply(events.MinionUnreachable(minion_id="m0"))
        long = cases.build_step(label="only", estimate_ms=600_000)
        job_ids = [self.submit(long) for _ in range(2)]
        for job_id in job_ids:
            count_crashes(self, job_id, 2)
        for _ in range(32):
            self.confirm_all()
            self.tick()
        self.assertEqual(
            [len(self.find_runs(job_id)) for job_id in job_ids], [1, 1]
        )

    def test_a_task_that_must_run_alone_starts_within_three_seconds(
        self,
    ) -> None:
        self.occupy_all(1_000)
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        job_id = self.submit(cases.build_step())
        count_crashes(self, job_id, 3)
        self.confirm_all()
        for _ in range(29):
            self.tick()
        self.assertEqual(len(self.find_runs(job_id)), 1)
