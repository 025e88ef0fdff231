"""Tests of the choice of the steps that a placement pass considers."""

from hickoryreach.scheduling import candidates
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import settings
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases

BLOCKED_COUNT = 200
OVERDUE_S = 60
SHARE = 1_000_000.0  # no job of a test exceeds it


class StarvationTest(cases.CellCase):
    """Steps that can't start don't keep others from being considered."""

    def build_workspaces(self) -> list[cells.Workspace]:
        """Returns a workspace with a low limit and one without any."""
        low = resources.Resources(cpu_millis=500)
        return [
            cells.Workspace(name="wind", share=SHARE, limit=low),
            cells.Workspace(name="hydro", share=SHARE, limit=self.limit),
        ]

    def wait_for_start(self, job_id: str, seconds: int = 3) -> int:
        """Returns the number of tasks of a job that start within a time."""
        started = 0
        for _ in range(10 * seconds):
            started += sum(
                each.key.job_id == job_id for each in self.get_starts()
            )
            self.tick()
        return started

    def submit_many(self, count: int, wanted: steps.Step, **words: str) -> None:
        """Submits many jobs of one step before the next pass."""
        for _ in range(count):
            event = events.JobAccepted(job=self.build_job(wanted, **words))
            reducer.reduce(self.cell, event, self.now_ms)

    def submit_behind(self, *wanted: steps.Step) -> str:
        """Submits a job that grows late while no minion answers."""
        self.silence_minions()
        job_id = self.submit(*wanted)
        self.now_ms += OVERDUE_S * 1_000
        for name in self.cell.minions:
            self.poll(name)
        return job_id

    def silence_minions(self) -> None:
        """Lets every minion fall silent."""
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))

    def test_steps_at_a_workspaces_limit_do_not_starve_other_workspaces(
        self,
    ) -> None:
        for _ in range(BLOCKED_COUNT):
            self.submit(cases.build_step(), workspace="wind")
        late = self.submit_behind(cases.build_step(2, cpu=4_000, gang=True))
        self.assertEqual(self.wait_for_start(late), 2)

    def test_a_gang_that_lost_its_minions_restarts_behind_blocked_steps(
        self,
    ) -> None:
        gang = self.submit(cases.build_step(2, cpu=4_000, gang=True))
        self.confirm_starts()
        self.silence_minions()
        for _ in range(BLOCKED_COUNT):
            self.submit(cases.build_step(), workspace="wind", queue="checks")
        self.now_ms += OVERDUE_S * 1_000
        for name in ("m0", "m1"):
            self.apply(events.LeaseExpired(minion_id=name))
        for name in ("m0", "m1"):
            self.poll(name, incarnation=2)
        self.assertEqual(self.wait_for_start(gang), 2)

    def test_steps_that_fit_on_no_minion_do_not_starve_others(self) -> None:
        for _ in range(BLOCKED_COUNT):
            self.submit(cases.build_step(cpu=9_000))
        late = self.submit_behind(cases.build_step(2, cpu=4_000, gang=True))
        self.assertEqual(self.wait_for_start(late, seconds=10), 2)

    def test_lasting_tasks_start_behind_steps_that_fit_nowhere(self) -> None:
        for _ in range(BLOCKED_COUNT):
            self.submit(cases.build_step(cpu=9_000))
        late = self.submit_behind(cases.build_step(lasting=True))
        self.assertEqual(self.wait_for_start(late, seconds=10), 1)

    def test_steps_that_fit_nowhere_take_no_turns_of_those_that_fit(
        self,
    ) -> None:
        self.submit_many(5 * BLOCKED_COUNT, cases.build_step(cpu=9_000))
        late = self.submit_behind(cases.build_step())
        self.assertEqual(self.wait_for_start(late), 1)

    def test_jobs_that_are_not_stored_yet_do_not_hold_up_those_that_are(
        self,
    ) -> None:
        self.submit(cases.build_step(6, estimate_ms=60_000))
        self.confirm_starts()
        for _ in range(BLOCKED_COUNT):
            job = self.build_job(queue="checks")
            self.apply(events.JobOffered(job=job))
        stored = self.submit(cases.build_step())
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [stored])

    def test_steps_at_a_limit_take_no_turns_of_those_below_theirs(
        self,
    ) -> None:
        unfit = cases.build_step(cpu=9_000)
        self.submit_many(BLOCKED_COUNT, unfit, queue="checks")
        blocked = cases.build_step()
        self.submit_many(4 * BLOCKED_COUNT, blocked, workspace="wind")
        late = self.submit_behind(cases.build_step())
        self.assertEqual(self.wait_for_start(late), 1)


class BoundedPassTest(cases.CellCase):
    """A pass considers a limited number of steps."""

    limit = resources.Resources(cpu_millis=10_000)

    def build_settings(self) -> settings.Settings:
        """Returns settings with small passes."""
        return settings.Settings(
            steps_per_pass=4,
            blocked_steps_per_pass=2,
            overdue_steps_per_pass=1,
        )

    def list_candidates(self) -> list[str]:
        """Returns the jobs that the next pass considers, in order."""
        available = free_capacity.measure(self.cell)
        return [
            step.job.job.job_id
            for step in candidates.choose(self.cell, available)
        ]

    def test_a_pass_considers_the_first_steps_and_one_that_is_overdue(
        self,
    ) -> None:
        gang = cases.build_step(10, gang=True)
        job_ids = [self.submit(gang) for _ in range(10)]
        self.assertEqual(self.list_candidates(), job_ids[:4])
        self.now_ms += 2 * candidates.OVERDUE_MS
        self.tick()
        self.assertEqual(len(self.list_overdue_jobs(job_ids)), 1)

    def list_overdue_jobs(self, job_ids: list[str]) -> list[str]:
        """Returns the jobs that the last pass considered beyond the first."""
        return [
            job_id
            for job_id in job_ids[4:]
            if self.cell.jobs[job_id].steps[(0, 0)].considered_ms == self.now_ms
        ]

    def test_blocked_steps_have_a_limit_of_their_own(self) -> None:
        blocked = [self.submit(cases.build_step(cpu=11_000)) for _ in range(5)]
        others = [self.submit(cases.build_step(cpu=9_000)) for _ in range(6)]
        self.assertEqual(self.list_candidates(), [*blocked[:2], *others[:4]])
