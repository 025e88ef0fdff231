"""Tests of what waits for a minion with a service that has to run alone."""

from hickoryreach.scheduling import events
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases

FINISH_MS = 14_000
LONG_MS = 120_000
TICK_MS = 500


class SolitaryServiceTest(crash_cases.CrashCase):
    """A service with counted crashes keeps nothing waiting for long."""

    minion_count = 1

    def setUp(self) -> None:
        """Lets a service crash its minion until it has to run alone."""
        super().setUp()
        self.service_id = self.submit(cases.build_step(lasting=True))

    def pass_time(self, duration_ms: int) -> None:
        """Confirms all starts and polls the only minion for a while."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            (name,) = self.cell.minions
            for run in self.list_running(name):
                if run.confirmed_ms < 0:
                    self.confirm(run)
            self.poll(
                name,
                running=self.list_running(name),
                incarnation=self.cell.minions[name].incarnation,
            )
            self.tick(TICK_MS)

    def crash(self) -> None:
        """Replaces the only minion by another one."""
        (name,) = self.cell.minions
        self.replace(name)
        self.apply(events.LeaseExpired(minion_id=name))
        self.pass_time(1_000)

    def count_runs(self, job_id: str) -> int:
        """Returns how many tasks of a job run."""
        (step,) = self.cell.jobs[job_id].steps.values()
        return len(step.runs)

    def test_a_task_starts_beside_it_before_long(self) -> None:
        for _ in range(3):
            self.pass_time(1_000)
            self.crash()
        self.assertEqual(self.count_runs(self.service_id), 1)
        other_id = self.submit(cases.build_step())
        self.pass_time(FINISH_MS)
        self.assertEqual(self.count_runs(other_id), 1)

    def test_another_that_has_to_run_alone_starts_in_the_end(self) -> None:
        other_id = self.submit(cases.build_step(lasting=True))
        for _ in range(3):
            self.pass_time(10_000)
            self.crash()
        self.pass_time(LONG_MS)
        running = [self.count_runs(self.service_id), self.count_runs(other_id)]
        self.assertEqual(running, [1, 1])
