"""Tests of slow minions and of tasks that stand still."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from tests.core.scheduling import cases


class PaceTest(cases.CellCase):
    """What progress tells."""

    def list_percent(self, start, percent: int, after_ms: int) -> None:
        """Lets a minion list one run with some progress."""
        self.now_ms += after_ms
        row = minions.RunningTask(
            key=start.key, run=start.number, checkpoint="", percent=percent
        )
        self.apply(
            events.MinionPolled(
                minion_id=start.minion_id,
                reply=minions.PollReply(
                    incarnation=1, clock_ms=0, running=(row,), ends=()
                ),
                sent_ms=self.now_ms - 1,
            )
        )

    def test_nothing_is_placed_on_a_slow_minion(self) -> None:
        self.submit(cases.build_step(estimate_ms=4_000))
        (start,) = self.run_all()
        for percent in (0, 1, 2, 3):
            self.list_percent(start, percent, 500)
        self.submit(cases.build_step(count=3))
        self.assertNotIn(
            start.minion_id, {each.minion_id for each in self.get_starts()}
        )

    def test_a_task_that_stands_still_is_moved(self) -> None:
        self.submit(cases.build_step(estimate_ms=1_000))
        (start,) = self.run_all()
        for _ in range(5):
            self.list_percent(start, 10, 500)
        self.tick()
        self.assertEqual([each.key for each in self.get_stops()], [start.key])
        self.end(start, "stopped")
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_a_task_that_goes_on_is_left_alone(self) -> None:
        self.submit(cases.build_step(estimate_ms=4_000))
        (start,) = self.run_all()
        for percent in range(10, 80, 10):
            self.list_percent(start, percent, 400)
            self.tick()
            self.assertEqual(self.get_stops(), [])

    def test_a_failed_task_goes_to_another_minion(self) -> None:
        self.submit(cases.build_step())
        (start,) = self.run_all()
        self.end(start, "failed")
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_a_minion_that_fails_several_jobs_is_avoided(self) -> None:
        for _ in range(self.cell.settings.blame_failures):
            self.submit(cases.build_step())
            (start,) = self.run_all()
            self.assertEqual(start.minion_id, "m0")
            self.end(start, "failed")
            for again in self.run_all():
                self.end(again)
        self.submit(cases.build_step())
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m1"])
