"""Tests of where suspects are placed, and of what ends their waits."""

from collections.abc import Callable

from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases
from tests.core.scheduling import test_placement


class AdvisedCrashCase(crash_cases.CrashCase, test_placement.AdviceCase):
    """A cell with crashing minions whose queues need advice.

    Attributes:
        may_run: Whether advice allows a minion, by its id.
        answered: Number of effects whose calls for advice were answered.
    """

    advice = cells.AdviceTerms(call_ms=100, minion_ms=1, valid_ms=2_500)

    def setUp(self) -> None:
        """Creates a cell whose advice allows every minion."""
        self.may_run: Callable[[str], bool] = lambda name: True
        self.answered = 0
        super().setUp()

    def serve(self, ticks: int = 1) -> None:
        """Answers the calls for advice that are made during some ticks."""
        for _ in range(ticks):
            while self.answered < len(self.all_effects):
                effect = self.all_effects[self.answered]
                self.answered += 1
                if isinstance(effect, effects.AskAdvice):
                    self.advise(
                        effect, *filter(self.may_run, effect.minion_ids)
                    )
            self.tick()

    def start_advised(self, *wanted, **words) -> str:
        """Submits a job, serves its advice and returns its id."""
        job_id = self.submit(*wanted, **words)
        self.serve(2)
        return job_id

    def crash_under(self, job_id: str, times: int) -> None:
        """Replaces the minion of a job's only run several times."""
        for _ in range(times):
            super().crash_under(job_id, 1)
            self.serve(3)


class LostMinionTest(AdvisedCrashCase):
    """Suspects are not lost with the minions that their advice allowed."""

    minion_count = 4

    def test_a_suspect_asks_about_minions_that_came_later(self) -> None:
        allowed = {"m0", "m100", "m101"}
        self.may_run = lambda name: name in allowed
        job_id = self.start_advised(cases.build_step())
        self.crash_under(job_id, 2)
        self.serve(10)
        self.assertEqual(self.find_run(job_id).minion_id, "m101")

    def test_a_suspect_asks_if_all_that_it_may_use_is_occupied(self) -> None:
        allowed = {"m0", "m1", "m2", "m101"}
        self.may_run = lambda name: name in allowed
        job_id = self.start_advised(cases.build_step(estimate_ms=600_000))
        self.crash_under(job_id, 1)
        self.start_advised(cases.build_step(cpu=3_500, estimate_ms=600_000))
        self.crash_under(job_id, 1)
        self.serve(10)
        self.assertEqual(self.find_run(job_id).minion_id, "m101")


class SolitudeTest(crash_cases.CrashCase):
    """Tasks that must run alone wait for empty minions."""

    minion_count = 12

    def start_solitary(self, count: int) -> list[str]:
        """Returns jobs whose tasks must run alone, on busy minions."""
        job_ids = [
            self.submit(cases.build_step(cpu=2_500)) for _ in range(count)
        ]
        for job_id in job_ids:
            self.crash_under(job_id, 2)
        names = [self.find_run(each).minion_id for each in job_ids]
        self.occupy_all(1_000)
        self.cut_off(*names)
        self.tick()
        return job_ids

    def test_they_do_not_wait_for_each_other(self) -> None:
        job_ids = self.start_solitary(2)
        for job_id in job_ids:
            self.assertEqual(self.find_runs(job_id), [])
        for name in solitude.list_reserved(self.cell):
            for run in self.list_running(name):
                self.end_run(name, run)
        self.tick()
        started = [len(self.find_runs(each)) for each in job_ids]
        self.assertEqual(started, [1, 1])

    def test_a_task_starts_beside_others_if_no_minion_becomes_empty(
        self,
    ) -> None:
        (job_id,) = self.start_solitary(1)
        self.assertEqual(self.find_runs(job_id), [])
        self.wait(7_000)
        self.assertEqual(len(self.find_runs(job_id)), 1)

    def test_a_deadly_task_that_starts_beside_others_crashes_two_minions_more(
        self,
    ) -> None:
        (job_id,) = self.start_solitary(1)
        for _ in range(5):
            self.wait(7_000)
            for run in self.find_runs(job_id):
                self.poll_running(run.minion_id)
                self.replace(run.minion_id)
        self.assertEqual(self.count_starts(job_id), 5)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)

    def wait(self, wait_ms: int) -> None:
        """Lets time pass."""
        for _ in range(wait_ms // 100):
            self.tick()


class SuspectsCase(crash_cases.CrashCase):
    """Many suspects wait, each of which goes on for long."""

    crash_count = 2

    def submit_suspects(self, count: int, tasks: int = 1, **words) -> list[str]:
        """Submits jobs all of whose tasks are suspects to silent minions.

        The minions answer after that.

        Args:
            count: Number of jobs.
            tasks: Number of tasks of each.
            **words: Further fields of their steps.
        """
        job_ids = []
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        for _ in range(count):
            job_id = self.submit(
                cases.build_step(tasks, cpu=500, estimate_ms=600_000, **words)
            )
            step = self.cell.jobs[job_id].steps[(0, 0)]
            for index in range(step.step.count):
                step.crashes[index] = crash_records.CrashedTask(
                    runs=set(range(-self.crash_count, 0))
                )
            job_ids.append(job_id)
        for name in self.cell.minions:
            self.poll(name)
        return job_ids

    def count_started(self, job_ids: list[str]) -> int:
        """Returns how many jobs have a run."""
        return sum(bool(self.find_runs(each)) for each in job_ids)


class ManySuspectsTest(SuspectsCase):
    """More suspects than minions wait."""

    minion_count = 4

    def check_keep_apart(self, **words) -> None:
        """Checks that suspects keep apart, but only for a limited time."""
        job_ids = self.submit_suspects(12, **words)
        self.tick(500)
        self.check_minions()
        self.assertEqual(self.count_started(job_ids), 4)
        for _ in range(105):
            self.tick()
        self.assertEqual(self.count_started(job_ids), 12)

    def test_they_keep_apart_only_for_a_limited_time(self) -> None:
        self.check_keep_apart()

    def test_gangs_of_suspects_keep_apart_only_for_a_limited_time(self) -> None:
        self.check_keep_apart(gang=True)


class ManySolitaryTasksTest(SuspectsCase):
    """Many tasks wait that must run alone."""

    minion_count = 12
    crash_count = 3

    def test_they_leave_most_minions_to_others(self) -> None:
        job_ids = self.submit_suspects(12)
        self.tick(500)
        self.assertEqual(self.count_started(job_ids), 3)
        gang = self.submit(cases.build_step(8, cpu=4_000, gang=True))
        self.tick()
        self.assertEqual(len(self.find_runs(gang)), 8)

    def test_they_all_start_within_a_limited_time(self) -> None:
        job_ids = self.submit_suspects(40)
        for _ in range(130):
            self.tick()
        self.assertEqual(self.count_started(job_ids), 40)


class SharedMinionTest(SuspectsCase):
    """Members of a gang that must run alone share minions."""

    minion_count = 12
    crash_count = 3

    def test_gangs_count_the_minions_that_they_close(self) -> None:
        job_ids = self.submit_suspects(3, 4, gang=True)
        self.tick(500)
        self.assertEqual(self.count_started(job_ids), 3)


class AdvisedSuspectsTest(AdvisedCrashCase):
    """A task that must run alone waits for its first advice, then for room."""

    minion_count = 4

    def test_both_waits_count_as_one(self) -> None:
        self.start_advised(
            cases.build_step(4, minion_limit=1, estimate_ms=600_000)
        )
        self.confirm_all()
        job_id = self.submit(cases.build_step(estimate_ms=600_000))
        step = self.cell.jobs[job_id].steps[(0, 0)]
        step.crashes[0] = crash_records.CrashedTask(runs={-1, -2, -3})
        for _ in range(65):
            self.tick()
        self.serve(3)
        self.assertEqual(len(self.find_runs(job_id)), 1)
