"""Tests of workspaces at their limit in a cell with free capacity."""

import dataclasses

from hickoryreach.scheduling import effects
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases

LIMIT_CPU = 4_000


class LimitCase(cases.CellCase):
    """A workspace may occupy half of the cell, and another one all of it."""

    minion_count = 2
    limit = resources.Resources(cpu_millis=LIMIT_CPU)

    def fill_limit(self, **words) -> list[effects.StartTask]:
        """Fills the workspace's limit with long tasks of the lowest rank."""
        step = cases.build_step(
            4, estimate_ms=60_000, **({"saves": True} | words)
        )
        self.submit(step, queue="runs")
        return self.confirm_starts()

    def stop_all(self) -> list[effects.StopTask]:
        """Applies the ends of the stopped runs; returns the stops."""
        stops = self.get_stops()
        for stop in stops:
            self.end(
                cases.build_listed_run(stop.key, stop.number, stop.minion_id),
                "stopped",
            )
        return stops


class UrgentTaskTest(LimitCase):
    """An urgent task of a workspace whose limit long tasks have filled."""

    def test_it_preempts_a_run_of_its_workspace(self) -> None:
        self.fill_limit()
        job_id = self.submit(cases.build_step(), queue="checks")
        self.assertEqual(len(self.get_stops()), 1)
        self.stop_all()
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [job_id])

    def test_a_second_pass_preempts_nothing_more(self) -> None:
        self.fill_limit()
        self.submit(cases.build_step(), queue="checks")
        self.tick()
        self.assertFalse(self.get_stops())

    def test_a_late_one_comes_before_longer_tasks_in_time(self) -> None:
        starts = self.fill_limit(saves=False)
        urgent = self.submit(cases.build_step(), queue="checks")
        self.tick(4_000)
        self.submit(cases.build_step(estimate_ms=60_000))
        self.end(starts[0])
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [urgent])

    def test_as_many_tasks_start_as_runs_can_be_preempted(self) -> None:
        self.submit(cases.build_step(2, estimate_ms=60_000))
        self.confirm_starts()
        self.submit(cases.build_step(2, estimate_ms=60_000, saves=True))
        self.confirm_starts()
        self.submit(cases.build_step(3), queue="checks")
        self.assertEqual(len(self.get_stops()), 2)

    def test_runs_without_checkpoints_are_not_preempted(self) -> None:
        self.fill_limit(saves=False)
        self.submit(cases.build_step(), queue="checks")
        self.assertFalse(self.get_stops())

    def test_nothing_is_preempted_for_a_task_above_the_limit(self) -> None:
        self.fill_limit()
        self.submit(cases.build_step(cpu=LIMIT_CPU + 1), queue="checks")
        self.assertFalse(self.get_stops())


class GangTest(LimitCase):
    """A gang of a workspace whose limit long tasks have filled."""

    def build_gang(self, **words):
        """Returns a gang that needs half of the limit."""
        return cases.build_step(2, gang=True, **words)

    def build_queue(self, name: str = "runs", rank: int = 1):
        """Returns a queue; jobs of the lowest rank go to `runs`."""
        return super().build_queue(name, 2 if name == "runs" else 1)

    def test_it_preempts_nothing_in_its_workspace(self) -> None:
        self.fill_limit()
        self.submit(self.build_gang(), queue="checks")
        self.assertFalse(self.get_stops())

    def test_later_tasks_leave_it_the_headroom(self) -> None:
        (first, second, *_) = self.fill_limit(saves=False)
        waiting = self.submit(self.build_gang(), queue="checks")
        self.submit(cases.build_step(2, estimate_ms=60_000), queue="runs")
        self.end(first)
        self.assertFalse(self.get_starts())
        self.end(second)
        started = {each.key.job_id for each in self.get_starts()}
        self.assertEqual(started, {waiting})

    def test_a_gang_above_the_limit_holds_nothing(self) -> None:
        (first, *_) = self.fill_limit(saves=False)
        self.submit(cases.build_step(5, gang=True), queue="checks")
        later = self.submit(cases.build_step(), queue="runs")
        self.end(first)
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [later])


class TwoWorkspacesTest(GangTest):
    """Another workspace has many more steps at its limit."""

    def build_workspaces(self) -> list[cells.Workspace]:
        """Returns a second workspace with a low limit."""
        low = resources.Resources(cpu_millis=500)
        return [
            *super().build_workspaces(),
            cells.Workspace(name="wind", share=1_000_000.0, limit=low),
        ]

    def fill_limit(self, **words) -> list[effects.StartTask]:
        """Fills the limit of the one workspace; the other one has waited."""
        for _ in range(2 * self.cell.settings.blocked_steps_per_pass):
            small = cases.build_step(cpu=400, estimate_ms=1_000)
            self.submit(small, workspace="wind", queue="checks")
            self.confirm_starts()
        return super().fill_limit(**words)


class UnplaceableStepTest(cases.CellCase):
    """A step that can't start with any headroom keeps no other one waiting."""

    limit = resources.Resources(cpu_millis=8_000)

    def check_later_task_starts(self, blocked: steps.Step) -> None:
        """Checks that a small task starts after a step that can't."""
        self.submit(blocked)
        later = self.submit(cases.build_step())
        started = {each.key.job_id for each in self.get_starts()}
        self.assertEqual(started, {later})

    def test_a_task_larger_than_any_minion_holds_no_headroom(self) -> None:
        self.submit(cases.build_step(4, estimate_ms=60_000))
        self.confirm_starts()
        self.check_later_task_starts(cases.build_step(cpu=5_000))

    def test_a_gang_larger_than_the_cell_holds_no_headroom(self) -> None:
        self.submit(cases.build_step(estimate_ms=60_000))
        self.confirm_starts()
        self.check_later_task_starts(cases.build_step(3, cpu=2_600, gang=True))

    def test_a_gang_that_lasting_tasks_leave_no_limit_holds_no_headroom(
        self,
    ) -> None:
        self.submit(cases.build_step(cpu=3_000, lasting=True))
        self.confirm_starts()
        self.check_later_task_starts(cases.build_step(2, cpu=3_000, gang=True))


class LongRunTest(cases.CellCase):
    """A gang waits for headroom while a long run uses little of the limit."""

    minion_count = 5
    limit = resources.Resources(cpu_millis=10_000)

    def test_small_tasks_do_not_wait_for_the_run_to_end(self) -> None:
        self.submit(cases.build_step(cpu=2_000, estimate_ms=600_000))
        self.confirm_starts()
        self.submit(cases.build_step(9, gang=True))
        small = self.submit(cases.build_step())
        started = []
        for _ in range(30):
            self.tick()
            started += [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [small])


class RemovedWorkspaceTest(LimitCase):
    """A workspace is removed while a step of it waits."""

    def test_not_even_a_task_of_no_size_starts(self) -> None:
        self.cell.configuration = dataclasses.replace(
            self.configuration, workspaces={}
        )
        self.submit(steps.Step(count=1, need=resources.ZERO, estimate_ms=1_000))
        self.tick()
        self.assertFalse(self.get_starts())
